//! A bounded snapshot of the scheduler for the operators' dump.

use model::Size;
use model::id::ClassId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use serde::Serialize;

use crate::decision::RecentDecision;
use crate::decision::UnrunnableReason;

/// The state of a scheduler; long lists are cut at [`LIST_LIMIT`] and the counts are whole.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// How many tasks wait.
    pub queued: usize,
    /// How many tasks run or start.
    pub running: usize,
    /// How many tasks no worker could ever hold.
    pub unrunnable: usize,
    /// The workers.
    pub workers: Vec<WorkerDump>,
    /// The teams with tasks.
    pub teams: Vec<TeamDump>,
    /// The learned sizes.
    pub classes: Vec<ClassDump>,
    /// The learned interference of a batch class with a service class.
    pub pairs: Vec<PairDump>,
    /// Tasks that no worker could ever hold.
    pub refused: Vec<(TaskId, UnrunnableReason)>,
    /// The last decisions, the newest last.
    pub recent: Vec<RecentDecision>,
}

/// The longest list in a dump.
pub const LIST_LIMIT: usize = 1000;

/// One worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The name.
    pub id: WorkerId,
    /// What it has.
    pub capacity: Size,
    /// What is reserved there.
    pub reserved: Size,
    /// How many tasks run or start there.
    pub tasks: usize,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Whether it is kept for a task that waits.
    pub held: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// One team.
#[derive(Clone, Debug, Serialize)]
pub struct TeamDump {
    /// The name.
    pub id: TeamId,
    /// How many of its tasks wait.
    pub queued: usize,
    /// What its tasks hold here.
    pub used: Size,
    /// What its tasks hold at other daemons.
    pub used_elsewhere: Size,
}

/// One class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassDump {
    /// The name.
    pub id: ClassId,
    /// How many runs its sizes were learned from.
    pub runs: u64,
    /// What would be reserved for a task of it, if it was learned.
    pub learned: Option<Size>,
    /// The ninth decile of its run times in milliseconds, if it was learned.
    pub run_ms: Option<u64>,
}

/// One pair of classes.
#[derive(Clone, Debug, Serialize)]
pub struct PairDump {
    /// The service class.
    pub service: ClassId,
    /// The batch class.
    pub batch: ClassId,
    /// By which factor the p99 grows at half load when the batch class takes a whole worker.
    pub factor: f64,
    /// How many reports it was learned from.
    pub reports: u64,
}
