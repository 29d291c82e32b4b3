//! Configuration of the data path.

use std::time::Duration;

use crate::config::RouterConfig;

/// Configuration of the data path.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Configuration of the router.
    pub router: RouterConfig,
    /// Limits on connections and bodies.
    pub limits: ProxyLimits,
    /// Returns the Unix time in milliseconds, which is stored in intent rows so that old ones can
    /// be removed.
    pub unix_ms: fn() -> u64,
}

impl ProxyConfig {
    /// Creates a configuration with the default limits.
    #[must_use]
    pub fn new(router: RouterConfig, unix_ms: fn() -> u64) -> Self {
        Self {
            router,
            limits: ProxyLimits::default(),
            unix_ms,
        }
    }

    /// Replaces the limits.
    #[must_use]
    pub const fn limits(mut self, limits: ProxyLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Limits on connections and bodies; `docs/ROUTING.md` lists which faults each of them detects.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLimits {
    /// Timeout for connecting to an executor or a peer.
    pub connect_timeout: Duration,
    /// Maximum time between two parts of a response body.
    pub body_idle_timeout: Duration,
    /// How long an abandoned request occupies its slot while the response may still arrive.
    pub linger_timeout: Duration,
    /// How long a connection may be idle and still be reused.
    pub idle_timeout: Duration,
    /// How long a connection may be idle and still be reused for a request that must not be sent
    /// twice.
    pub non_idempotent_idle_timeout: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle_per_address: usize,
    /// How long sent data may stay unacknowledged before the kernel closes the connection.
    pub tcp_user_timeout: Duration,
    /// How long a connection is idle before the kernel sends keepalive probes.
    pub tcp_keepalive_time: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request body that is buffered so that it can be sent again, in bytes.
    pub max_replay_bytes: u64,
    /// Timeout for receiving a body that is buffered.
    pub body_read_timeout: Duration,
    /// Maximum total size of the headers of a request, in bytes.
    pub max_head_bytes: usize,
    /// Maximum timeout that a caller may set for a request.
    pub max_deadline: Duration,
    /// Whether an idempotent request is also sent to a second executor when the first is slow.
    pub hedge: bool,
    /// Timeout for writing an intent row.
    pub intent_write_timeout: Duration,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            body_idle_timeout: Duration::from_secs(10),
            linger_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(15),
            non_idempotent_idle_timeout: Duration::from_secs(2),
            max_idle_per_address: 4,
            tcp_user_timeout: Duration::from_secs(5),
            tcp_keepalive_time: Duration::from_secs(5),
            max_body_bytes: 64 << 20,
            max_replay_bytes: 64 << 10,
            body_read_timeout: Duration::from_secs(10),
            max_head_bytes: 32 << 10,
            max_deadline: Duration::from_secs(600),
            hedge: true,
            intent_write_timeout: Duration::from_secs(3),
        }
    }
}
