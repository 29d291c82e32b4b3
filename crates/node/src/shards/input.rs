//! Messages to and from the part that owns shards.

use std::collections::BTreeMap;

use lease::claim::Ownership;
use lease::record::TaskSpec;
use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::DaemonId;
use model::id::Epoch;
use model::id::OpId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use plat::commit::TxnOutcome;
use plat::table::Row;
use plat::worker::WorkerError;
use plat::worker::WorkerReport;
use serde::Serialize;
use tokio::sync::oneshot;

/// A message to the part's event loop.
#[derive(Debug)]
pub enum Input {
    /// The rows of all shards were read, or the table did not answer.
    ShardRows {
        /// The rows; `None` if the table did not answer.
        rows: Option<Vec<Row>>,
        /// When the read was sent.
        sent: Mono,
    },
    /// The result of a claim.
    Claimed {
        /// The ownership that holds if the claim was committed.
        claimed: Ownership,
        /// When the claim was sent.
        sent: Mono,
        /// Whether the claim was committed; `false` also if its outcome is unknown.
        committed: bool,
    },
    /// The task rows of a shard were read.
    TaskRows {
        /// The shard whose rows were read.
        shard: ShardId,
        /// The epoch of the owner that requested the read.
        epoch: Epoch,
        /// The rows; `None` if the table did not answer.
        rows: Option<Vec<Row>>,
        /// Whether this is the initial load: all rows, read after the claim.
        complete: bool,
    },
    /// The result of a transaction of an owner.
    Settled {
        /// The shard of the owner.
        shard: ShardId,
        /// The epoch of the owner that requested the transaction.
        epoch: Epoch,
        /// The id of the transaction.
        op: OpId,
        /// The outcome of the transaction; it may be unknown.
        settled: TxnOutcome,
    },
    /// The answer of a worker to a message.
    Answer {
        /// The shard of the owner that sent the message.
        shard: ShardId,
        /// The epoch of the owner that sent the message.
        epoch: Epoch,
        /// The worker to which the message was sent.
        worker: WorkerId,
        /// The sequence number of the message.
        sequence: u64,
        /// The worker's report, or why there is none.
        answer: Result<WorkerReport, WorkerError>,
    },
    /// A request to the owner of a shard.
    Request {
        /// The request.
        request: Request,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// A request to release all shards.
    ReleaseAll {
        /// Completed once no shard is owned any more.
        done: oneshot::Sender<()>,
    },
    /// A request for the current state.
    Snapshot {
        /// Receives the state.
        reply: oneshot::Sender<Snapshot>,
    },
}

/// A request to the owner of a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Submits a task.
    Submit {
        /// The shard at which the task is queued; if `None`, one is chosen for the task.
        shard: Option<ShardId>,
        /// The specification of the task.
        spec: TaskSpec,
    },
    /// Cancels a task.
    Cancel {
        /// The shard at which the task is queued or assigned.
        shard: ShardId,
        /// The task to cancel.
        task: TaskId,
    },
    /// Reads the task rows of the shard again, because one was handed to it.
    Rescan {
        /// The shard to rescan.
        shard: ShardId,
    },
    /// Returns the wait reasons of tasks of the shard.
    WaitReasons {
        /// The shard at which the tasks are queued.
        shard: ShardId,
        /// The tasks to explain.
        tasks: Vec<TaskId>,
    },
    /// Declares a worker lost on behalf of an operator.
    WorkerLost {
        /// The shard of the worker.
        shard: ShardId,
        /// The worker that is lost.
        worker: WorkerId,
    },
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request took effect at this shard.
    Done(ShardId),
    /// The wait reason of each of the tasks that waits.
    WaitReasons(BTreeMap<TaskId, String>),
    /// The request certainly did not take effect, for this reason.
    Refused(String),
    /// This daemon does not own the shard.
    NotOwner {
        /// The shard that the request names.
        shard: ShardId,
        /// The daemon that owns it, as far as is known.
        owner: Option<DaemonId>,
    },
    /// The request may or may not have taken effect.
    Unknown,
}

/// The state of the part, for status and dump.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// All known shards, owned here or not, ordered by name.
    pub shards: Vec<ShardStatus>,
    /// Whether the table answered the last read of the shards' rows.
    pub store_reachable: bool,
    /// The scheduler's dump.
    pub sched: serde_json::Value,
    /// The most recent decisions of the scheduler, newest last.
    pub recent: Vec<serde_json::Value>,
}

/// The status of a shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// Identifier of the shard.
    pub shard: ShardId,
    /// The daemon that its row names as owner.
    pub owner: Option<DaemonId>,
    /// Epoch of its latest owner; 0 if it was never owned.
    pub epoch: Epoch,
    /// Whether an owner runs in this daemon and may act.
    pub here: bool,
    /// Number of its workers in the host list.
    pub workers: usize,
    /// Its tasks that have not ended; empty unless it is owned here.
    pub tasks: Vec<TaskStatus>,
}

/// The status of a task of an owned shard.
#[derive(Clone, Debug, Serialize)]
pub struct TaskStatus {
    /// Identifier of the task.
    pub task: TaskId,
    /// Number of its current or latest attempt.
    pub attempt: Attempt,
    /// The worker to which it is assigned.
    pub worker: Option<WorkerId>,
    /// The capacity reserved for it while it is assigned.
    pub reserved: Option<Size>,
    /// Whether the outcome of a write to its row is unknown.
    pub in_doubt: bool,
    /// Why it is not started; given only for the first waiting tasks of a shard.
    #[serde(rename = "held")]
    pub wait_reason: Option<String>,
}
