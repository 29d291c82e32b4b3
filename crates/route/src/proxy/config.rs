//! What the data path is told when it starts, and its bounds.

use std::time::Duration;

use crate::config::RouterConfig;

/// The configuration of the data path.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Who this daemon is and the limits of its router.
    pub router: RouterConfig,
    /// The bounds on connections and bodies.
    pub limits: ProxyLimits,
    /// Returns the milliseconds since 1970, which intent rows carry so that old ones can be removed.
    pub unix_ms: fn() -> u64,
}

impl ProxyConfig {
    /// Makes a configuration with the default bounds.
    #[must_use]
    pub fn new(router: RouterConfig, unix_ms: fn() -> u64) -> Self {
        Self {
            router,
            limits: ProxyLimits::default(),
            unix_ms,
        }
    }

    /// Sets the bounds.
    #[must_use]
    pub const fn limits(mut self, limits: ProxyLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// The bounds on connections and bodies; `docs/ROUTING.md` lists what each of them finds.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLimits {
    /// How long a connection to an executor or a peer may take to be made.
    pub connect_timeout: Duration,
    /// How long an answer may stay silent between two parts of its body.
    pub body_idle_timeout: Duration,
    /// How long the slot of a request that was given up stays taken while its answer may still come.
    pub linger_timeout: Duration,
    /// How long a connection may be idle before it is no longer used.
    pub idle_timeout: Duration,
    /// How long a connection may be idle before it is no longer used for a request that must not be
    /// sent twice.
    pub non_idempotent_idle_timeout: Duration,
    /// The most idle connections to one address.
    pub max_idle_per_address: usize,
    /// How long sent bytes may stay unacknowledged before the kernel gives the connection up.
    pub tcp_user_timeout: Duration,
    /// How long a connection is quiet before the kernel probes it.
    pub tcp_keepalive_time: Duration,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The largest body of a request that is kept so that it can be sent again, in bytes.
    pub max_replay_bytes: u64,
    /// How long a body that is kept may take to arrive.
    pub body_read_timeout: Duration,
    /// The most bytes that all headers of a request may have.
    pub max_head_bytes: usize,
    /// The longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Whether an idempotent request is sent to a second executor when the first is slow.
    pub hedge: bool,
    /// How long a write of an intent row may take.
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
