//! Whether a fault is the executor's or the job's.
//!
//! A task that stalls or fails says nothing about the cause by itself. Its executor is at fault if
//! tasks of several jobs fare badly there while it shows no sign of health; a job is at fault if it
//! fares badly wherever it runs. See `docs/design/fault-attribution.md`.

use std::time::Duration;

use model::Mono;

use crate::scheduler::JobKey;

/// How long a stall on an executor counts against it.
const STALL_WINDOW: Duration = Duration::from_millis(2_500);
/// The number of distinct jobs with stalled tasks from which their executor is at fault.
const STALLED_JOBS: usize = 2;

/// What an executor's reports say about stalls there.
#[derive(Clone, Debug, Default)]
pub struct StallEvidence {
    /// The jobs that have stalled, with the time of the latest stall, since a task was last seen to
    /// progress as expected.
    jobs: Vec<(JobKey, Mono)>,
    /// When a task was last seen to progress as expected.
    progressed_at: Option<Mono>,
}

/// The cause of a stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallCause {
    /// Other tasks progressed on the executor meanwhile.
    Task,
    /// Only tasks of one job have stalled on the executor, and no others were seen to progress.
    Unknown,
    /// Tasks of several jobs have stalled on the executor.
    Executor,
}

impl StallCause {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Task => "task",
            Self::Unknown => "unknown",
            Self::Executor => "executor",
        }
    }
}

impl StallEvidence {
    /// Records that a task progresses as expected.
    pub fn record_progress(&mut self, now: Mono) {
        self.jobs.clear();
        self.progressed_at = Some(now);
    }

    /// Records that a task of a job has stalled since the time `since`, and returns the cause.
    pub fn record_stall(&mut self, job: JobKey, since: Mono, now: Mono) -> StallCause {
        // What was gained before an executor hangs is reported up to one interval after it.
        let settled = since.after(now.since(since) / 2);
        if self.progressed_at.is_some_and(|at| at > settled) {
            return StallCause::Task;
        }
        self.jobs
            .retain(|(other, at)| *other != job && now.since(*at) < STALL_WINDOW);
        self.jobs.push((job, now));
        if self.jobs.len() >= STALLED_JOBS {
            StallCause::Executor
        } else {
            StallCause::Unknown
        }
    }

    /// Returns whether a task has stalled on the executor recently, and none was seen to progress
    /// since. Other executors are preferred for new tasks.
    #[must_use]
    pub fn is_suspected(&self, now: Mono) -> bool {
        let mut recent = self.jobs.iter();
        recent.any(|(_, at)| now.since(*at) < STALL_WINDOW)
    }
}
