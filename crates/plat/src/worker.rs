//! The agent on a worker, which runs tasks under a lease.
//!
//! Every message contains the shard's epoch. The agent rejects an epoch below the highest one it
//! has seen, and stops all its tasks when its lease expires. See `docs/TASKS.md`.

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

/// The timeout of a call to a worker.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest accepted response body of a worker, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The state of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// It is running.
    Running,
    /// It ended by itself and succeeded.
    Succeeded,
    /// It ended by itself and failed.
    Failed,
    /// It was stopped on request or because the lease expired.
    Stopped,
}

/// The report of a worker about one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunReport {
    /// The id of the task.
    pub task: TaskId,
    /// The attempt to which this run belongs.
    pub attempt: Attempt,
    /// The state of the run.
    pub state: RunState,
    /// The resources that it used over the report's window; lags behind the actual usage.
    pub usage: Size,
    /// The last checkpoint of the task that the worker has stored.
    pub checkpoint: Option<CheckpointId>,
    /// The progress, in milliseconds of unthrottled run time.
    pub progress_ms: u64,
    /// The 99th percentile of the response times in microseconds, for latency-critical tasks.
    pub p99_us: Option<u64>,
    /// The current limit of its processor time, in thousandths of its size.
    pub throttle_permille: u16,
}

/// The response of a worker to every message: all runs that are active or not yet released.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// The sequence number of the report; one with a lower number is older. The upper 32 bits are
    /// the incarnation of the agent, for instance its start time in seconds; see
    /// [`Self::incarnation`].
    pub sequence: u64,
    /// The age of the usage figures, in milliseconds.
    pub age_ms: u64,
    /// The active runs, and the ended ones until [`Command::Release`].
    pub runs: Vec<RunReport>,
}

impl WorkerReport {
    /// Returns the incarnation of the agent; no run of an earlier incarnation is active any more.
    #[must_use]
    pub const fn incarnation(&self) -> u32 {
        (self.sequence >> 32) as u32
    }
}

/// A command for one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Starts a run; idempotent.
    Start {
        /// The id of the task.
        task: TaskId,
        /// The attempt to start.
        attempt: Attempt,
        /// The class of the task, for the worker's own guards.
        class: ClassId,
        /// The resources that it may use.
        size: Size,
        /// The checkpoint from which it continues, or `None` to start from the beginning.
        checkpoint: Option<CheckpointId>,
    },
    /// Stops a run, which is then reported as [`RunState::Stopped`].
    Stop {
        /// The id of the task.
        task: TaskId,
        /// The attempt to stop.
        attempt: Attempt,
        /// Whether to store a checkpoint before stopping.
        checkpoint: bool,
    },
    /// Limits the processor time of a run.
    Throttle {
        /// The id of the task.
        task: TaskId,
        /// The attempt to throttle.
        attempt: Attempt,
        /// The limit in thousandths of its size; 1000 removes it.
        permille: u16,
    },
    /// Removes an ended run from the reports, once its end is stored in the table.
    Release {
        /// The id of the task.
        task: TaskId,
        /// The attempt to release.
        attempt: Attempt,
    },
}

/// A message to a worker, which renews its lease and contains commands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerMessage {
    /// The epoch of the shard that the sender owns.
    pub epoch: Epoch,
    /// The sequence number of the message within this epoch. The agent ignores a message whose
    /// number is not above the last one, so that a delayed or repeated copy has no effect.
    #[serde(default)]
    pub sequence: u64,
    /// The sequence of the agent's newest report that the sender has received, 0 for none. The
    /// lease starts when the agent created that report, so that a long-delayed message does not
    /// extend it.
    #[serde(default, rename = "answers")]
    pub last_report: u64,
    /// The duration of the lease in milliseconds, counted from the creation of `last_report`.
    pub lease_ms: u64,
    /// The commands, in the order of their execution.
    pub commands: Vec<Command>,
}

/// The error of a message to a worker.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq, Hash)]
pub enum WorkerError {
    /// The worker has seen a higher epoch and did not execute the message.
    #[from(skip)]
    #[display("the worker obeys epoch {epoch}")]
    Fenced {
        /// The highest epoch that the worker has seen.
        epoch: Epoch,
    },
    /// The call failed; the variant of the error shows whether it may have had an effect.
    #[display("{_0}")]
    Call(#[error(not(source))] CallError),
}

/// A message with the address of its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRequest {
    /// The address on which the worker's agent listens.
    pub address: SocketAddr,
    /// The message to send.
    pub message: WorkerMessage,
}

/// The interface to the agents of all workers.
#[derive(Clone)]
pub struct Workers {
    /// Sends a message and returns the worker's report.
    pub send: Call<WorkerRequest, Result<WorkerReport, WorkerError>>,
}
