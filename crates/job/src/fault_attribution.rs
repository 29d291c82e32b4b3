//! Whether a fault is the executor's or the job's.
//!
//! A stall or failure of one task does not show the cause. Its executor is at fault if tasks of several
//! jobs stall or fail there and none progresses or succeeds in between; a job is at fault if it stalls
//! or fails wherever it runs. See `docs/design/fault-attribution.md`.

use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::scheduler::JobKey;

/// How long other executors are preferred after a stall or a failure, and how long a stall counts
/// against its executor.
const SUSPICION: Duration = Duration::from_millis(2_500);
/// The number of distinct jobs with stalled tasks from which their executor is at fault.
const STALLED_JOBS: usize = 2;
/// How long a failure on an executor counts against it.
const FAILURE_WINDOW: Duration = Duration::from_secs(30);
/// The number of distinct jobs that fail on an executor, without a success in between, from which it is
/// suspected.
const FAILED_JOBS: usize = 3;
/// The maximum number of failed jobs that are remembered for an executor, and of executors for a job.
const MAX_REMEMBERED: usize = 16;
/// At most one part in this many of the executors that could run the same tasks is in cooldown.
const MAX_COOLING_DIVISOR: usize = 3;

/// The stalls on an executor, and the progress that speaks against a fault of the executor.
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
        // Progress from before an executor hung is reported up to one interval later, so only progress
        // in the second half of the stall counts.
        let settled = since.after(now.since(since) / 2);
        if self.progressed_at.is_some_and(|at| at > settled) {
            return StallCause::Task;
        }
        self.jobs
            .retain(|(other, at)| *other != job && now.since(*at) < SUSPICION);
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
        recent.any(|(_, at)| now.since(*at) < SUSPICION)
    }
}

/// The executors on which a job has failed recently, each with the time of the latest failure.
#[derive(Clone, Debug, Default)]
pub struct FailedOn(Vec<(ExecutorKey, Mono)>);

impl FailedOn {
    /// Records a failure on an executor. Returns the others on which the job has failed recently.
    pub fn record(&mut self, executor: ExecutorKey, now: Mono) -> Vec<ExecutorKey> {
        self.0
            .retain(|(other, at)| *other != executor && now.since(*at) < FAILURE_WINDOW);
        let others = self.0.iter().map(|(other, _)| *other).collect();
        if self.0.len() >= MAX_REMEMBERED {
            self.0.remove(0);
        }
        self.0.push((executor, now));
        others
    }
}

/// A job that has failed on an executor.
#[derive(Clone, Debug)]
struct FailedJob {
    job: JobKey,
    at: Mono,
    /// The other executors on which it has failed recently.
    elsewhere: Vec<ExecutorKey>,
}

/// The failures on an executor since a run last succeeded there.
#[derive(Clone, Debug, Default)]
pub struct FailureEvidence {
    /// The distinct jobs that have failed since a run succeeded, oldest first.
    jobs: Vec<FailedJob>,
}

impl FailureEvidence {
    /// Records that a run succeeded.
    pub fn record_success(&mut self) {
        self.jobs.clear();
    }

    /// Records that a job failed, which has failed on other executors as well.
    pub fn record_failure(&mut self, job: JobKey, elsewhere: Vec<ExecutorKey>, now: Mono) {
        self.jobs
            .retain(|failed| failed.job != job && now.since(failed.at) < FAILURE_WINDOW);
        if self.jobs.len() >= MAX_REMEMBERED {
            self.jobs.remove(0);
        }
        self.jobs.push(FailedJob {
            job,
            at: now,
            elsewhere,
        });
    }

    /// Records that a job that has failed on this executor fails on another one.
    pub fn record_elsewhere(&mut self, job: JobKey, executor: ExecutorKey) {
        let failed = self.jobs.iter_mut().find(|failed| failed.job == job);
        if let Some(failed) = failed.filter(|failed| !failed.elsewhere.contains(&executor)) {
            failed.elsewhere.push(executor);
        }
    }

    /// Returns whether a run has failed on the executor a moment ago, and none has succeeded since. Other
    /// executors are preferred for new tasks, because one that fails all that it starts is always empty.
    #[must_use]
    pub fn has_just_failed(&self, now: Mono) -> bool {
        let latest = self.jobs.last();
        latest.is_some_and(|failed| now.since(failed.at) < SUSPICION)
    }

    /// Returns whether several jobs have failed on the executor, whoever is at fault.
    #[must_use]
    pub fn is_suspected(&self, now: Mono) -> bool {
        self.recent(now).count() >= FAILED_JOBS
    }

    /// Returns whether several jobs have failed on the executor that have not failed on executors which
    /// are not suspected. A job that fails there as well is at fault itself.
    pub fn is_at_fault(&self, is_suspected: impl Fn(ExecutorKey) -> bool, now: Mono) -> bool {
        let unexplained = self
            .recent(now)
            .filter(|failed| failed.elsewhere.iter().all(|other| is_suspected(*other)));
        unexplained.count() >= FAILED_JOBS
    }

    fn recent(&self, now: Mono) -> impl Iterator<Item = &FailedJob> {
        self.jobs
            .iter()
            .filter(move |failed| now.since(failed.at) < FAILURE_WINDOW)
    }
}

/// Executors that could run the same tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The number of executors.
    pub executors: usize,
    /// The number of those on which several jobs have failed.
    pub suspected: usize,
    /// The number of those in cooldown for stalls or failures, without the one in question.
    pub cooling_down: usize,
}

impl Pool {
    /// Returns whether most executors are sound. Otherwise what fails is common to all, and none of
    /// them is at fault more than the others.
    #[must_use]
    pub const fn is_mostly_sound(&self) -> bool {
        self.suspected * 2 <= self.executors
    }

    /// Returns whether one more executor may be in cooldown.
    #[must_use]
    pub const fn may_spare_one(&self) -> bool {
        let share = self.executors / MAX_COOLING_DIVISOR;
        let limit = if share == 0 { 1 } else { share };
        self.executors > 1 && self.cooling_down < limit
    }
}
