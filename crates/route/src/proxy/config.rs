//! What the data path is told when it starts, and its bounds.

use std::time::Duration;

use crate::config::RouterConfig;

/// The configuration of the data path.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Who this daemon is and the limits of its router.
    pub router: RouterConfig,
    /// The bounds on connections and bodies.
    pub bounds: Bounds,
    /// Returns the milliseconds since 1970, which intent rows carry so that old ones can be removed.
    pub unix_ms: fn() -> u64,
}

impl ProxyConfig {
    /// Makes a configuration with the default bounds.
    #[must_use]
    pub fn new(router: RouterConfig, unix_ms: fn() -> u64) -> Self {
        Self {
            router,
            bounds: Bounds::default(),
            unix_ms,
        }
    }

    /// Sets the bounds.
    #[must_use]
    pub const fn bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }
}

/// The bounds on connections and bodies; `docs/ROUTING.md` lists what each of them finds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a connection to an executor or a peer may take to be made.
    pub connect: Duration,
    /// How long an answer may stay silent between two parts of its body.
    pub chunk_silence: Duration,
    /// How long the slot of a request that was given up stays taken while its answer may still come.
    pub linger: Duration,
    /// How long a connection may be idle before it is no longer used.
    pub idle: Duration,
    /// How long a connection may be idle before it is no longer used for a request that must not be
    /// sent twice.
    pub idle_once: Duration,
    /// The most idle connections to one address.
    pub max_idle: usize,
    /// How long sent bytes may stay unacknowledged before the kernel gives the connection up.
    pub tcp_user_timeout: Duration,
    /// How long a connection is quiet before the kernel probes it.
    pub tcp_keepalive: Duration,
    /// The largest body of a request, in bytes.
    pub max_body: u64,
    /// The largest body of a request that is kept so that it can be sent again, in bytes.
    pub max_replay: u64,
    /// How long a body that is kept may take to arrive.
    pub small_body: Duration,
    /// The most bytes that all headers of a request may have.
    pub max_head: usize,
    /// The longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Whether an idempotent request is sent to a second executor when the first is slow.
    pub hedge: bool,
    /// How long a write of an intent row may take.
    pub intent: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            chunk_silence: Duration::from_secs(10),
            linger: Duration::from_secs(2),
            idle: Duration::from_secs(15),
            idle_once: Duration::from_secs(2),
            max_idle: 4,
            tcp_user_timeout: Duration::from_secs(5),
            tcp_keepalive: Duration::from_secs(5),
            max_body: 64 << 20,
            max_replay: 64 << 10,
            small_body: Duration::from_secs(10),
            max_head: 32 << 10,
            max_deadline: Duration::from_secs(600),
            hedge: true,
            intent: Duration::from_secs(3),
        }
    }
}
