//! What a task on a stand-in worker truly does, whatever was declared of it.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::ClassId;
use model::id::TaskId;

/// How a task ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It succeeds after this much unthrottled run time.
    Succeeds(Duration),
    /// It fails after this much unthrottled run time.
    Fails(Duration),
    /// It runs until it is stopped.
    Never,
}

/// What a task truly does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// What it uses while it runs; the guards cap processors at the reserved size and kill it when
    /// its memory goes beyond.
    pub actual: Size,
    /// How it ends by itself.
    pub completion: Completion,
    /// How long it takes to stop when asked to.
    pub stop_time: Duration,
    /// Whether it can store checkpoints.
    pub can_checkpoint: bool,
    /// The 99th percentile of its answers in microseconds when undisturbed, for services.
    pub p99_us: Option<u64>,
}

impl Program {
    /// A batch task of this true size that succeeds after this much unthrottled run time.
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

    /// A service of this true size that runs until it is stopped.
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

    /// Sets how it ends by itself.
    #[must_use]
    pub const fn completion(mut self, completion: Completion) -> Self {
        self.completion = completion;
        self
    }

    /// Sets how long it takes to stop when asked to.
    #[must_use]
    pub const fn stop_time(mut self, stop_time: Duration) -> Self {
        self.stop_time = stop_time;
        self
    }

    /// Sets whether it can store checkpoints.
    #[must_use]
    pub const fn can_checkpoint(mut self, can_checkpoint: bool) -> Self {
        self.can_checkpoint = can_checkpoint;
        self
    }
}

/// A run as it is started.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSpec {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: Attempt,
    /// Its class.
    pub class: ClassId,
    /// What is reserved for it.
    pub size: Size,
}

/// Finds the program of a run that begins.
pub type ProgramSelector = Arc<dyn Fn(&RunSpec) -> Program + Send + Sync>;

/// A running task as the interference between tasks sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassId,
    /// What it uses.
    pub usage: Size,
    /// The cap on its processor time, in thousandths of its size.
    pub throttle_permille: u16,
    /// The 99th percentile of its answers when undisturbed, for services.
    pub p99_us: Option<u64>,
}

/// What the tasks beside it do to a running task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InterferenceEffect {
    /// How fast it goes on, in parts of its undisturbed speed.
    pub speed: f64,
    /// The 99th percentile of its answers now, for services.
    pub p99_us: Option<u64>,
}

/// The interference between the tasks of one worker, hidden from the daemons: takes the running
/// tasks and returns one effect for each, in the same order.
pub type InterferenceModel = Arc<dyn Fn(&[RunView], Mono) -> Vec<InterferenceEffect> + Send + Sync>;
