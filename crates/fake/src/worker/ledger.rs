//! Records which task ran where and when, across all workers of a test.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use model::Clock;
use model::Mono;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::TaskId;
use model::id::WorkerId;

/// One run of a task on a worker, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The worker that ran the task.
    pub worker: WorkerId,
    /// The attempt of the task.
    pub attempt: Attempt,
    /// The checkpoint from which the run resumed.
    pub checkpoint: Option<CheckpointId>,
    /// The start of the run.
    pub from: Mono,
    /// The end of the run; while it is open, the latest end unless the lease is renewed.
    pub until: Mono,
    /// Whether the run has not ended.
    pub is_open: bool,
}

/// An event on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// A run was started.
    Started {
        /// The task that the run belongs to.
        task: TaskId,
        /// The attempt of the task.
        attempt: Attempt,
        /// The checkpoint from which it resumes.
        checkpoint: Option<CheckpointId>,
        /// The time of the event.
        at: Mono,
    },
    /// A run ended, whether it succeeded, failed or was stopped.
    Ended {
        /// The task whose run ended.
        task: TaskId,
        /// The time of the event.
        at: Mono,
    },
    /// The lease was renewed: all runs end at this time unless it is renewed again.
    LeaseRenewed {
        /// The expiry of the lease.
        until: Mono,
    },
    /// A start was refused because it would have exceeded the capacity of the worker.
    Overcommitted {
        /// The task that was not started.
        task: TaskId,
    },
    /// The checkpoint from which a run was to resume does not exist.
    CheckpointMissing {
        /// The task, whose run starts from the beginning instead.
        task: TaskId,
    },
}

/// Counts of the runs in a test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// The number of started runs.
    pub started: usize,
    /// The number of pairs of runs of one task that overlapped in time.
    pub overlapping: usize,
    /// The number of starts that would have exceeded the capacity of a worker.
    pub overcommits: usize,
    /// The number of runs that resumed from a checkpoint.
    pub resumed: usize,
    /// The number of runs whose checkpoint did not exist.
    pub missing_checkpoints: usize,
}

#[derive(Debug, Default)]
struct LedgerState {
    intervals: BTreeMap<TaskId, Vec<Interval>>,
    overcommits: Vec<(WorkerId, TaskId)>,
    missing_checkpoints: usize,
}

/// The ledger and the clock of all workers of a test; clones share the ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    clock: Clock,
    state: Arc<Mutex<LedgerState>>,
}

impl Ledger {
    /// Creates an empty ledger with this clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Returns the clock of all workers of this ledger.
    #[must_use]
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the counts of all runs so far.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        let state = self.lock();
        let runs = || state.intervals.values().flatten();
        RunCounts {
            started: runs().count(),
            overlapping: state
                .intervals
                .values()
                .map(|runs| count_overlaps(runs))
                .sum(),
            overcommits: state.overcommits.len(),
            resumed: runs().filter(|run| run.checkpoint.is_some()).count(),
            missing_checkpoints: state.missing_checkpoints,
        }
    }

    /// Returns the runs of a task in the order of their start.
    #[must_use]
    pub fn runs(&self, task: &TaskId) -> Vec<Interval> {
        self.lock().intervals.get(task).cloned().unwrap_or_default()
    }

    /// Returns the tasks with runs that overlapped in time.
    #[must_use]
    pub fn overlapping_tasks(&self) -> Vec<TaskId> {
        let state = self.lock();
        let overlapping = state
            .intervals
            .iter()
            .filter(|(_, runs)| count_overlaps(runs) > 0);
        overlapping.map(|(task, _)| task.clone()).collect()
    }

    /// Returns the starts that would have exceeded the capacity of a worker.
    #[must_use]
    pub fn overcommits(&self) -> Vec<(WorkerId, TaskId)> {
        self.lock().overcommits.clone()
    }

    pub(super) fn record(&self, worker: &WorkerId, events: Vec<RunEvent>) {
        let mut state = self.lock();
        for event in events {
            state.record(worker, event);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerState {
    fn record(&mut self, worker: &WorkerId, event: RunEvent) {
        match event {
            RunEvent::Started {
                task,
                attempt,
                checkpoint,
                at,
            } => self.intervals.entry(task).or_default().push(Interval {
                worker: worker.clone(),
                attempt,
                checkpoint,
                from: at,
                until: at,
                is_open: true,
            }),
            RunEvent::Ended { task, at } => {
                let runs = self.intervals.get_mut(&task).into_iter().flatten();
                for run in runs.filter(|run| run.is_open_on(worker)) {
                    run.until = at;
                    run.is_open = false;
                }
            }
            RunEvent::LeaseRenewed { until } => {
                let runs = self.intervals.values_mut().flatten();
                for run in runs.filter(|run| run.is_open_on(worker)) {
                    run.until = until;
                }
            }
            RunEvent::Overcommitted { task } => self.overcommits.push((worker.clone(), task)),
            RunEvent::CheckpointMissing { .. } => self.missing_checkpoints += 1,
        }
    }
}

impl Interval {
    fn is_open_on(&self, worker: &WorkerId) -> bool {
        self.is_open && self.worker == *worker
    }
}

fn count_overlaps(runs: &[Interval]) -> usize {
    let pairs = runs.iter().enumerate().flat_map(|(index, left)| {
        let later = &runs[index + 1..];
        later.iter().map(move |right| (left, right))
    });
    pairs
        .filter(|(left, right)| left.from < right.until && right.from < left.until)
        .count()
}
