//! The inputs and outputs of a shard owner.

use derive_more::Display;
use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::OpId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use plat::commit::TxnOutcome;
use plat::hosts::HostState;
use plat::table::Row;
use plat::table::Txn;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use crate::record::Phase;
use crate::record::TaskSpec;

/// An input of a [`crate::ShardOwner`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// All task rows of the shard, from a scan that was started after the claim was committed.
    Loaded(Vec<Row>),
    /// Task rows of the shard that were read later, such as one handed off by another owner.
    RowsRead(Vec<Row>),
    /// The shard's own row, from a read that was sent at `sent`.
    ShardRow {
        /// The row, or `None` if it does not exist.
        row: Option<Row>,
        /// When the read was sent.
        sent: Mono,
    },
    /// The outcome of a transaction of [`Action::Commit`].
    Settled {
        /// The id of the transaction.
        op: OpId,
        /// The outcome, which may be unknown.
        settled: TxnOutcome,
    },
    /// The answer to a message of [`Action::Send`]. Each message is eventually answered: with
    /// [`WorkerError::Call`] if the call times out.
    Answer {
        /// The worker that the message was sent to.
        worker: WorkerId,
        /// The sequence number of the message.
        sequence: u64,
        /// The worker's report, or the error of the call.
        answer: Result<WorkerReport, WorkerError>,
    },
    /// The complete list of the shard's workers in the host list; all others have been removed.
    WorkersListed(Vec<ListedWorker>),
    /// An operator asserts that a worker is dead and runs nothing any more.
    WorkerLost(WorkerId),
    /// Reports whether the table is reachable.
    StoreStatus {
        /// Whether the last call succeeded.
        reachable: bool,
    },
    /// A task was submitted to this shard.
    Submit(TaskSpec),
    /// Cancellation of a task was requested.
    Cancel(TaskId),
    /// The scheduler assigns a task to a worker.
    Start {
        /// The task to start.
        task: TaskId,
        /// The worker to run the task on.
        worker: WorkerId,
        /// The resources to reserve on the worker.
        reserved: Size,
    },
    /// The scheduler evicts a task from its worker. The task is checkpointed, requeued and resumed
    /// later.
    Evict(TaskId),
    /// The scheduler limits the processor time of a task.
    Throttle {
        /// The task to throttle.
        task: TaskId,
        /// The limit in thousandths of the reserved size; 1000 removes it.
        permille: u16,
    },
    /// The scheduler moves a queued task to another shard.
    HandOff {
        /// The task to move.
        task: TaskId,
        /// The shard to move the task to.
        to: ShardId,
    },
    /// This daemon releases the shard.
    ReleaseShard,
    /// Time has passed, see [`crate::ShardOwner::next_wake`].
    Tick,
}

/// A worker's entry in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The resources of the worker.
    pub capacity: Size,
    /// Whether the worker's host is leaving.
    pub state: HostState,
}

/// An output of a [`crate::ShardOwner`], for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Execute a transaction with [`plat::commit::commit_with_retries`] and respond with
    /// [`Event::Settled`].
    Commit(Txn),
    /// Send a message to a worker and respond with [`Event::Answer`].
    Send {
        /// The recipient.
        worker: WorkerId,
        /// The message to send.
        message: WorkerMessage,
    },
    /// Notify the scheduler and the submitters.
    Notify(Notification),
    /// Drop this owner, which has stopped and will return no more actions.
    StepDown(StopReason),
}

/// The reason why an owner stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The shard's row names another owner.
    #[display("another daemon owns the shard")]
    Superseded,
    /// A worker obeys a higher epoch.
    #[display("a worker obeys a higher epoch")]
    Fenced,
    /// The owner could not verify its ownership for [`crate::timing::OWNER_STORE_TIMEOUT`].
    #[display("the shard's row was not seen for too long")]
    StoreTimeout,
    /// The shard was released.
    #[display("the shard was given back")]
    Released,
}

