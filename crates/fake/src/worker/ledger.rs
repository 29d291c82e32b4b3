//! What truly ran where, over all workers of a test.

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

/// One run of a task on a worker, from its begin to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The worker.
    pub worker: WorkerId,
    /// Which run.
    pub attempt: Attempt,
    /// The checkpoint it went on from.
    pub checkpoint: Option<CheckpointId>,
    /// When it started.
    pub from: Mono,
    /// When it ended, or the latest that it may end without the lease being renewed.
    pub until: Mono,
    /// Whether it may still be running.
    pub is_open: bool,
}

/// What a worker did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// A run started.
    Started {
        /// The task.
        task: TaskId,
        /// Which run.
        attempt: Attempt,
        /// The checkpoint it goes on from.
        checkpoint: Option<CheckpointId>,
        /// When.
        at: Mono,
    },
    /// A run ended, however it did.
    Ended {
        /// The task.
        task: TaskId,
        /// When.
        at: Mono,
    },
    /// All runs go on until this time at the latest.
    LeaseRenewed {
        /// The end of the lease.
        until: Mono,
    },
    /// A start was refused that would have exceeded the worker's capacity.
    Overcommitted {
        /// The task.
        task: TaskId,
    },
    /// A checkpoint that a run should go on from was not there.
    CheckpointMissing {
        /// The task.
        task: TaskId,
    },
}

/// The counts of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs that started.
    pub started: usize,
    /// Pairs of runs of one task that ran at the same time.
    pub overlapping: usize,
    /// Starts that would have exceeded a worker's capacity.
    pub overcommits: usize,
    /// Runs that started from a checkpoint.
    pub resumed: usize,
    /// Runs that should have started from a checkpoint that was not there.
    pub missing_checkpoints: usize,
}

#[derive(Debug, Default)]
struct LedgerState {
    intervals: BTreeMap<TaskId, Vec<Interval>>,
    overcommits: Vec<(WorkerId, TaskId)>,
    missing_checkpoints: usize,
}

/// The ledger, shared by all workers of a test, with the clock they share.
#[derive(Clone, Debug)]
pub struct Ledger {
    clock: Clock,
    state: Arc<Mutex<LedgerState>>,
}

impl Ledger {
    /// Makes an empty ledger on this clock.
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

    /// Returns the counts.
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

    /// Returns the runs of a task in the order they started.
    #[must_use]
    pub fn runs(&self, task: &TaskId) -> Vec<Interval> {
        self.lock().intervals.get(task).cloned().unwrap_or_default()
    }

    /// Returns the tasks of which two runs ran at the same time.
    #[must_use]
    pub fn overlapping_tasks(&self) -> Vec<TaskId> {
        let state = self.lock();
        let overlapping = state
            .intervals
            .iter()
            .filter(|(_, runs)| count_overlaps(runs) > 0);
        overlapping.map(|(task, _)| task.clone()).collect()
    }

    /// Returns the starts that would have exceeded a worker's capacity.
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
