//! Configuration of the router: the identity of the daemon and the limits of routing.

use std::time::Duration;

use model::id::DaemonId;
use model::id::HalfId;
use model::place::Place;

/// The identity of this daemon and its limits.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Half that this daemon serves; it sends only to the upstreams of this half.
    pub half: HalfId,
    /// Region and data centre of this daemon.
    pub place: Place,
    /// Limits of the router.
    pub limits: Limits,
}

impl RouterConfig {
    /// Creates a configuration with the default limits.
    #[must_use]
    pub fn new(daemon: DaemonId, half: HalfId, place: Place) -> Self {
        Self {
            daemon,
            half,
            place,
            limits: Limits::default(),
        }
    }

    /// Replaces the limits.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// Timeouts, queue sizes and shares that bound what the router does.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Delay before slots gained by a membership change are used, so that their previous owner has
    /// received the change and no longer uses them.
    pub settle_delay: Duration,
    /// How long this daemon may use its slots after the last delivery of the members.
    pub membership_lease: Duration,
    /// Lease duration of slots lent to another daemon.
    pub loan_lease: Duration,
    /// How long an upstream that was taken over waits for the release by its previous half, before
    /// this daemon sends to it anyway. It also bounds how long a request waits for a table update.
    pub handover_timeout: Duration,
    /// Maximum number of queued requests of one upstream, and of requests that wait for a table
    /// update.
    pub max_queued: usize,
    /// Maximum number of queued requests of all upstreams, divided by the weights of the upstreams.
    pub max_queued_total: usize,
    /// Maximum share of an upstream's executors that may be ejected at a time, in percent.
    pub max_ejected_percent: usize,
    /// Queueing delay tolerated in a standing queue, as a percentage of the mean service time.
    pub standing_queue_delay_percent: u32,
    /// How long a queue may be non-empty before it counts as a standing queue.
    pub standing_queue_after: Duration,
    /// Whether executors that are much slower than the mean of their upstream are ejected.
    pub eject_slow: bool,
    /// Share of requests that may be sent again, as a retry or hedge, in thousandths.
    pub retry_budget_permille: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            settle_delay: Duration::from_secs(3),
            membership_lease: Duration::from_secs(10),
            loan_lease: Duration::from_secs(2),
            handover_timeout: Duration::from_secs(3),
            max_queued: 1024,
            max_queued_total: 4096,
            max_ejected_percent: 20,
            standing_queue_delay_percent: 25,
            standing_queue_after: Duration::from_millis(200),
            eject_slow: true,
            retry_budget_permille: 100,
        }
    }
}
