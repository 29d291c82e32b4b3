//! The life of one task.

use std::sync::Arc;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::stall::ProgressSample;

/// The number of a task's start; it rises with each start of the task, whoever starts it.
pub type RunNumber = u64;

/// What is known of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// What it is doing.
    pub phase: Phase,
    /// The number of its newest start, 0 before the first.
    pub run: RunNumber,
    /// How many of its runs have failed.
    pub failures: u32,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The executor where it failed last, which is avoided.
    pub failed_on: Option<ExecutorKey>,
    /// It is not started again before this time.
    pub not_before: Mono,
}

/// What a task is doing.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    /// It runs nowhere, and no order to start it can still be carried out.
    #[default]
    Waiting,
    /// It is assigned to an executor, and may run there.
    Assigned(Assignment),
    /// It has ended well.
    Done,
}

/// Where a task runs or may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The executor.
    pub executor: ExecutorKey,
    /// How far the start has come.
    pub start_state: StartState,
    /// When it was assigned, by this owner's clock.
    pub assigned_at: Mono,
    /// Whether it is to end: the job was cancelled or failed, or the task has to move.
    pub stopping: bool,
    /// Whether the newest order to start it has no answer, so that it may still be carried out.
    pub start_unanswered: bool,
    /// The share of its processor time that it was told to use, in percent.
    pub cpu_percent: u32,
    /// Whether that is certain: an earlier owner may have told it another share.
    pub cpu_percent_known: bool,
    /// What the executor last said about it, if it did.
    pub metrics: Option<RunMetrics>,
    /// Its progress when it was last judged whether it stands still.
    pub progress_sample: Option<ProgressSample>,
}

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The assignment is not stored yet; no order has gone out.
    Storing,
    /// It is stored, and the order may have gone out.
    Sent,
    /// The executor has confirmed it at this time.
    Confirmed(Mono),
    /// An earlier owner assigned it; the executor has not been asked yet.
    Inherited,
}

/// What a report said of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunMetrics {
    /// How far the work has come, in percent; a task that lasts is at work at 100.
    pub progress: u32,
    /// The tail of its response times in milliseconds for a task that serves, otherwise its use of
    /// processors in thousandths.
    pub tail_ms_or_cpu_millis: u64,
}

impl Task {
    /// Returns where the task is assigned.
    #[must_use]
    pub const fn assignment(&self) -> Option<&Assignment> {
        match &self.phase {
            Phase::Assigned(assignment) => Some(assignment),
            Phase::Waiting | Phase::Done => None,
        }
    }

    /// Returns where the task is assigned, to be changed.
    pub const fn assignment_mut(&mut self) -> Option<&mut Assignment> {
        match &mut self.phase {
            Phase::Assigned(assignment) => Some(assignment),
            Phase::Waiting | Phase::Done => None,
        }
    }
}
