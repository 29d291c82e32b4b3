//! Timeouts of shard ownership and worker leases. `docs/TASKS.md` explains the trade-offs.

use std::time::Duration;

/// How often a daemon writes its heartbeat and reads those of the others.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a heartbeat may stay unchanged, over successful reads, before the daemon's shards may
/// be claimed by others.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest interval between two reads that counts towards [`HEARTBEAT_TIMEOUT`].
pub const MAX_READ_GAP: Duration = Duration::from_secs(4);
/// How long a worker keeps running its tasks after the last report that its owner answered.
pub const WORKER_LEASE: Duration = Duration::from_secs(15);
/// How long an owner may act without reading its own name in its shard's row.
pub const OWNER_STORE_TIMEOUT: Duration = Duration::from_secs(90 * 60);
/// How often a worker's lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// How long to wait for a worker's answer to a message.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait before resending a command whose effect has not been reported.
pub const COMMAND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait before resending an in-doubt transaction under the same id.
pub const IN_DOUBT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of task rows that one transaction updates.
pub const MAX_ROWS_PER_TXN: usize = 64;

/// Bounds the drift between two clocks: over a duration, at most the duration divided by this.
const CLOCK_DRIFT_DIVISOR: u32 = 1000;
/// The maximum delay that rounding and thread scheduling add to a timer.
const TIMER_SLACK: Duration = Duration::from_secs(1);

/// The timeouts that decide when a task may be started again on another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// The duration of a worker's lease, see [`WORKER_LEASE`].
    pub worker_lease: Duration,
    /// How long an owner may act without the store, see [`OWNER_STORE_TIMEOUT`].
    pub owner_store_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            worker_lease: WORKER_LEASE,
            owner_store_timeout: OWNER_STORE_TIMEOUT,
        }
    }
}

impl Timing {
    /// Returns how long after the arrival of a worker's report the lease granted in the answer to
    /// it has certainly expired.
    #[must_use]
    pub fn lease_expiry(&self) -> Duration {
        with_clock_margin(self.worker_lease)
    }

    /// Returns how long after a takeover the last lease that a prior owner may have granted has
    /// certainly expired.
    #[must_use]
    pub fn prior_grants_expiry(&self) -> Duration {
        with_clock_margin(self.owner_store_timeout + self.worker_lease)
    }
}

/// Extends a duration by the maximum clock drift and timer delay of another process.
#[must_use]
pub fn with_clock_margin(duration: Duration) -> Duration {
    duration + duration / CLOCK_DRIFT_DIVISOR + TIMER_SLACK
}
