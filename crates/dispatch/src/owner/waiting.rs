//! Logs why jobs that have been open for a while are blocked, and which starts are overdue.

use std::rc::Rc;
use std::time::Duration;

use job::scheduler::Job;
use job::scheduler::Scheduler;
use job::wait_reason::WaitingStep;
use model::Mono;

use super::Owner;
use crate::events;

/// Interval between two rounds of log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Jobs that have been open for less than this are not logged.
const MIN_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of jobs with waiting tasks logged at a time, oldest first, because each reason
/// requires a scan of all executors; and of other jobs with overdue starts.
const MAX_JOBS: usize = 20;

/// Logs waiting jobs until this host is no longer the owner.
pub async fn log_waiting_jobs(owner: Rc<Owner>) {
    loop {
        tokio::select! {
            () = owner.shutdown.cancelled() => return,
            () = tokio::time::sleep(LOG_INTERVAL) => {}
        }
        let unix_ms = (owner.node.unix_ms)();
        log_jobs(&owner.scheduler.borrow(), owner.now(), unix_ms);
    }
}

fn log_jobs(scheduler: &Scheduler, now: Mono, unix_ms: u64) {
    let waiting = scheduler
        .open_jobs()
        .filter(|(_, job)| job.has_waiting_tasks() && now.since(job.arrived) >= MIN_WAIT);
    for (_, job) in waiting.take(MAX_JOBS) {
        log_steps(job, &scheduler.waiting_steps(job, now, unix_ms), now);
    }
    let overdue = scheduler
        .open_jobs()
        .filter(|(_, job)| !job.has_waiting_tasks())
        .map(|(_, job)| (job, scheduler.overdue_steps(job, now)))
        .filter(|(_, steps)| !steps.is_empty());
    for (job, steps) in overdue.take(MAX_JOBS) {
        log_steps(job, &steps, now);
    }
}

fn log_steps(job: &Job, steps: &[WaitingStep], now: Mono) {
    let waited_ms = model::time::millis(now.since(job.arrived));
    for step in steps {
        events::waiting(job.id, step.step, step.tasks, &step.reason, waited_ms);
    }
}
