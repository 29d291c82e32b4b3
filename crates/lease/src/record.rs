//! The rows that this crate stores in the platform's table, and their keys.
//!
//! A task's row is stored under its shard, so that a successor finds all tasks of a shard with one
//! scan, and only the owner of that shard updates it. `docs/TASKS.md` describes the states.

use std::net::SocketAddr;

use model::Priority;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Epoch;
use model::id::HalfId;
use model::id::Incarnation;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

/// The ownership of a shard; the row `shard/<shard>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owner, or `None` after the shard was released.
    pub owner: Option<Owner>,
    /// The epoch of the last owner; each claim increments it.
    pub epoch: Epoch,
    /// Whether only leases of the last owner can still be valid: it released the shard after it had
    /// reached every worker with tasks, so that a successor need only wait for those leases to
    /// expire.
    #[serde(default)]
    pub settled: bool,
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon that owns the shard.
    pub daemon: DaemonId,
    /// The incarnation of the daemon that claimed the shard.
    pub incarnation: Incarnation,
}

/// A submitted task. It never changes after submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The name chosen by the submitter. It is unique and never reused.
    pub task: TaskId,
    /// The team whose quota the task counts against.
    pub team: TeamId,
    /// The class of the task, which groups tasks of similar behaviour.
    pub class: ClassId,
    /// The priority of the task in the queue.
    #[serde(default)]
    pub priority: Priority,
    /// The size declared by the submitter, which is an estimate.
    pub size: Size,
    /// The run time in milliseconds declared by the submitter, which is an estimate. A task without
    /// one runs until it is cancelled.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// The number of failed runs after which the task fails for good.
    #[serde(default = "default_max_failures")]
    pub max_failures: u32,
}

const fn default_max_failures() -> u32 {
    3
}

/// The phase of a task's lifecycle.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Phase {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker, on which it may be running or about to start.
    Assigned {
        /// The worker that the task is assigned to.
        worker: WorkerId,
        /// The resources reserved for the task on that worker.
        reserved: Size,
    },
    /// Exited successfully.
    Succeeded,
    /// Failed for good.
    Failed {
        /// The reason shown to operators.
        reason: String,
    },
    /// Cancelled, and certainly not running any more.
    Cancelled,
}

/// The row `task/<shard>/<task>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRow {
    /// The task as submitted.
    pub spec: TaskSpec,
    /// The number of the last attempt, incremented whenever the task is assigned.
    pub attempt: Attempt,
    /// The current phase.
    pub phase: Phase,
    /// The checkpoint from which the next run resumes.
    pub checkpoint: Option<CheckpointId>,
    /// The number of runs that failed on their own.
    pub failures: u32,
    /// The number of evictions.
    pub evictions: u32,
    /// Whether cancellation has been requested.
    pub cancel: bool,
}

impl TaskRow {
    /// Creates the first row of a newly submitted task.
    #[must_use]
    pub const fn queued(spec: TaskSpec) -> Self {
        Self {
            spec,
            attempt: Attempt(0),
            phase: Phase::Queued,
            checkpoint: None,
            failures: 0,
            evictions: 0,
            cancel: false,
        }
    }

    /// Returns the worker that the task is assigned to, if any.
    #[must_use]
    pub const fn worker(&self) -> Option<&WorkerId> {
        match &self.phase {
            Phase::Assigned { worker, .. } => Some(worker),
            _ => None,
        }
    }
}

impl Phase {
    /// Returns whether the task has ended and will not run again.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(
            self,
            Self::Succeeded | Self::Failed { .. } | Self::Cancelled
        )
    }
}

/// The row `job/<task>`, which locates a task and detects a second submission under its name.
///
/// It outlives the task's own row, which is deleted when the task ends so that a scan of a shard
/// does not read ended tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobRow {
    /// The task as submitted.
    pub spec: TaskSpec,
    /// The shard that the task belongs to, or belonged to when it ended.
    pub shard: ShardId,
    /// The final phase, once the task has ended.
    #[serde(default)]
    pub end: Option<Phase>,
}

/// Notifies a peer that a queued task was moved to its shard, so that it reads the row immediately
/// and not only with its next scan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HandOff {
    /// The task that was moved.
    pub task: TaskId,
    /// The shard whose owner could not place the task.
    pub from: ShardId,
    /// The shard in which the task is queued now.
    pub to: ShardId,
}

/// The heartbeat of a daemon; the row `member/<daemon>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRow {
    /// The daemon that writes this row.
    pub daemon: DaemonId,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The number of heartbeats that this incarnation has written.
    #[serde(rename = "beat")]
    pub heartbeat_count: u64,
    /// The half of the organisation that the daemon serves.
    pub half: HalfId,
    /// The region and data centre of the daemon.
    pub place: Place,
    /// The addresses under which the daemon is reachable.
    pub addresses: Addresses,
    /// Whether the daemon is shutting down and claims no more shards.
    #[serde(default)]
    pub draining: bool,
    /// The newest ballot for a document change that the daemon has read.
    #[serde(default)]
    pub ballot: RowVersion,
    /// The version of the document that the daemon has in force.
    #[serde(default)]
    pub in_force: DocVersion,
}

/// The addresses of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// The address for callers and for daemons that forward a request.
    pub callers: SocketAddr,
    /// The address for all other traffic between daemons.
    pub peers: SocketAddr,
}

/// Keys of the rows and key prefixes for scans.
pub mod key {
    use model::id::DaemonId;
    use model::id::ShardId;
    use model::id::TaskId;

    /// The key prefix of all shard rows.
    pub const SHARDS: &str = "shard/";

    /// The key prefix of all heartbeat rows.
    pub const MEMBERS: &str = "member/";

    /// Returns the key of a daemon's heartbeat row.
    #[must_use]
    pub fn member(daemon: &DaemonId) -> String {
        format!("{MEMBERS}{daemon}")
    }

    /// Returns the key of a shard's row.
    #[must_use]
    pub fn shard(shard: &ShardId) -> String {
        format!("{SHARDS}{shard}")
    }

    /// Returns the key prefix of the rows of a shard's tasks.
    #[must_use]
    pub fn tasks(shard: &ShardId) -> String {
        format!("task/{shard}/")
    }

    /// Returns the key of a task's row.
    #[must_use]
    pub fn task(shard: &ShardId, task: &TaskId) -> String {
        format!("task/{shard}/{task}")
    }

    /// Returns the key of the [`JobRow`](super::JobRow), which reserves a task's name.
    #[must_use]
    pub fn job(task: &TaskId) -> String {
        format!("job/{task}")
    }
}
