//! What the router is told when it starts, and its limits.

use std::time::Duration;

use model::id::DaemonId;
use model::id::HalfId;
use model::place::Place;

/// Who this daemon is and the limits it keeps.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The name of this daemon.
    pub daemon: DaemonId,
    /// The half it works for.
    pub half: HalfId,
    /// Where it stands.
    pub place: Place,
    /// The limits.
    pub limits: Limits,
}

impl RouterConfig {
    /// Makes a configuration with the default limits.
    #[must_use]
    pub fn new(daemon: DaemonId, half: HalfId, place: Place) -> Self {
        Self {
            daemon,
            half,
            place,
            limits: Limits::default(),
        }
    }

    /// Sets the limits.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// The limits of the router.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long slots gained by a change of the members rest before they are used, so that their
    /// former holder has heard of the change.
    pub settle_delay: Duration,
    /// How long slots may be used after the members were last delivered.
    pub membership_lease: Duration,
    /// How long a loan of slots lasts.
    pub loan_lease: Duration,
    /// How long an upstream that was taken over waits for its former half's release.
    pub handover_timeout: Duration,
    /// The most requests that wait for one upstream.
    pub max_queued: usize,
    /// The most requests that wait in the whole daemon, shared by the upstreams' weights.
    pub max_queued_total: usize,
    /// The most executors of an upstream that may be ejected, in percent.
    pub max_ejected_percent: usize,
    /// The queue delay that is tolerated while a queue has not been empty for long, as a percentage
    /// of the mean service time.
    pub standing_queue_delay_percent: u32,
    /// How long a queue may be non-empty before it counts as standing.
    pub standing_queue_after: Duration,
    /// Whether executors that are much slower than the others are ejected.
    pub eject_slow: bool,
    /// The sends beyond the first that are earned by each request, in thousandths.
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