/// A state change that the scheduler or a submitter has to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A task is queued and waits for a worker.
    Queued {
        /// The queued task.
        task: TaskId,
    },
    /// A task was assigned to a worker. The assignment is committed, but the run may not have
    /// started yet.
    Started {
        /// The assigned task.
        task: TaskId,
        /// The number of this attempt.
        attempt: Attempt,
        /// The worker that the task is assigned to.
        worker: WorkerId,
    },
    /// A run of a task has ended and the task is queued again.
    Requeued {
        /// The requeued task.
        task: TaskId,
        /// Why the run ended.
        cause: RequeueCause,
    },
    /// A task has ended and will not run again.
    Ended {
        /// The ended task.
        task: TaskId,
        /// The final phase.
        phase: Phase,
    },
    /// The reserved share of a worker's capacity has decreased.
    CapacityFreed {
        /// The worker with more free capacity.
        worker: WorkerId,
    },
    /// A worker has sent its first report under this owner's epoch, or the first one after it was
    /// unreachable or restarted.
    WorkerReachable {
        /// The worker that reported.
        worker: WorkerId,
    },
    /// The last lease of a worker has certainly expired.
    WorkerLeaseExpired {
        /// The worker, which runs nothing any more.
        worker: WorkerId,
    },
    /// A worker is leaving and its tasks should be evicted.
    WorkerLeaving {
        /// The leaving worker.
        worker: WorkerId,
    },
    /// A scheduling decision or request was not executed and never will be.
    Refused {
        /// The task that the decision or request was about.
        task: TaskId,
        /// The reason for the refusal.
        reason: Refusal,
    },
    /// A submission was processed.
    Submitted {
        /// The submitted task.
        task: TaskId,
        /// The outcome of the submission.
        outcome: SubmitOutcome,
    },
    /// A cancellation is stored in the table and will take effect.
    Cancelling {
        /// The task to be cancelled.
        task: TaskId,
    },
    /// A task row of the shard cannot be parsed, and its task is ignored.
    UnreadableRow {
        /// The key of the row.
        key: String,
    },
    /// A queued task was moved to another shard.
    HandedOff {
        /// The moved task.
        task: TaskId,
        /// The shard in which the task is queued now.
        to: ShardId,
    },
}

/// The reason why a run ended and its task was requeued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RequeueCause {
    /// The run was evicted.
    #[display("evicted")]
    Evicted,
    /// The run failed on its own, and the task may be retried.
    #[display("failed")]
    Failed,
    /// The worker stopped or lost the run without a command to do so.
    #[display("stopped by its worker")]
    Stopped,
    /// The worker's lease has certainly expired.
    #[display("its worker was lost")]
    WorkerLost,
}

/// The reason why a scheduling decision or request was not executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The shard has no such task.
    #[display("no such task in this shard")]
    UnknownTask,
    /// The task is not in the phase that the operation requires.
    #[display("the task is in another phase")]
    WrongPhase,
    /// A write of the task's row is in flight or in doubt.
    #[display("a write of the task's row is under way")]
    InDoubt,
    /// The worker has too little free capacity or does not accept tasks now.
    #[display("the worker cannot take the task now")]
    NoRoom,
    /// The table is unreachable.
    #[display("the table does not answer")]
    NoStore,
    /// The shard is being released, or its rows have not been read yet.
    #[display("the shard is not served now")]
    NotServing,
    /// The table refused the write, or the row had changed.
    #[display("the table refused the write")]
    ByTable,
}

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum SubmitOutcome {
    /// The task was new and is queued now.
    #[display("accepted")]
    Accepted,
    /// The same task was submitted before.
    #[display("already submitted")]
    Repeated,
    /// The name belongs to a task with another specification.
    #[display("the name belongs to another task")]
    Conflict,
    /// The task was not written to the table and never will be.
    #[display("not accepted: {_0}")]
    NotAccepted(Refusal),
}
