//! The input of the scheduler: workers, tasks, reports and summaries of other daemons.
//!
//! These types are independent of the store's rows and of the workers' wire format.

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

/// A worker in a shard that this daemon owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The name of the worker.
    pub id: WorkerId,
    /// The region and data centre of the worker.
    pub place: Place,
    /// The rack of the worker, which is also its shard.
    pub rack: ShardId,
    /// The total capacity of the worker.
    pub capacity: Size,
    /// Whether the worker is leaving and accepts no new tasks.
    pub leaving: bool,
}

/// A task that waits for a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedTask {
    /// The name of the task.
    pub task: TaskId,
    /// The team whose quota it counts against.
    pub team: TeamId,
    /// The class that determines its kind and where it may run.
    pub class: ClassId,
    /// Whether it is started in turn or before all others.
    pub priority: Priority,
    /// The size declared by the submitter, which may be wrong.
    pub declared: Size,
    /// The declared run time in milliseconds, which may be wrong; `None` if it runs until
    /// cancelled.
    pub run_ms: Option<u64>,
    /// The checkpoint from which its next run continues.
    pub checkpoint: Option<CheckpointId>,
    /// The progress at the checkpoint, in milliseconds of unthrottled run time; 0 if unknown.
    pub progress_ms: u64,
    /// How many of its runs failed.
    pub failures: u32,
    /// How many of its runs were evicted.
    pub evictions: u32,
    /// When it was submitted, as far as this process knows.
    pub submitted_at: Mono,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The task ended on its own and succeeded.
    Succeeded,
    /// The task ended on its own and failed.
    Failed,
    /// The run was stopped on request, or its worker was lost.
    Stopped,
}

/// The status of a running task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The name of the task.
    pub task: TaskId,
    /// The resources that it used over the window of the report.
    pub usage: Size,
    /// The last checkpoint of it that is stored.
    pub checkpoint: Option<CheckpointId>,
    /// Its progress in milliseconds of unthrottled run time.
    pub progress_ms: u64,
    /// The 99th percentile of its response times in microseconds; `None` for batch tasks.
    pub p99_us: Option<u64>,
    /// The cap on its processor time, in thousandths of its reservation.
    pub throttle_permille: u16,
}

/// A usage report of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The sequence number of the report; a report with a lower or equal number is dropped.
    pub sequence: u64,
    /// The age of the oldest sample behind the usage figures, in milliseconds.
    pub age_ms: u64,
    /// The tasks that run on the worker.
    pub runs: Vec<RunStatus>,
}

/// The usage of the teams and the free capacity of the shards at another daemon.
///
/// Its size is bounded by the number of teams and shards; see `docs/CAPACITY.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerSummary {
    /// The name of the daemon.
    pub daemon: DaemonId,
    /// The resources reserved for the running tasks of each team there.
    pub teams: Vec<(TeamId, Size)>,
    /// The total capacity of its workers.
    pub capacity: Size,
    /// The shards that it owns.
    pub shards: Vec<PeerShard>,
}

/// The capacity of one shard of another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerShard {
    /// The name of the shard.
    pub shard: ShardId,
    /// The region and data centre of the shard.
    pub place: Place,
    /// The largest worker capacity in each dimension.
    pub largest: Size,
    /// The free capacity of the worker with the most free processor time.
    pub free: Size,
}
