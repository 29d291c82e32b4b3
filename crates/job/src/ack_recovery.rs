//! How an executor becomes usable again after an end that must not be acknowledged.
//!
//! The end of a run whose task was started again later may be acknowledged once the executor's lease
//! has expired since, and acknowledgements reach all ends up to a number. The only proof of an expiry is
//! the end of a run that it caused. So a task is started with a lease that is shorter than the task, on an
//! executor where nothing else runs. See "Withheld acknowledgements" in
//! `docs/design/bounded-rows.md`.

use std::time::Duration;

use model::Mono;

/// Number of ends that an executor lists, with those of its tasks, at which it gets no more tasks so
/// that it becomes empty. It can list twice as many.
const MAX_LISTED_ENDS: usize = 250;
/// Bounds of the lease of a probe.
const MIN_PROBE_LEASE: Duration = Duration::from_millis(20);
const MAX_PROBE_LEASE: Duration = Duration::from_secs(1);
/// The longest lease of a first probe.
const FIRST_PROBE_LEASE: Duration = Duration::from_millis(500);
/// The lease of a first probe is the expected duration of its task divided by this number.
const DURATION_DIVISOR: u32 = 3;

/// The recovery of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckRecovery {
    /// When it began.
    pub since: Mono,
    /// Whether the only task on the executor was started to let its lease expire.
    pub(crate) probing: bool,
    /// The lease of the next probe, if an earlier one did not expire or expired too early.
    lease: Option<Duration>,
}

impl AckRecovery {
    /// Begins a recovery.
    #[must_use]
    pub const fn new(since: Mono) -> Self {
        Self {
            since,
            probing: false,
            lease: None,
        }
    }

    /// Returns the lease of a probe whose task is expected to run for this long.
    #[must_use]
    pub fn probe_lease(&self, expected: Duration) -> Duration {
        let first = (expected / DURATION_DIVISOR).min(FIRST_PROBE_LEASE);
        let lease = self.lease.unwrap_or(first);
        lease.clamp(MIN_PROBE_LEASE, MAX_PROBE_LEASE)
    }

    /// Records that a probe ended by itself under a lease of this duration.
    pub fn probe_ended(&mut self, lease: Duration) {
        self.lease = Some((lease / 2).max(MIN_PROBE_LEASE));
    }

    /// Records that a lease of this duration had expired when the start command arrived.
    pub fn probe_too_late(&mut self, lease: Duration) {
        self.lease = Some((lease * 2).min(MAX_PROBE_LEASE));
    }
}

/// Returns whether an executor with this number of tasks should recover, which lists this number of
/// ends from the first one on that must not be acknowledged. While few are listed, it goes on with
/// its tasks.
#[must_use]
pub const fn is_due(tasks: usize, listed_ends: usize) -> bool {
    listed_ends > 0 && (tasks == 0 || tasks + listed_ends >= MAX_LISTED_ENDS)
}
