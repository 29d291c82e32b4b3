//! The simulated behaviour of tasks on a fake worker, which may differ from the declared one.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::ClassId;
use model::id::TaskId;

/// How a task ends unless it is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The task succeeds after this unthrottled run time.
    Succeeds(Duration),
    /// The task fails after this unthrottled run time.
    Fails(Duration),
    /// The task runs until it is stopped.
    Never,
}

/// The simulated behaviour of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// The actual resource usage. The worker caps CPU at the reserved size, and kills the task if
    /// its memory exceeds the reserved size.
    pub actual: Size,
    /// How the task ends unless it is stopped.
    pub completion: Completion,
    /// The time from a stop command to the end of the task.
    pub stop_time: Duration,
    /// Whether the task can store checkpoints.
    pub can_checkpoint: bool,
    /// The 99th percentile of response times without interference in microseconds, for services.
    pub p99_us: Option<u64>,
}

impl Program {
    /// Creates a batch task with this actual size that succeeds after this unthrottled run time.
    #[must_use]
    pub const fn batch(actual: Size, run: Duration) -> Self {
        Self {
            actual,
            completion: Completion::Succeeds(run),
            stop_time: Duration::ZERO,
            can_checkpoint: true,
            p99_us: None,
        }
    }

    /// Creates a service with this actual size that runs until it is stopped.
    #[must_use]
    pub const fn service(actual: Size, p99_us: u64) -> Self {
        Self {
            actual,
            completion: Completion::Never,
            stop_time: Duration::ZERO,
            can_checkpoint: false,
            p99_us: Some(p99_us),
        }
    }

    /// Sets how the task ends unless it is stopped.
    #[must_use]
    pub const fn completion(mut self, completion: Completion) -> Self {
        self.completion = completion;
        self
    }

    /// Sets the time from a stop command to the end of the task.
    #[must_use]
    pub const fn stop_time(mut self, stop_time: Duration) -> Self {
        self.stop_time = stop_time;
        self
    }

    /// Sets whether the task can store checkpoints.
    #[must_use]
    pub const fn can_checkpoint(mut self, can_checkpoint: bool) -> Self {
        self.can_checkpoint = can_checkpoint;
        self
    }
}

/// The parameters with which a run is started.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSpec {
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The attempt of the task.
    pub attempt: Attempt,
    /// The class of the task.
    pub class: ClassId,
    /// The resources reserved for the task.
    pub size: Size,
}

/// Returns the program of a run that is started.
pub type ProgramSelector = Arc<dyn Fn(&RunSpec) -> Program + Send + Sync>;

/// A running task as seen by the interference model.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// The task.
    pub task: TaskId,
    /// The class of the task.
    pub class: ClassId,
    /// The current resource usage.
    pub usage: Size,
    /// The CPU cap in thousandths of the reserved size.
    pub throttle_permille: u16,
    /// The 99th percentile of response times without interference in microseconds, for services.
    pub p99_us: Option<u64>,
}

/// The effect of the other tasks of a worker on a running task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterferenceEffect {
    /// The speed as a fraction of the speed without interference.
    pub speed: f64,
    /// The current 99th percentile of response times in microseconds, for services.
    pub p99_us: Option<u64>,
}

/// A model of the interference between the tasks of a worker, which the daemons do not know. Takes
/// the running tasks and returns the effect on each of them in the same order.
pub type InterferenceModel = Arc<dyn Fn(&[RunView], Mono) -> Vec<InterferenceEffect> + Send + Sync>;
