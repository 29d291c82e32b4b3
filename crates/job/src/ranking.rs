//! In which order steps get room when there is not enough for all.
//!
//! The load pattern that this answers: more work arrives than the executors can do. A job earns in
//! full until its objective and little until three times that, so work that can still be in time
//! goes first, the smaller before the larger, as more jobs are in time that way; then work that is
//! late but still earns, last what can earn nothing. Tasks that last keep their room for long and earn
//! less for it than short ones, so that they come after short work that can be in time. See "Order" in
//! `docs/JOBS.md`.

use std::time::Duration;

use derive_more::Display;
use model::Mono;

use crate::scheduler::Job;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;

/// How many times its objective a job may take and still earn a part.
const LATE_FACTOR: u64 = 3;

/// What decides the order; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What a start now can still earn.
    pub outlook: DeadlineOutlook,
    /// The priority of the queue.
    pub priority: u32,
    /// The magnitude of the work that is left, as a power of two.
    pub magnitude: u32,
    /// The time in milliseconds that is left before the step has to start, or, where it is past,
    /// the time that it is over.
    pub slack_ms: u64,
    /// When the job arrived, so that the order is the same every time.
    pub arrived: Mono,
}

/// What a start now can still earn.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineOutlook {
    /// It can meet its objective.
    #[display("in_time")]
    InTime,
    /// It earns for as long as it runs.
    #[display("lasting")]
    LongRunning,
    /// It can meet its objective on processors that others leave.
    #[display("in_time_filling")]
    InTimeBestEffort,
    /// It can still earn a part.
    #[display("late")]
    Late,
    /// It can earn nothing.
    #[display("hopeless")]
    TooLate,
}

/// Returns the time that a job may take, from its arrival.
#[must_use]
pub fn objective(scheduler: &Scheduler, job: &Job) -> Duration {
    let queue = scheduler.plan.queue(&job.queue);
    let stretch = queue.map_or(1.0, |queue| queue.stretch.max(1.0));
    let target = queue.map_or(Duration::ZERO, |queue| queue.target);
    Duration::from_millis(job.spec.critical_path_ms()).mul_f64(stretch) + target
}

/// Returns when an occurrence of a job began to count: when it was due, or when the job arrived.
fn objective_start(job: &Job, occurrence: u32, now: Mono, unix_ms: u64) -> Mono {
    let Some(repeat) = job.spec.repeat else {
        return job.arrived;
    };
    let ago_ms = unix_ms.saturating_sub(repeat.due_unix_ms(occurrence));
    Mono(now.0.saturating_sub(ago_ms))
}

/// Returns the rank of a step; `unix_ms` is the time of day, by which occurrences are due.
#[must_use]
pub fn rank(scheduler: &Scheduler, job: &Job, ready: ReadyStep, now: Mono, unix_ms: u64) -> Rank {
    let from = objective_start(job, ready.occurrence, now, unix_ms);
    let queue = scheduler.plan.queue(&job.queue);
    let objective_ms = model::time::millis(objective(scheduler, job));
    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
    let step = &job.spec.steps[ready.step as usize];
    let due = from.0 + objective_ms;
    let late_until = from.0 + objective_ms * LATE_FACTOR;
    let ends = now.0 + job.critical_path_from(ready.step);
    let (outlook, slack_ms) = if step.long_running {
        (DeadlineOutlook::LongRunning, 0)
    } else if ends <= due && step.best_effort {
        (DeadlineOutlook::InTimeBestEffort, due - ends)
    } else if ends <= due {
        (DeadlineOutlook::InTime, due - ends)
    } else if ends <= late_until {
        (DeadlineOutlook::Late, ends - due)
    } else {
        (DeadlineOutlook::TooLate, ends - due)
    };
    Rank {
        outlook,
        priority,
        magnitude: job.remaining_work().max(1).ilog2(),
        slack_ms,
        arrived: job.arrived,
    }
}
