//! Tasks and their runs.

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

/// A task that waits or runs.
#[derive(Debug)]
pub(crate) struct Task {
    /// The name of the task.
    pub(crate) id: TaskId,
    /// The team whose quota it counts against.
    pub(crate) team: TeamKey,
    /// The class that determines its kind and where it may run.
    pub(crate) class: ClassKey,
    /// Whether it is started in turn or before all others.
    pub(crate) priority: Priority,
    /// The size declared by the submitter.
    pub(crate) declared: Size,
    /// The declared run time in milliseconds; `None` if it runs until cancelled.
    pub(crate) run_ms: Option<u64>,
    /// The checkpoint from which its next run continues.
    pub(crate) checkpoint: Option<CheckpointId>,
    /// The progress at the checkpoint, in milliseconds of unthrottled run time.
    pub(crate) progress_ms: u64,
    /// How many of its runs failed.
    pub(crate) failures: u32,
    /// How many of its runs were evicted.
    pub(crate) evictions: u32,
    /// When it was submitted, as far as this process knows.
    pub(crate) submitted_at: Mono,
    /// The worker that is reserved for it while it waits.
    pub(crate) reserved_worker: Option<WorkerKey>,
    /// Whether it waits or runs, and where.
    pub(crate) phase: Phase,
}

/// The phase of a task.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It waits in a lane of the queue.
    Queued(LaneKey),
    /// It waits for its backoff after a failure to end, or is between two other phases.
    Delayed,
    /// No worker could ever run it.
    Unrunnable(UnrunnableReason),
    /// It is being handed off to a shard of another daemon.
    Moving,
    /// It starts or runs.
    Running(Box<Run>),
}

/// A run of a task.
#[derive(Debug)]
pub(crate) struct Run {
    /// The worker that it runs on.
    pub(crate) worker: WorkerKey,
    /// The resources reserved for it.
    pub(crate) reserved: Size,
    /// When its resources were reserved.
    pub(crate) started_at: Mono,
    /// Whether the start was confirmed by the caller or by a report.
    pub(crate) confirmed: bool,
    /// Whether it is being evicted.
    pub(crate) evicting: bool,
    /// The last reported usage.
    pub(crate) usage: Option<Size>,
    /// The highest reported usage; processor usage counts only while the run is not throttled.
    pub(crate) peak: Size,
    /// The highest recent load of a service, as a fraction of its reservation.
    pub(crate) peak_load: f64,
    /// The moving average of a service's p99 divided by its target, since the last action on its
    /// worker.
    pub(crate) p99_ratio: Option<f64>,
    /// Its progress in milliseconds of unthrottled run time.
    pub(crate) progress_ms: u64,
    /// A lower bound of the progress at its last checkpoint.
    pub(crate) checkpointed_ms: u64,
    /// Its last checkpoint.
    pub(crate) checkpoint: Option<CheckpointId>,
    /// The cap that was decided last, in thousandths of its reservation.
    pub(crate) cap_permille: u16,
    /// Since when it has not been throttled; `None` while it is throttled.
    pub(crate) unthrottled_since: Option<Mono>,
    /// When its peak usage was last recorded.
    pub(crate) sampled_at: Option<Mono>,
}

impl Task {
    /// Returns the run if the task starts or runs.
    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns the run for modification if the task starts or runs.
    pub(crate) fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    /// Returns whether the task is urgent.
    pub(crate) fn is_urgent(&self) -> bool {
        self.priority == Priority::Urgent
    }
}

impl Run {
    /// Creates a run without any reports.
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

    /// Returns the processor time it uses with a cap of `permille`, in thousandths of a core.
    pub(crate) fn cpu_at(&self, permille: u16) -> f64 {
        let demand = match self.peak.cpu_millis {
            0 => self.reserved.cpu_millis,
            peak => peak,
        };
        let cap = self.reserved.cpu_millis as f64 * f64::from(permille) / 1000.0;
        cap.min(demand as f64)
    }

    /// Returns the processor time it uses with its current cap, in thousandths of a core.
    pub(crate) fn cpu(&self) -> f64 {
        self.cpu_at(self.cap_permille)
    }

    /// Returns the load of a service as a fraction of its reservation, by its last report.
    pub(crate) fn load(&self) -> Option<f64> {
        let usage = self.usage?;
        Some(usage.cpu_millis as f64 / self.reserved.cpu_millis.max(1) as f64)
    }
}
