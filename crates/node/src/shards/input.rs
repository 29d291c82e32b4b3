//! What comes in to the part that owns the shards.

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

/// One input.
#[derive(Debug)]
pub enum Input {
    /// The shards' rows were read, or the table did not answer.
    ShardRows {
        /// The rows; `None` if the table did not answer.
        rows: Option<Vec<Row>>,
        /// When the read was sent.
        sent: Mono,
    },
    /// What became of a claim.
    Claimed {
        /// What this daemon owns if it was committed.
        claimed: Ownership,
        /// When the claim was sent.
        sent: Mono,
        /// Whether it was committed.
        committed: bool,
    },
    /// The rows below a shard were read; `None` if the table did not answer.
    TaskRows {
        /// The shard.
        shard: ShardId,
        /// The epoch under which the read was asked for.
        epoch: Epoch,
        /// The rows.
        rows: Option<Vec<Row>>,
        /// Whether these are all rows, read after the claim.
        complete: bool,
    },
    /// What became of a transaction of an owner.
    Settled {
        /// The shard.
        shard: ShardId,
        /// The epoch of the owner that asked for it.
        epoch: Epoch,
        /// The id of the transaction.
        op: OpId,
        /// What became of it.
        settled: TxnOutcome,
    },
    /// How a worker answered.
    Answer {
        /// The shard.
        shard: ShardId,
        /// The epoch of the owner that sent the message.
        epoch: Epoch,
        /// The worker.
        worker: WorkerId,
        /// The sequence of the message.
        sequence: u64,
        /// The answer.
        answer: Result<WorkerReport, WorkerError>,
    },
    /// Somebody asks for something.
    Asked {
        /// What.
        request: Request,
        /// Where the answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// All shards are to be given back.
    GiveBack {
        /// Told once none is left.
        done: oneshot::Sender<()>,
    },
    /// Somebody wants to see the state.
    Snapshot {
        /// Where it goes.
        reply: oneshot::Sender<Snapshot>,
    },
}

/// What can be asked of a shard's owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Queues a task.
    Submit {
        /// The shard; without it, whichever suits the task.
        shard: Option<ShardId>,
        /// What was asked for.
        spec: TaskSpec,
    },
    /// Cancels a task.
    Cancel {
        /// The shard.
        shard: ShardId,
        /// The task.
        task: TaskId,
    },
    /// Reads the shard's rows again, because one was handed to it.
    Rescan {
        /// The shard.
        shard: ShardId,
    },
    /// Tells what holds tasks of the shard back.
    Held {
        /// The shard.
        shard: ShardId,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Takes a worker for dead on an operator's word.
    WorkerLost {
        /// The shard.
        shard: ShardId,
        /// The worker.
        worker: WorkerId,
    },
}

/// What became of a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It took effect at this shard.
    Done(ShardId),
    /// Those of the tasks that wait, with what holds each back.
    Held(BTreeMap<TaskId, String>),
    /// It certainly did not take effect, and why.
    Refused(String),
    /// This daemon does not own the shard; the one that does, as far as is known.
    Elsewhere {
        /// The shard.
        shard: ShardId,
        /// Its owner.
        owner: Option<DaemonId>,
    },
    /// It may or may not have taken effect.
    Unknown,
}

/// What the part holds, for status and dump.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// The shards, owned here or not, by name.
    pub shards: Vec<ShardStatus>,
    /// Whether the table answered the last read.
    pub store_reachable: bool,
    /// What the scheduler holds.
    pub sched: serde_json::Value,
    /// The last decisions, the newest last.
    pub recent: Vec<serde_json::Value>,
}

/// One shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The owner that its row names.
    pub owner: Option<DaemonId>,
    /// Counts its owners.
    pub epoch: Epoch,
    /// Whether this daemon runs its owner.
    pub here: bool,
    /// How many workers it has.
    pub workers: usize,
    /// Its tasks that have not ended; empty if it is not owned here.
    pub tasks: Vec<TaskStatus>,
}

/// One task of an owned shard.
#[derive(Clone, Debug, Serialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Counts its runs.
    pub attempt: Attempt,
    /// The worker it is granted to.
    pub worker: Option<WorkerId>,
    /// What is reserved for it.
    pub reserved: Option<Size>,
    /// Whether a write of its row is in doubt.
    pub in_doubt: bool,
    /// What holds it back; for the first of many only.
    pub held: Option<String>,
}
