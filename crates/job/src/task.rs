//! The state of a task.

use std::sync::Arc;

use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::ExecutorKey;
use crate::stall::ProgressWindow;

/// The number of a run of a task. It increases with each start of the task, across owners.
pub type RunNumber = u64;

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The phase of the task's life cycle.
    pub phase: Phase,
    /// The number of the latest run; 0 before the first.
    pub run: RunNumber,
    /// How many of the latest runs have certainly never started, because every copy of their start
    /// commands was refused or none was sent; 0 while this is unknown, as after a takeover.
    pub unstarted_runs: RunNumber,
    /// How many runs have failed. A failed run of a gang is counted by one member only.
    pub failures: u32,
    /// The failed runs that this member of a gang counts, at most as many as may fail. Those of
    /// long-running gangs, which do not fail for good, are not limited.
    pub failed_gang_runs: Vec<RunNumber>,
    /// How often a run was stopped because its progress had stalled.
    pub stalls: u32,
    /// How many executors in a row have crashed soon after they may have started the task.
    pub crashes: u32,
    /// The latest run that has shown that it does not crash its executor; 0 if there is none.
    pub cleared_run: RunNumber,
    /// The run that an earlier owner suspected when its executor became silent; 0 if there is none.
    pub suspected_run: RunNumber,
    /// The latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The executor of the latest failed or stalled run, or the latest that was too unhealthy to start
    /// one. Other executors are preferred.
    pub failed_on: Option<ExecutorKey>,
    /// Until when the task does not start on the executor that it stalled on, which is `failed_on`.
    pub stalled_until: Mono,
    /// The end of the task's backoff; it does not start earlier.
    pub not_before: Mono,
}

/// The phase of a task's life cycle.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    /// The task does not run, and no start command for it can still take effect.
    #[default]
    Waiting,
    /// The task is assigned to an executor and may be running there.
    Assigned(Assignment),
    /// The task has succeeded.
    Done,
}

/// The assignment of a task to an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The executor that the task is assigned to.
    pub executor: ExecutorKey,
    /// The start time of the incarnation by whose list entry the executor was chosen, in milliseconds
    /// since 1970; 0 if a previous owner chose it.
    pub entry_started_unix_ms: u64,
    /// The state of the start command.
    pub start_state: StartState,
    /// When the task was assigned, on this owner's clock.
    pub assigned_at: Mono,
    /// Whether the run should end because the job was cancelled or failed, or because the task has
    /// to migrate.
    pub stopping: bool,
    /// Whether the latest start command is unanswered and may still take effect.
    pub start_unanswered: bool,
    /// The CPU share that the run was last assigned, in percent.
    pub cpu_percent: u32,
    /// Whether `cpu_percent` is certain; a previous owner may have assigned another share.
    pub cpu_percent_known: bool,
    /// Whether the conditions for a best-effort task were relaxed when it was placed.
    pub relaxed: bool,
    /// Since when the CPU share of a best-effort task has been low, as of the latest report.
    pub throttled_since: Option<Mono>,
    /// The metrics in the latest report that listed the run.
    pub metrics: Option<RunMetrics>,
    /// Whether the run is slow although others on the executor progress as expected.
    pub is_slow_by_itself: bool,
    /// The progress over the interval that is assessed for a stall; `None` before the first report.
    pub progress: Option<ProgressWindow>,
}

/// The state of a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The assignment is not stored yet, and no command has been sent.
    Storing,
    /// The assignment is stored, and the command may have been sent.
    Sent,
    /// The executor confirmed the run at this time.
    Confirmed(Mono),
    /// A previous owner made the assignment, and the executor has not been polled yet.
    Inherited,
}

/// What the owner knows of a run whose end has not been reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKnowledge {
    /// No copy of the start command was executed, and none that was sent is unanswered.
    NotStarted,
    /// A copy of the start command may have been executed, or may still be.
    MayStart,
    /// The executor has confirmed the run, or has ruled out that it starts later. Reports decide
    /// whether it is still active, how it ended, or that it never was.
    Started,
}

/// Metrics of a run in an executor's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunMetrics {
    /// The progress in percent; 100 for a long-running task that is fully operational.
    pub progress: u32,
    /// For a service, the tail latency in milliseconds; otherwise, the CPU usage in thousandths of
    /// a core.
    pub tail_ms_or_cpu_millis: u64,
}

impl Assignment {
    /// Returns what is known of the run.
    #[must_use]
    pub const fn knowledge(&self) -> RunKnowledge {
        match self.start_state {
            StartState::Storing => RunKnowledge::NotStarted,
            StartState::Sent if self.start_unanswered => RunKnowledge::MayStart,
            StartState::Sent => RunKnowledge::NotStarted,
            StartState::Inherited => RunKnowledge::MayStart,
            StartState::Confirmed(_) => RunKnowledge::Started,
        }
    }
}

impl Task {
    /// Returns the number of the latest run that may have started.
    #[must_use]
    pub const fn last_possible_run(&self) -> RunNumber {
        self.run.saturating_sub(self.unstarted_runs)
    }

    /// Returns whether the task waits for nothing but an executor.
    pub(crate) fn may_start(&self, now: Mono) -> bool {
        self.phase == Phase::Waiting && now >= self.not_before
    }

    /// Returns the task's assignment, if it has one.
    #[must_use]
    pub const fn assignment(&self) -> Option<&Assignment> {
        match &self.phase {
            Phase::Assigned(assignment) => Some(assignment),
            Phase::Waiting | Phase::Done => None,
        }
    }

    /// Returns the task's assignment for modification, if it has one.
    pub const fn assignment_mut(&mut self) -> Option<&mut Assignment> {
        match &mut self.phase {
            Phase::Assigned(assignment) => Some(assignment),
            Phase::Waiting | Phase::Done => None,
        }
    }
}
