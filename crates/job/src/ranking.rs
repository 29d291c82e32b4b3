//! The order in which steps receive resources when there are not enough for all.
//!
//! Under overload, more work arrives than the executors can complete. A job has its full value
//! until its objective and partial value until three times the objective. Work that can still meet
//! its objective therefore goes first, smaller jobs before larger ones because more jobs are then
//! in time. Late work that still has value comes next, and work without value comes last.
//! Long-running tasks occupy resources for a long time and have less value for them than short
//! tasks, so that they come after short work that can be in time. See "Order" in `docs/JOBS.md`.

use std::cmp::Reverse;
use std::time::Duration;

use derive_more::Display;
use model::Mono;

use crate::plan::Queue;
use crate::scheduler::Job;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::spec::JobSpec;
use crate::terms::Terms;

/// A job has partial value until this multiple of its objective.
pub const LATE_FACTOR: u32 = 3;

/// The sort key of a ready step. Smaller keys are placed first; fields are compared in order of
/// declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the step can still meet its objective when it starts now.
    pub outlook: DeadlineOutlook,
    /// Whether the job no longer has any value and has a task on an executor. Those without one go
    /// first, so that each accepted job proceeds.
    pub has_started: bool,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// How late a job without value is, in milliseconds, and 0 for all others. Its size and what is
    /// left of it decide nothing any more, and the latest goes first, so that none waits for ever.
    pub overdue_ms: Reverse<u64>,
    /// The base-2 logarithm of the job's remaining work, rounded down.
    pub magnitude: u32,
    /// The time in milliseconds until the latest start that meets the objective, or the time by
    /// which the objective will be missed.
    pub slack_ms: u64,
    /// The job's age; of equal steps the oldest comes first.
    pub age: Reverse<Duration>,
}

/// How a step relates to its objective when it starts now. Earlier variants are placed first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineOutlook {
    /// The job can meet its objective.
    #[display("in_time")]
    InTime,
    /// The step is long-running and has value for as long as it runs.
    #[display("lasting")]
    LongRunning,
    /// The step is best-effort and can meet the objective on spare CPU.
    #[display("in_time_filling")]
    InTimeBestEffort,
    /// The job will miss its objective but still has partial value.
    #[display("late")]
    Late,
    /// The job no longer has any value.
    #[display("hopeless")]
    TooLate,
}

impl Rank {
    /// Returns how many tasks of the step may be placed in a round. Of a job without value and
    /// without a task on an executor it is one, because others like it wait for their first.
    #[must_use]
    pub fn max_tasks(&self) -> u32 {
        if self.outlook == DeadlineOutlook::TooLate && !self.has_started {
            1
        } else {
            u32::MAX
        }
    }
}

impl DeadlineOutlook {
    /// Returns whether a step loses little if it starts some time later: best-effort work has more
    /// time than the work that it fills in for, and late work has lost most of its value.
    #[must_use]
    pub const fn can_wait(self) -> bool {
        matches!(self, Self::InTimeBestEffort | Self::Late | Self::TooLate)
    }
}

/// Returns the time from its arrival within which a job should end.
#[must_use]
pub fn objective(scheduler: &Scheduler, job: &Job) -> Duration {
    let path = Duration::from_millis(job.spec.critical_path_ms());
    scheduler
        .terms(job)
        .map_or(path, |terms| objective_under(&terms, &job.spec))
}

/// Returns the time from its arrival within which a job of a queue should end.
#[must_use]
pub fn objective_of(queue: &Queue, spec: &JobSpec) -> Duration {
    objective_under(&Terms::from(queue), spec)
}

/// Returns the age until which a job with this objective has value to its caller.
pub(crate) const fn value_period(objective: Duration) -> Duration {
    objective.saturating_mul(LATE_FACTOR)
}

/// Returns the time from its arrival within which a job with these terms should end.
fn objective_under(terms: &Terms, spec: &JobSpec) -> Duration {
    let path = Duration::from_millis(spec.critical_path_ms());
    let scaled = Duration::try_from_secs_f64(path.as_secs_f64() * terms.stretch.max(1.0));
    scaled
        .unwrap_or(Duration::MAX)
        .saturating_add(terms.target())
}

/// Returns the part of an occurrence's objective that has passed, in milliseconds: the time since it
/// was due, or since a job without repetition arrived.
fn elapsed_ms(job: &Job, occurrence: u32, now: Mono, unix_ms: u64) -> u64 {
    let Some(repeat) = job.spec.repeat else {
        return model::time::millis(job.age(now));
    };
    unix_ms.saturating_sub(repeat.due_unix_ms(occurrence))
}

/// Returns the rank of a step; `unix_ms` is the wall-clock time, by which occurrences are due.
#[must_use]
pub fn rank(scheduler: &Scheduler, job: &Job, ready: ReadyStep, now: Mono, unix_ms: u64) -> Rank {
    let objective_ms = model::time::millis(objective(scheduler, job));
    let terms = scheduler.terms(job);
    let priority = terms.map_or(u32::MAX, |terms| terms.priority);
    let step = &job.spec.steps[ready.step as usize];
    let late_ms = objective_ms.saturating_mul(u64::from(LATE_FACTOR));
    let elapsed_ms = elapsed_ms(job, ready.occurrence, now, unix_ms);
    let ends_ms = elapsed_ms.saturating_add(job.critical_path_from(ready.step));
    let (outlook, slack_ms) = if step.long_running {
        (DeadlineOutlook::LongRunning, 0)
    } else if ends_ms <= objective_ms && step.best_effort {
        (DeadlineOutlook::InTimeBestEffort, objective_ms - ends_ms)
    } else if ends_ms <= objective_ms {
        (DeadlineOutlook::InTime, objective_ms - ends_ms)
    } else if ends_ms <= late_ms {
        (DeadlineOutlook::Late, ends_ms - objective_ms)
    } else {
        (DeadlineOutlook::TooLate, ends_ms - objective_ms)
    };
    Rank {
        outlook,
        has_started: outlook == DeadlineOutlook::TooLate && job.has_assigned_tasks(),
        priority,
        overdue_ms: Reverse(if outlook == DeadlineOutlook::TooLate {
            slack_ms
        } else {
            0
        }),
        magnitude: job.remaining_work().max(1).ilog2(),
        slack_ms,
        age: Reverse(job.age(now)),
    }
}
