//! Decisions worth telling of: what an engineer needs to get from a job's name to its cause.

use std::time::Duration;

use super::JobKey;
use super::RunOutcome;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::ranking::Rank;
use crate::task::RunNumber;

/// One decision, with what decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Tasks of a step were assigned to executors.
    Placed {
        /// The job.
        job: JobKey,
        /// The step.
        step: u32,
        /// How many tasks.
        tasks: usize,
        /// What put the step where it was in the order.
        rank: Rank,
    },
    /// The first task of a job has started.
    JobStarted {
        /// The job.
        job: JobKey,
        /// How long after its arrival, in milliseconds.
        after_ms: u64,
    },
    /// An executor listed the end of a run.
    RunEnded {
        /// The task.
        task: TaskKey,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
        /// How.
        outcome: RunOutcome,
    },
    /// A task that fills was told another share.
    Throttled {
        /// The task.
        task: TaskKey,
        /// The share, in percent.
        cpu_percent: u32,
        /// For how long a tail beside it has been over its target.
        over_target_for: Duration,
    },
    /// A run of a task failed.
    RunFailed {
        /// The task.
        task: TaskKey,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
        /// How many runs of the task have failed.
        failures: u32,
        /// After how many failures its job has failed.
        attempts: u32,
    },
    /// A run was lost, and its task waits again.
    RunLost {
        /// The task.
        task: TaskKey,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
        /// Why.
        reason: LossReason,
    },
}

/// Why a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The executor could not be reached until its leases had lapsed.
    LeaseExpired,
    /// The executor started anew.
    ExecutorRestarted,
    /// The executor answers and does not know the run.
    UnknownToExecutor,
    /// The run was interrupted: stopped, or its lease lapsed.
    Interrupted,
    /// The executor refused to start it.
    Refused,
}

impl LossReason {
    /// Returns a word for it in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_lapsed",
            Self::ExecutorRestarted => "executor_restarted",
            Self::UnknownToExecutor => "unknown_to_executor",
            Self::Interrupted => "interrupted",
            Self::Refused => "refused",
        }
    }
}
