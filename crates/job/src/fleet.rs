//! The executors: what they have, what is reserved on them, and until when their leases run.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Set;
use model::Size;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::scheduler::TaskKey;

new_key_type! {
    /// One executor in the arena of the [`Fleet`]; it stays the same over the lives of the executor.
    pub struct ExecutorKey;
}

/// What an executor says of itself in the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub id: Arc<str>,
    /// Where it answers.
    pub address: Arc<str>,
    /// The service that it works for.
    pub service: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its labels, among them its rack.
    pub labels: Vec<Arc<str>>,
    /// What it has.
    pub capacity: Size,
    /// When its process started, in milliseconds since 1970; another figure is another life.
    pub started_unix_ms: u64,
    /// Whether it is about to leave.
    pub draining: bool,
    /// While it drains, the least time that is left.
    pub drain_remaining: Option<Duration>,
}

/// One executor.
#[derive(Clone, Debug, Default)]
pub struct Executor {
    /// What it said of itself last.
    pub listing: Listing,
    /// Whether the list still has it.
    pub listed: bool,
    /// Whether calls to it are answered.
    pub reachable: bool,
    /// When calls to it began to fail.
    pub failing_since: Option<Mono>,
    /// No task is placed before this time.
    pub not_before: Mono,
    /// The task that it is kept for; nothing else begins here.
    pub reservation: Option<crate::reservation::Reservation>,
    /// What is reserved on it.
    pub used: Size,
    /// Processors in thousandths that timed tasks asked for, those that fill included.
    pub batch_cpu_millis: u64,
    /// Processors in thousandths reserved by tasks that last.
    pub long_running_cpu_millis: u64,
    /// Processors in thousandths asked for by tasks that fill.
    pub best_effort_cpu_millis: u64,
    /// The tasks that are assigned to it.
    pub tasks: Set<TaskKey>,
    /// What it answered last about its clock.
    pub clock: Option<ClockReading>,
    /// The newest life that the list told of while only a look could tell which tasks it has.
    pub announced_start_unix_ms: u64,
    /// Since when it may be another life of it than the one that is known: its clock showed less than
    /// that life's would. A look tells.
    pub incarnation_uncertain_since: Option<Mono>,
    /// When the longest lease that was granted by this owner has certainly lapsed.
    pub leases_expire_at: Mono,
    /// When it began to leave.
    pub draining_since: Option<Mono>,
    /// It was told that ends up to here are stored.
    pub ends_acknowledged: u64,
    /// Ends listed up to here are stored.
    pub ends_stored: u64,
    /// Ends listed up to here have been taken into the book.
    pub ends_received: u64,
    /// When the pace of tasks that fill was changed last.
    pub throttled_at: Mono,
    /// Since when a tail has been over its target.
    pub over_target_since: Option<Mono>,
    /// What it showed when interference was last learned from it.
    pub baseline: crate::interference::Baseline,
    /// Distinct jobs that failed here one after another, with none that succeeded between.
    pub failed_jobs: Vec<crate::scheduler::JobKey>,
}

/// A reading of an executor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// What the executor's clock showed, in milliseconds.
    pub executor_ms: u64,
    /// When the answer arrived here.
    pub at: Mono,
}

/// How much slower than true time an executor's clock may run, as one part in so many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;
/// By how much a clock may show less than expected before it is taken for another one, because
/// answers overtake each other, in milliseconds.
const REORDERING_TOLERANCE_MS: u64 = 200;
/// What is added to the end of a lease for timers that fire late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

impl ClockReading {
    /// Returns the time on the executor's clock that lies `lease` after `now`.
    #[must_use]
    pub fn deadline(&self, now: Mono, lease: Duration) -> u64 {
        self.executor_ms + model::time::millis(now.since(self.at)) + model::time::millis(lease)
    }

    /// Returns whether a later reading can be of the same clock: an executor that starts anew begins its
    /// clock anew.
    #[must_use]
    pub fn is_continued_by(&self, later: &Self) -> bool {
        let elapsed = model::time::millis(later.at.since(self.at));
        let least = self.executor_ms + elapsed - elapsed / CLOCK_DRIFT_DIVISOR;
        later.executor_ms + REORDERING_TOLERANCE_MS >= least
    }

    /// Returns when the executor's clock has certainly passed `deadline_ms`, however slow it runs.
    #[must_use]
    pub fn deadline_passed_at(&self, deadline_ms: u64) -> Mono {
        let left = deadline_ms.saturating_sub(self.executor_ms);
        let slow = left + left / (CLOCK_DRIFT_DIVISOR - 1) + 1;
        self.at
            .after(Duration::from_millis(slow))
            .after(EXPIRY_MARGIN)
    }
}

impl Executor {
    /// Returns what is free.
    #[must_use]
    pub const fn free(&self) -> Size {
        self.listing.capacity.saturating_sub(&self.used)
    }

    /// Returns whether new tasks may be placed here.
    #[must_use]
    pub fn accepts_tasks(&self, now: Mono) -> bool {
        self.listed && self.reachable && !self.listing.draining && now >= self.not_before
    }

    /// Returns whether it lists ends that it has not been told are stored.
    #[must_use]
    pub const fn has_unacknowledged_ends(&self) -> bool {
        self.ends_received > self.ends_acknowledged
    }

    /// Returns whether the executor has this label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|own| &**own == label)
    }
}

/// All executors that are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    executors: SlotMap<ExecutorKey, Executor>,
    by_id: Map<Arc<str>, ExecutorKey>,
}

impl Fleet {
    /// Returns an executor. Keys are never removed, so it is always there.
    #[must_use]
    pub fn get(&self, key: ExecutorKey) -> Option<&Executor> {
        self.executors.get(key)
    }

    /// Returns an executor, to be changed.
    pub fn get_mut(&mut self, key: ExecutorKey) -> Option<&mut Executor> {
        self.executors.get_mut(key)
    }

    /// Returns the executor with this name.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ExecutorKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the executor with this name and makes room for it if it was not known.
    pub fn intern(&mut self, id: &Arc<str>) -> ExecutorKey {
        if let Some(key) = self.by_id.get(id) {
            return *key;
        }
        let key = self.executors.insert(Executor {
            listing: Listing {
                id: id.clone(),
                ..Listing::default()
            },
            ..Executor::default()
        });
        self.by_id.insert(id.clone(), key);
        key
    }

    /// Returns all executors.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorKey, &Executor)> {
        self.executors.iter()
    }

    /// Returns all executors, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ExecutorKey, &mut Executor)> {
        self.executors.iter_mut()
    }

    /// Removes executors that the list no longer has and on which nothing can run any more.
    pub fn remove(&mut self, key: ExecutorKey) {
        if let Some(executor) = self.executors.remove(key) {
            self.by_id.remove(&executor.listing.id);
        }
    }
}
