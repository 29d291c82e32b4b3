//! A bounded snapshot of the scheduler for the operators' dump.

use model::Size;
use model::id::ClassId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use serde::Serialize;

use crate::decision::RecentDecision;
use crate::decision::UnrunnableReason;

/// The state of a scheduler. Lists are truncated to [`LIST_LIMIT`] entries; counts are complete.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// The number of tasks that wait in the queue.
    pub queued: usize,
    /// The number of tasks that start or run.
    pub running: usize,
    /// The number of tasks that no worker could ever run.
    pub unrunnable: usize,
    /// The known workers.
    pub workers: Vec<WorkerDump>,
    /// The known teams and their usage.
    pub teams: Vec<TeamDump>,
    /// The known classes and their learned sizes.
    pub classes: Vec<ClassDump>,
    /// The learned interference between service and batch classes.
    pub pairs: Vec<PairDump>,
    /// The tasks that no worker could ever run, with the reason.
    pub refused: Vec<(TaskId, UnrunnableReason)>,
    /// The most recent decisions, the newest last.
    pub recent: Vec<RecentDecision>,
}

/// The maximum length of a list in a dump.
pub const LIST_LIMIT: usize = 1000;

/// The state of one worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The name of the worker.
    pub id: WorkerId,
    /// Its total capacity.
    pub capacity: Size,
    /// The resources reserved for its tasks.
    pub reserved: Size,
    /// The number of tasks that start or run there.
    pub tasks: usize,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Whether it is reserved for a waiting task.
    pub held: bool,
    /// Whether it is leaving and accepts no new tasks.
    pub leaving: bool,
}

/// The state of one team.
#[derive(Clone, Debug, Serialize)]
pub struct TeamDump {
    /// The name of the team.
    pub id: TeamId,
    /// The number of its tasks that wait in the queue.
    pub queued: usize,
    /// The resources reserved for its tasks at this daemon.
    pub used: Size,
    /// The resources reserved for its tasks at other daemons, by their last summaries.
    pub used_elsewhere: Size,
}

/// The learned sizes of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassDump {
    /// The name of the class.
    pub id: ClassId,
    /// The number of runs from which its sizes were learned.
    pub runs: u64,
    /// The size to reserve for a task that declares nothing; `None` until sizes are learned.
    pub learned: Option<Size>,
    /// The 90th percentile of its run times in milliseconds; `None` until it is learned.
    pub run_ms: Option<u64>,
}

/// The learned interference of one batch class with one service class.
#[derive(Clone, Debug, Serialize)]
pub struct PairDump {
    /// The service class.
    pub service: ClassId,
    /// The batch class.
    pub batch: ClassId,
    /// The factor on the service's p99 at half load if the batch class uses all processor time of a
    /// worker.
    pub factor: f64,
    /// The number of reports from which the factor was learned.
    pub reports: u64,
}
