//! What the scheduler is told: workers, tasks, reports and the state of other daemons.
//!
//! These are plain inputs of this crate, so that neither the table's rows nor the workers' wire
//! format is known here.

use model::Mono;
use model::Priority;
use model::Size;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::DaemonId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

/// A worker of a shard that this daemon owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The name.
    pub id: WorkerId,
    /// Where it stands.
    pub place: Place,
    /// Its rack, which is its shard.
    pub rack: ShardId,
    /// What it has.
    pub capacity: Size,
    /// Whether it is leaving, so that nothing new starts there.
    pub leaving: bool,
}

/// A task that waits for a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedTask {
    /// The name.
    pub task: TaskId,
    /// Whose quota it counts against.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// How urgent it is.
    pub priority: Priority,
    /// The declared size, which is a claim.
    pub declared: Size,
    /// The declared run time in milliseconds, which is a claim; `None` runs until cancelled.
    pub run_ms: Option<u64>,
    /// The checkpoint that its next run goes on from.
    pub checkpoint: Option<CheckpointId>,
    /// How far the checkpoint has come, in milliseconds of unthrottled run time, 0 if unknown.
    pub progress_ms: u64,
    /// How often it failed by itself.
    pub failures: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// When it was submitted, as far as this process knows.
    pub submitted_at: Mono,
}

/// How a run came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It ended by itself and succeeded.
    Succeeded,
    /// It ended by itself and failed.
    Failed,
    /// It was stopped on request, or its worker was lost.
    Stopped,
}

/// One running task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The task.
    pub task: TaskId,
    /// What it used over the report's window.
    pub usage: Size,
    /// The last checkpoint that is stored of it.
    pub checkpoint: Option<CheckpointId>,
    /// How far it has come, in milliseconds of unthrottled run time.
    pub progress_ms: u64,
    /// The 99th percentile of its answers in microseconds, for services.
    pub p99_us: Option<u64>,
    /// The cap on its processor time, in thousandths of its size.
    pub throttle_permille: u16,
}

/// What one report of a worker says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Counts the worker's reports; one with a lower or equal number is dropped.
    pub sequence: u64,
    /// The age of the oldest sample behind the usage figures, in milliseconds.
    pub age_ms: u64,
    /// The tasks that run there.
    pub runs: Vec<RunStatus>,
}

/// What another daemon tells of its teams and of the room in its shards.
///
/// It is bounded by the number of teams and shards, see `docs/CAPACITY.md` for its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerSummary {
    /// The daemon.
    pub daemon: DaemonId,
    /// What the running tasks of each team hold there.
    pub teams: Vec<(TeamId, Size)>,
    /// The capacity of all its workers together.
    pub capacity: Size,
    /// Its shards.
    pub shards: Vec<PeerShard>,
}

/// The room in one shard of another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerShard {
    /// The shard.
    pub shard: ShardId,
    /// Where it stands.
    pub place: Place,
    /// The capacity of its largest worker.
    pub largest: Size,
    /// The free room of the worker with the most room.
    pub free: Size,
}
