//! Says of jobs that have waited for long which limit holds them back.

use std::rc::Rc;
use std::time::Duration;

use job::scheduler::Scheduler;
use model::Mono;

use super::Owner;
use crate::events;

/// How often it is said.
const INTERVAL: Duration = Duration::from_secs(5);
/// How long a job has to have been open before it is worth a line.
const WAITED: Duration = Duration::from_secs(3);
/// The most jobs that are told of at a time, the oldest first, since each answer looks at all
/// executors.
const MOST: usize = 20;

/// Tells of jobs for as long as this is the owner.
pub async fn tell_of_waiting(owner: Rc<Owner>) {
    loop {
        tokio::select! {
            () = owner.stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let unix_ms = (owner.node.unix_ms)();
        tell(&owner.book.borrow(), owner.now(), unix_ms);
    }
}

fn tell(book: &Scheduler, now: Mono, unix_ms: u64) {
    let waiting = book
        .open_jobs()
        .filter(|(_, job)| job.has_waiting_tasks() && now.since(job.arrived) >= WAITED);
    for (_, job) in waiting.take(MOST) {
        let waited = model::time::millis(now.since(job.arrived));
        for held in book.waiting_steps(job, now, unix_ms) {
            events::held(job.id, held.step, held.tasks, &held.reason, waited);
        }
    }
}
