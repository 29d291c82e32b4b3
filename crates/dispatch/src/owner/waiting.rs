//! Logs why jobs that have been open for a while are blocked, and which starts are overdue.

use std::rc::Rc;
use std::time::Duration;

use job::scheduler::Job;
use job::wait_reason::WaitingStep;

use super::Owner;
use crate::events;
use crate::metrics::LimitLabel;

/// Interval between two rounds of log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Jobs that have been open for less than this are not logged.
const MIN_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of jobs with waiting tasks logged at a time, oldest first, because each reason
/// requires a scan of all executors; and of other jobs with overdue starts.
const MAX_JOBS: usize = 20;

/// Logs waiting jobs until this host is no longer the owner.
pub async fn log_waiting_jobs(owner: Rc<Owner>) {
    let oldest_wait_ms = &owner.node.metrics.oldest_wait_ms;
    loop {
        tokio::select! {
            () = owner.shutdown.cancelled() => break,
            () = tokio::time::sleep(LOG_INTERVAL) => {}
        }
        let unix_ms = (owner.node.unix_ms)();
        oldest_wait_ms.clear();
        log_jobs(&owner, unix_ms);
    }
    oldest_wait_ms.clear();
}

fn log_jobs(owner: &Owner, unix_ms: u64) {
    let scheduler = owner.scheduler.borrow();
    let now = owner.now();
    let waiting = scheduler
        .open_jobs()
        .filter(|(_, job)| job.has_waiting_tasks() && job.age(now) >= MIN_WAIT);
    for (_, job) in waiting.take(MAX_JOBS) {
        let outlook = scheduler.deadline_outlook(job, now, unix_ms);
        let steps = scheduler.waiting_steps(job, now, unix_ms);
        log_steps(owner, job, &steps, &outlook.unwrap_or_default());
    }
    let overdue = scheduler
        .open_jobs()
        .filter(|(_, job)| !job.has_waiting_tasks())
        .map(|(_, job)| (job, scheduler.overdue_steps(job, now)))
        .filter(|(_, steps)| !steps.is_empty());
    for (job, steps) in overdue.take(MAX_JOBS) {
        log_steps(owner, job, &steps, "");
    }
}

fn log_steps(owner: &Owner, job: &Job, steps: &[WaitingStep], outlook: &str) {
    let age_ms = model::time::millis(job.age(owner.now()));
    for step in steps {
        events::waiting(job.id, step, outlook, age_ms);
        let limit = step.wait_reason.limit();
        let oldest = &owner.node.metrics.oldest_wait_ms;
        let oldest = oldest.get_or_create(&LimitLabel { limit });
        oldest.set(oldest.get().max(i64::try_from(age_ms).unwrap_or(i64::MAX)));
    }
}
