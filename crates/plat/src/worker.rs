//! The agent on a worker, which runs tasks under a lease.
//!
//! Every message carries the shard's epoch; the agent refuses one below the highest it has seen and
//! stops everything it runs once its lease has lapsed. See `docs/TASKS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::Epoch;
use model::id::TaskId;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Call;
use crate::error::CallError;

pub mod http;

pub use self::http::http;

/// How long one call of a worker may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer of a worker that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// How a task on a worker is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It runs.
    Running,
    /// It ended by itself and succeeded.
    Succeeded,
    /// It ended by itself and failed.
    Failed,
    /// It was stopped on request or because the lease lapsed.
    Stopped,
}

/// One task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: Attempt,
    /// How it is doing.
    pub state: RunState,
    /// What it used over the report's window; lags behind the truth.
    pub usage: Size,
    /// The last checkpoint the worker has stored of it.
    pub checkpoint: Option<CheckpointId>,
    /// How far it has come, in milliseconds of unthrottled run time.
    pub progress_ms: u64,
    /// The 99th percentile of its answers in microseconds, for latency-critical tasks.
    pub p99_us: Option<u64>,
    /// The cap on its processor time now, in thousandths of its size.
    pub throttle_permille: u16,
}

/// The answer of a worker to every message: all that it runs or has ended without being released.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The highest epoch the agent has seen.
    pub epoch: Epoch,
    /// Counts the agent's reports; one with a lower number is older. The upper 32 bits count the
    /// lives of the agent, for instance by its start time in seconds; see [`Self::incarnation`].
    pub sequence: u64,
    /// How old the usage figures are, in milliseconds.
    pub age_ms: u64,
    /// The tasks.
    pub runs: Vec<RunReport>,
}

impl WorkerReport {
    /// Which life of the agent made this report; nothing of an earlier life runs any more.
    #[must_use]
    pub const fn incarnation(&self) -> u32 {
        (self.sequence >> 32) as u32
    }
}

/// What to do with one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Starts a run; repeated, it has no further effect.
    Start {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
        /// Its class, for the worker's own guards.
        class: ClassId,
        /// What it may use.
        size: Size,
        /// Where it goes on from.
        checkpoint: Option<CheckpointId>,
    },
    /// Stops a run; the report then says so.
    Stop {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
        /// Whether to store a checkpoint before stopping.
        checkpoint: bool,
    },
    /// Caps the processor time of a run.
    Throttle {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
        /// The cap in thousandths of its size; 1000 lifts it.
        permille: u16,
    },
    /// Forgets a run that has ended, once the table holds its end.
    Release {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
    },
}

/// One message to a worker: renews its lease and carries commands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerMessage {
    /// The epoch of the shard that the sender owns.
    pub epoch: Epoch,
    /// Counts the messages under this epoch; the agent carries out none that is not above the last
    /// one, so that a late or repeated copy has no effect.
    #[serde(default)]
    pub sequence: u64,
    /// The newest report of the agent that the sender has seen, 0 for none. The lease counts from
    /// when the agent made it, so that a message that was long under way renews nothing.
    #[serde(default, rename = "answers")]
    pub last_report: u64,
    /// How long the worker may go on from when it made the report in `last_report`, in milliseconds.
    pub lease_ms: u64,
    /// What to do, in this order.
    pub commands: Vec<Command>,
}

/// Why a message to a worker brought no report.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq, Hash)]
pub enum WorkerError {
    /// The worker has seen a higher epoch and did nothing.
    #[from(skip)]
    #[display("the worker obeys epoch {epoch}")]
    Fenced {
        /// The epoch the worker obeys.
        epoch: Epoch,
    },
    /// The call itself failed.
    #[display("{_0}")]
    Call(#[error(not(source))] CallError),
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRequest {
    /// Where the worker's agent listens.
    pub address: SocketAddr,
    /// The message.
    pub message: WorkerMessage,
}

/// The call of a worker's agent.
#[derive(Clone)]
pub struct Workers {
    /// Sends a message and returns the worker's report.
    pub send: Call<WorkerRequest, Result<WorkerReport, WorkerError>>,
}
