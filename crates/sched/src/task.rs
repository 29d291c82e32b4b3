//! A task as the scheduler sees it.

use model::Mono;
use model::Priority;
use model::Size;
use model::id::CheckpointId;
use model::id::TaskId;

use crate::decision::UnrunnableReason;
use crate::key::ClassKey;
use crate::key::LaneKey;
use crate::key::TeamKey;
use crate::key::WorkerKey;

/// The cap of a task that is not throttled.
pub(crate) const FULL_PERMILLE: u16 = 1000;

/// One task.
#[derive(Debug)]
pub(crate) struct Task {
    /// The name.
    pub(crate) id: TaskId,
    /// Whose quota it counts against.
    pub(crate) team: TeamKey,
    /// Its class.
    pub(crate) class: ClassKey,
    /// How urgent it is.
    pub(crate) priority: Priority,
    /// The declared size.
    pub(crate) declared: Size,
    /// The declared run time in milliseconds.
    pub(crate) run_ms: Option<u64>,
    /// The checkpoint that its next run goes on from.
    pub(crate) checkpoint: Option<CheckpointId>,
    /// How far the checkpoint has come.
    pub(crate) progress_ms: u64,
    /// How often it failed by itself.
    pub(crate) failures: u32,
    /// How often it was evicted.
    pub(crate) evictions: u32,
    /// When it was submitted.
    pub(crate) submitted_at: Mono,
    /// The worker that is kept for it.
    pub(crate) reserved_worker: Option<WorkerKey>,
    /// Where it is.
    pub(crate) phase: Phase,
}

/// Where a task is.
#[derive(Debug)]
pub(crate) enum Phase {
    /// In a lane of the queue.
    Queued(LaneKey),
    /// Waits after a failure before it is queued.
    Delayed,
    /// No worker could ever hold it.
    Unrunnable(UnrunnableReason),
    /// To be moved to another daemon's shard.
    Moving,
    /// Starts or runs.
    Running(Box<Run>),
}

/// A run of a task.
#[derive(Debug)]
pub(crate) struct Run {
    /// Where it runs.
    pub(crate) worker: WorkerKey,
    /// What is reserved for it.
    pub(crate) reserved: Size,
    /// Since when.
    pub(crate) started_at: Mono,
    /// Whether the start is known to have been carried out.
    pub(crate) confirmed: bool,
    /// Whether it is being evicted.
    pub(crate) evicting: bool,
    /// The use that was reported last.
    pub(crate) usage: Option<Size>,
    /// The highest use that was reported while it was not throttled.
    pub(crate) peak: Size,
    /// The highest recent load of a service, as a part of its reservation.
    pub(crate) peak_load: f64,
    /// The mean of a service's p99 over its target since the last action on its worker.
    pub(crate) p99_ratio: Option<f64>,
    /// How far it has come.
    pub(crate) progress_ms: u64,
    /// How far its last checkpoint has come at least.
    pub(crate) checkpointed_ms: u64,
    /// Its last checkpoint.
    pub(crate) checkpoint: Option<CheckpointId>,
    /// The cap that was decided last.
    pub(crate) cap_permille: u16,
    /// Since when it has not been throttled, if it is not.
    pub(crate) unthrottled_since: Option<Mono>,
    /// When its peaks were recorded last.
    pub(crate) sampled_at: Option<Mono>,
}

impl Task {
    /// Returns the run, if it starts or runs.
    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the run, if it starts or runs.
    pub(crate) fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns whether it is urgent.
    pub(crate) fn is_urgent(&self) -> bool {
        self.priority == Priority::Urgent
    }
}

impl Run {
    /// Makes a run that nothing was reported of.
    pub(crate) fn new(worker: WorkerKey, reserved: Size, started_at: Mono, task: &Task) -> Self {
        Self {
            worker,
            reserved,
            started_at,
            confirmed: false,
            evicting: false,
            usage: None,
            peak: Size::ZERO,
            peak_load: 0.0,
            p99_ratio: None,
            progress_ms: task.progress_ms,
            checkpointed_ms: task.progress_ms,
            checkpoint: task.checkpoint.clone(),
            cap_permille: FULL_PERMILLE,
            unthrottled_since: Some(started_at),
            sampled_at: None,
        }
    }

    /// Returns the work since the last checkpoint, in milliseconds of unthrottled run time.
    pub(crate) const fn unsaved_ms(&self) -> u64 {
        self.progress_ms.saturating_sub(self.checkpointed_ms)
    }

    /// Returns the processor time it takes when capped at `permille`, in thousandths of a core.
    pub(crate) fn cpu_at(&self, permille: u16) -> f64 {
        let demand = match self.peak.cpu_millis {
            0 => self.reserved.cpu_millis,
            peak => peak,
        };
        let cap = self.reserved.cpu_millis as f64 * f64::from(permille) / 1000.0;
        cap.min(demand as f64)
    }

    /// Returns the processor time it takes now, in thousandths of a core.
    pub(crate) fn cpu(&self) -> f64 {
        self.cpu_at(self.cap_permille)
    }

    /// Returns a service's load as a part of its reservation, by its last report.
    pub(crate) fn load(&self) -> Option<f64> {
        let usage = self.usage?;
        Some(usage.cpu_millis as f64 / self.reserved.cpu_millis.max(1) as f64)
    }
}
