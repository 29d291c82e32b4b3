//! The timeouts of ownership and of workers' leases; `docs/TASKS.md` says what was weighed.

use std::time::Duration;

/// How often a daemon writes its heartbeat and reads those of the others.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a heartbeat stands still, over successful reads, before the daemon's shards are free.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest span between two reads that counts towards [`HEARTBEAT_TIMEOUT`].
pub const MAX_READ_GAP: Duration = Duration::from_secs(4);
/// How long a worker goes on after the last report that its owner has answered.
pub const WORKER_LEASE: Duration = Duration::from_secs(15);
/// How long an owner goes on without having seen itself in its shard's row.
pub const OWNER_STORE_TIMEOUT: Duration = Duration::from_secs(90 * 60);
/// How often a worker's lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// How long to wait for a worker's answer to one message.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait before a command whose effect is not yet reported is sent again.
pub const COMMAND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait before a transaction in doubt is sent again under the same id.
pub const IN_DOUBT_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most rows that one transaction moves on.
pub const MAX_ROWS_PER_TXN: usize = 64;

/// The part of a span by which two clocks may drift apart, as its divisor.
const CLOCK_DRIFT_DIVISOR: u32 = 1000;
/// What rounding and scheduling may add to a timer.
const TIMER_SLACK: Duration = Duration::from_secs(1);

/// The two spans that decide when a task may be started again elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// See [`WORKER_LEASE`].
    pub worker_lease: Duration,
    /// See [`OWNER_STORE_TIMEOUT`].
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
    /// How long after a worker's report the lease that it was answered with has certainly lapsed.
    #[must_use]
    pub fn lease_expiry(&self) -> Duration {
        with_clock_margin(self.worker_lease)
    }

    /// How long after a takeover the last lease that an earlier owner may have granted has certainly
    /// lapsed.
    #[must_use]
    pub fn prior_grants_expiry(&self) -> Duration {
        with_clock_margin(self.owner_store_timeout + self.worker_lease)
    }
}

/// Adds what another process's clock and timers may differ by.
#[must_use]
pub fn with_clock_margin(duration: Duration) -> Duration {
    duration + duration / CLOCK_DRIFT_DIVISOR + TIMER_SLACK
}
