//! The rows that this crate keeps in the platform's table, and their keys.
//!
//! A task's row lives below its shard, so that a successor finds all tasks of a shard with one scan,
//! and only the owner of that shard moves it on. `docs/TASKS.md` has the states.

use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::DaemonId;
use model::id::Epoch;
use model::id::Incarnation;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// Who owns a shard; the row `shard/<shard>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owner, or `None` once it was given back.
    pub owner: Option<Owner>,
    /// Counts the owners.
    pub epoch: Epoch,
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: DaemonId,
    /// Which life of it.
    pub incarnation: Incarnation,
}

/// How urgent a task is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Waits for its share.
    #[default]
    Normal,
    /// Starts within 2.5 s where any worker can hold it, evicting batch work if need be.
    Urgent,
}

/// What a team asked for; it never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The name, chosen by the submitter, unique for ever.
    pub task: TaskId,
    /// Whose quota it counts against.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// How urgent it is.
    #[serde(default)]
    pub priority: Priority,
    /// The declared size, which is a claim.
    pub size: Size,
    /// The declared run time in milliseconds, which is a claim; `None` runs until cancelled.
    #[serde(default)]
    pub run_ms: Option<u64>,
    /// How often it may fail by itself before it is given up.
    #[serde(default = "default_max_failures")]
    pub max_failures: u32,
}

const fn default_max_failures() -> u32 {
    3
}

/// Where a task is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Phase {
    /// Waits for a worker.
    Queued,
    /// Granted to a worker: it may be running there, or about to.
    Assigned {
        /// The worker.
        worker: WorkerId,
        /// What is reserved for it there.
        reserved: Size,
    },
    /// Ended by itself and succeeded.
    Succeeded,
    /// Given up, with the reason.
    Failed {
        /// What an operator is told.
        reason: String,
    },
    /// Cancelled, and certainly not running.
    Cancelled,
}

/// The row `task/<shard>/<task>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// What was asked for.
    pub spec: TaskSpec,
    /// Counts the runs; the present one while assigned.
    pub attempt: Attempt,
    /// Where it is in its life.
    pub phase: Phase,
    /// Where the next run goes on from.
    pub checkpoint: Option<CheckpointId>,
    /// How often it failed by itself.
    pub failures: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// Whether somebody wants it cancelled.
    pub cancel: bool,
}

/// The row `job/<task>`, written once with the task's first row, by which a second submission of the
/// same name is found out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// What was asked for.
    pub spec: TaskSpec,
    /// The shard that it was first queued at.
    pub shard: ShardId,
}

/// The keys of the rows.
pub mod key {
    use model::id::ShardId;
    use model::id::TaskId;

    /// The prefix of all shards' rows.
    pub const SHARDS: &str = "shard/";

    /// The key of a shard's row.
    #[must_use]
    pub fn shard(shard: &ShardId) -> String {
        format!("{SHARDS}{shard}")
    }

    /// The prefix of the rows of a shard's tasks.
    #[must_use]
    pub fn tasks(shard: &ShardId) -> String {
        format!("task/{shard}/")
    }

    /// The key of a task's row.
    #[must_use]
    pub fn task(shard: &ShardId, task: &TaskId) -> String {
        format!("task/{shard}/{task}")
    }

    /// The key of the row that keeps a task's name taken.
    #[must_use]
    pub fn job(task: &TaskId) -> String {
        format!("job/{task}")
    }
}
