//! What an owner of a shard hears and does.

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

/// Something that an owner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// All rows below the shard, from a scan that was begun after the claim had been committed.
    Loaded(Vec<Row>),
    /// Rows below the shard that were read later, such as one that another owner handed over.
    Rows(Vec<Row>),
    /// The shard's own row, from a read that was sent at `sent`.
    ShardRow {
        /// The row, or `None` if there is none.
        row: Option<Row>,
        /// When the read was sent.
        sent: Mono,
    },
    /// What became of a transaction of [`Action::Commit`].
    Settled {
        /// The id of the transaction.
        op: OpId,
        /// What became of it.
        settled: TxnOutcome,
    },
    /// How a message of [`Action::Send`] was answered. Each one is answered at some time, by
    /// [`WorkerError::Call`] when the caller's timeout ends the wait.
    Answer {
        /// The worker.
        worker: WorkerId,
        /// The sequence of the message.
        sequence: u64,
        /// The answer.
        answer: Result<WorkerReport, WorkerError>,
    },
    /// The shard's workers as the list of hosts shows them now; others have gone from it.
    Listed(Vec<ListedWorker>),
    /// An operator asserts that a worker is dead and will run nothing any more.
    Lost(WorkerId),
    /// Whether the table answers.
    Store {
        /// Whether the last call succeeded.
        reachable: bool,
    },
    /// A task was submitted to this shard.
    Submit(TaskSpec),
    /// Somebody wants a task cancelled.
    Cancel(TaskId),
    /// The scheduler places a task.
    Start {
        /// The task.
        task: TaskId,
        /// Where it is to run.
        worker: WorkerId,
        /// What is reserved for it there.
        reserved: Size,
    },
    /// The scheduler takes a task off its worker; it resumes from the checkpoint that this makes.
    Evict(TaskId),
    /// The scheduler caps the processor time of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The cap in thousandths of its size; 1000 lifts it.
        permille: u16,
    },
    /// The scheduler moves a queued task to another shard.
    HandOff {
        /// The task.
        task: TaskId,
        /// Where it is to wait from now on.
        to: ShardId,
    },
    /// This daemon gives the shard back.
    GiveBack,
    /// Time has passed, see [`crate::ShardOwner::next_wake`].
    Tick,
}

/// A worker as the list of hosts shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// What it has.
    pub capacity: Size,
    /// Whether it is leaving.
    pub state: HostState,
}

/// Something that an owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Carry out a transaction with [`plat::commit::commit_with_retries`] and answer with
    /// [`Event::Settled`].
    Commit(Txn),
    /// Send a message to a worker and answer with [`Event::Answer`].
    Send {
        /// The worker.
        worker: WorkerId,
        /// The message.
        message: WorkerMessage,
    },
    /// Tell the scheduler and the submitters.
    Notify(Fact),
    /// Drop this owner: it has sent its last message.
    StepDown(Reason),
}

/// Why an owner has stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The shard's row names another owner.
    #[display("another daemon owns the shard")]
    Superseded,
    /// A worker obeys a higher epoch.
    #[display("a worker obeys a higher epoch")]
    Fenced,
    /// The shard's row was not seen for [`crate::timing::OWNER_WITHOUT_STORE`].
    #[display("the shard's row was not seen for too long")]
    Lapsed,
    /// The shard was given back.
    #[display("the shard was given back")]
    GivenBack,
}

/// Something that has come about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A task waits for a worker.
    Queued {
        /// The task.
        task: TaskId,
    },
    /// A task was granted to a worker.
    Started {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
    },
    /// A run of a task has ended and the task waits again.
    Requeued {
        /// The task.
        task: TaskId,
        /// Why it does not run any more.
        cause: Cause,
    },
    /// A task has ended for good.
    Ended {
        /// The task.
        task: TaskId,
        /// How.
        phase: Phase,
    },
    /// What is reserved on a worker has become less.
    Freed {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker answers under this owner's epoch.
    Reached {
        /// The worker.
        worker: WorkerId,
    },
    /// The last lease of a worker has certainly lapsed.
    WorkerLapsed {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is leaving and its tasks should be evicted.
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A decision or request was not carried out and never will be.
    Refused {
        /// The task.
        task: TaskId,
        /// Why.
        why: Refusal,
    },
    /// What became of a submission.
    Submitted {
        /// The task.
        task: TaskId,
        /// What became of it.
        result: Submission,
    },
    /// A cancellation is kept in the table and will be carried out.
    Cancelling {
        /// The task.
        task: TaskId,
    },
    /// A row below the shard cannot be read, and its task is left alone.
    Unreadable {
        /// The key of the row.
        key: String,
    },
    /// A task waits at another shard now.
    HandedOff {
        /// The task.
        task: TaskId,
        /// Where it waits.
        to: ShardId,
    },
}

/// Why a run ended without ending its task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Cause {
    /// It was evicted.
    #[display("evicted")]
    Evicted,
    /// It failed by itself and may try again.
    #[display("failed")]
    Failed,
    /// The worker stopped it, or lost it, without being asked.
    #[display("stopped by its worker")]
    Stopped,
    /// The worker's lease has certainly lapsed.
    #[display("its worker was lost")]
    WorkerLost,
}

/// Why something was not done.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// There is no such task in this shard.
    #[display("no such task in this shard")]
    UnknownTask,
    /// The task is not in the phase that it would have to be in.
    #[display("the task is in another phase")]
    WrongPhase,
    /// A write of the task's row is under way or in doubt.
    #[display("a write of the task's row is under way")]
    InDoubt,
    /// The worker has no room, or cannot take new tasks now.
    #[display("the worker cannot take the task now")]
    NoRoom,
    /// The table does not answer.
    #[display("the table does not answer")]
    NoStore,
    /// The shard is being given back, or its rows are not read yet.
    #[display("the shard is not served now")]
    NotServing,
    /// The table refused the write, or the row was not as expected.
    #[display("the table refused the write")]
    ByTable,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Submission {
    /// The task was new and waits now.
    #[display("accepted")]
    Accepted,
    /// The same task had been submitted before.
    #[display("already submitted")]
    Repeated,
    /// Another task has this name.
    #[display("the name belongs to another task")]
    Conflict,
    /// It was not written and never will be.
    #[display("not accepted: {_0}")]
    NotAccepted(Refusal),
}
