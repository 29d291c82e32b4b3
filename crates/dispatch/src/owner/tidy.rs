//! Removes the rows of jobs that ended long ago, so that neither the store nor a takeover grows with
//! the jobs that there ever were.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use job::id::JobId;
use job::scheduler::ExpiredJob;

use super::Owner;
use crate::events;
use crate::outside::StoreError;
use crate::outside::Transaction;
use crate::rows;

/// How often ended jobs are looked at.
const INTERVAL: Duration = Duration::from_secs(3);
/// What is added to the time for which callers may ask for a job, for questions that are under way
/// and clocks that differ.
const KEPT_LONGER: Duration = Duration::from_secs(60);
/// The most jobs whose rows are removed at a time, side by side; with the interval 40 a second.
const MOST: usize = 120;

/// Removes rows for as long as this is the owner.
pub async fn tidy(owner: Rc<Owner>) {
    let keep = owner.node.spans.keep + KEPT_LONGER;
    loop {
        tokio::select! {
            () = owner.stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let Some(by) = owner.now().before(keep) else {
            continue;
        };
        let expired = owner.book.borrow().expired(by, MOST);
        if expired.is_empty() {
            continue;
        }
        let removed = join_all(expired.into_iter().map(|job| remove(&owner, job))).await;
        let removed: Vec<JobId> = removed.into_iter().flatten().collect();
        owner.book.borrow_mut().forget(&removed);
        owner.after_event();
    }
}

/// Removes the rows that say that a job was accepted and cancelled. Returns the job if they are gone.
///
/// The transaction expects the row of this job: a late copy of it leaves a later job of the same
/// name alone.
async fn remove(owner: &Owner, job: ExpiredJob) -> Option<JobId> {
    let transaction = Transaction {
        expect: vec![(rows::job_place(job.id), job.row_version)],
        puts: Vec::new(),
        removes: vec![rows::job_place(job.id), rows::cancel_place(job.id)],
    };
    let result = (owner.node.outside.store.commit)(transaction).await;
    let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
    owner.node.store_answered(answered);
    match result {
        Ok(_) => Some(job.id),
        Err(StoreError::Conflict { rows }) => {
            let there = rows.iter().find(|row| row.value.is_some());
            if let Some(row) = there {
                let text = format!(
                    "expected version {}, found {}",
                    job.row_version, row.version
                );
                events::unreadable(rows::JOBS_TABLE, &row.key, &text);
            }
            // Either an earlier try took effect, or the row is not this job's.
            Some(job.id)
        }
        Err(_) => None,
    }
}
