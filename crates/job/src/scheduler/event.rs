//! Scheduling events for logs and metrics, with the details needed to diagnose a job by its name.

use std::sync::Arc;
use std::time::Duration;

use super::JobKey;
use super::RunOutcome;
use super::TaskKey;
use crate::evacuation::EvacuationProblem;
use crate::fault_attribution::StallCause;
use crate::fleet::ExecutorKey;
use crate::id::TaskId;
use crate::ranking::Rank;
use crate::task::RunNumber;

/// A scheduling decision or a change that was observed, with its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Tasks of a step were assigned to executors.
    Placed {
        /// The job.
        job: JobKey,
        /// The index of the step.
        step: u32,
        /// The number of tasks assigned.
        tasks: usize,
        /// The rank that determined the step's position in the placement order.
        rank: Rank,
    },
    /// The first task of a job has started.
    JobStarted {
        /// The job.
        job: JobKey,
        /// The time since the job's arrival, in milliseconds.
        after_ms: u64,
    },
    /// An executor reported the end of a run.
    RunEnded {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: RunNumber,
        /// The executor of the run.
        executor: ExecutorKey,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// The CPU share of a best-effort task was changed.
    Throttled {
        /// The task.
        task: TaskKey,
        /// The new CPU share in percent.
        cpu_percent: u32,
        /// How long a tail latency on the executor has exceeded its target.
        over_target_for: Duration,
    },
    /// A throttled best-effort task is stopped, so that it starts on another executor.
    Moved {
        /// The task.
        task: TaskKey,
        /// The executor that it leaves.
        executor: ExecutorKey,
        /// How long its CPU share was low.
        throttled_for: Duration,
    },
    /// A run of a task failed.
    RunFailed {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: RunNumber,
        /// The executor of the run.
        executor: ExecutorKey,
        /// The number of the task's failed runs, or of its gang's.
        failures: u32,
        /// The number of failures at which the job fails, if it is known.
        attempts: Option<u32>,
    },
    /// The end of an abandoned run was reported after a later start of the task, so that it is not
    /// acknowledged.
    EndWithheld {
        /// The task.
        task: TaskId,
        /// The number of the abandoned run.
        run: RunNumber,
        /// The executor of the run.
        executor: ExecutorKey,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// The store refuses the record of a job, so that the job is set aside.
    JobSetAside {
        /// The job.
        job: JobKey,
    },
    /// Checkpoints were left out of a record so that it fits a row.
    CheckpointsOmitted {
        /// The job.
        job: JobKey,
        /// The number of checkpoints.
        checkpoints: usize,
    },
    /// An executor that lists ends which must not be acknowledged gets no tasks until its lease has
    /// expired with a run on it.
    RecoveryBegan {
        /// The executor.
        executor: ExecutorKey,
        /// The number of ends that it lists.
        ends: usize,
        /// The number of tasks that it has.
        tasks: usize,
    },
    /// The lease of such an executor has expired, so that its ends can be acknowledged again.
    RecoveryEnded {
        /// The executor.
        executor: ExecutorKey,
        /// The time since the recovery began, in milliseconds.
        after_ms: u64,
    },
    /// A later process is listed at the address of a silent executor, and is asked whether it is there.
    SuccessorAsked {
        /// The silent executor.
        executor: ExecutorKey,
        /// The executor that the later process is.
        successor: ExecutorKey,
    },
    /// A later process has answered at the address of a silent executor.
    ExecutorReplaced {
        /// The executor whose process has ended.
        executor: ExecutorKey,
        /// The executor that the later process is.
        successor: ExecutorKey,
        /// The number of tasks assigned to the earlier one.
        tasks: usize,
    },
    /// An executor has crashed, and tasks that it had just started are suspected.
    ExecutorCrashed {
        /// The executor.
        executor: ExecutorKey,
        /// The number of suspected tasks.
        suspects: usize,
    },
    /// An executor is kept for short work that finds no room.
    KeptForShortWork {
        /// The executor.
        executor: ExecutorKey,
        /// The number of long-running tasks that are stopped there.
        stopped: usize,
    },
    /// A long-running task takes the place of another one.
    TurnTaken {
        /// The task that was without a run.
        task: TaskKey,
        /// The task that is stopped.
        stopped: TaskKey,
        /// Their executor.
        executor: ExecutorKey,
    },
    /// A task that waited for a place near its data or in one rack starts.
    PlaceWaitEnded {
        /// The task.
        task: TaskKey,
        /// The rack that it waited for.
        rack: Arc<str>,
        /// Whether it starts in that rack.
        is_near: bool,
        /// For how long it waited.
        waited: Duration,
    },
    /// No task is placed on an executor for some time.
    CooldownStarted {
        /// The executor.
        executor: ExecutorKey,
        /// The task whose run was the reason.
        task: TaskKey,
        /// What happened to the run.
        reason: CooldownReason,
    },
    /// A run is stopped because its progress has stalled.
    RunStalled {
        /// The task.
        task: TaskKey,
        /// The executor of the run.
        executor: ExecutorKey,
        /// How often the task was stopped for a stall, this time included.
        stalls: u32,
        /// The cause of the stall.
        cause: StallCause,
    },
    /// A job fails because executors crash under one of its tasks.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// The executor that crashed last.
        executor: ExecutorKey,
        /// The number of executors that have crashed in a row.
        crashes: u32,
    },
    /// An evacuation of a data centre has begun, or this owner has read of it for the first time.
    EvacuationBegan {
        /// The data centre.
        data_centre: Arc<str>,
        /// The number of executors there.
        executors: usize,
        /// The number of tasks assigned to them.
        tasks: usize,
    },
    /// An evacuation of a data centre has ended.
    EvacuationEnded {
        /// The data centre.
        data_centre: Arc<str>,
        /// The time since this owner first read of it.
        lasted: Duration,
        /// The number of tasks that are still assigned to executors there.
        tasks: usize,
        /// The number of start commands that were withdrawn.
        withdrawn_starts: u64,
    },
    /// An evacuation cannot have the effect that operators expect. It is obeyed nevertheless.
    EvacuationProblemFound {
        /// What is wrong.
        problem: EvacuationProblem,
    },
    /// An executor is listed as slow after its start.
    ExecutorCold {
        /// The executor.
        executor: ExecutorKey,
        /// How much longer it stays slow.
        remaining: Duration,
    },
    /// A start command is withdrawn because the data centre of its executor is evacuated.
    StartWithdrawn {
        /// The data centre.
        data_centre: Arc<str>,
    },
    /// A run was lost, and its task waits for another start.
    RunLost {
        /// The task.
        task: TaskKey,
        /// The number of the run.
        run: RunNumber,
        /// The executor of the run.
        executor: ExecutorKey,
        /// The reason for the loss.
        reason: LossReason,
        /// The time from the confirmation of the run to the latest answer of the executor, in
        /// milliseconds; 0 if the run was not confirmed.
        seen_ms: u64,
    },
}

/// The reason why no task is placed on an executor for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CooldownReason {
    /// Tasks of several jobs made too little progress there.
    Stalled,
    /// Runs of several distinct jobs failed there in a row.
    Failures,
    /// It refused a start.
    Refused,
}

impl CooldownReason {
    /// Returns the value used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Failures => "failures",
            Self::Refused => "refused",
        }
    }
}

/// The reason why a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The executor was unreachable until its leases had expired.
    LeaseExpired,
    /// The executor restarted.
    ExecutorRestarted,
    /// The executor is reachable and does not know the run.
    UnknownToExecutor,
    /// The run was stopped, or its lease expired.
    Interrupted,
    /// The executor refused to start the run.
    Refused,
}

impl LossReason {
    /// Returns the value used in logs and metrics.
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
