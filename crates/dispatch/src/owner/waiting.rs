//! Says of jobs that have waited for long which limit holds them back.

use std::rc::Rc;
use std::time::Duration;

use job::book::Book;
use model::Mono;

use super::Owner;
use crate::events;

/// How often it is said.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How long a job has to have been open before it is worth a line.
const MIN_WAIT: Duration = Duration::from_secs(3);
/// The most jobs that are told of at a time, the oldest first, since each answer looks at all
/// executors.
const MAX_JOBS: usize = 20;

/// Tells of jobs for as long as this is the owner.
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

fn log_jobs(scheduler: &Book, now: Mono, unix_ms: u64) {
    let waiting = scheduler
        .open_jobs()
        .filter(|(_, job)| job.waits() && now.since(job.arrived) >= MIN_WAIT);
    for (_, job) in waiting.take(MAX_JOBS) {
        let waited_ms = model::time::millis(now.since(job.arrived));
        for step in scheduler.held_steps(job, now, unix_ms) {
            events::waiting(job.id, step.step, step.tasks, &step.reason, waited_ms);
        }
    }
}
