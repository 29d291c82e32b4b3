//! Removes the rows of jobs that ended long ago, so that neither the store nor the time of a
//! takeover grows with the total number of jobs ever submitted.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use job::id::JobId;
use job::scheduler::ExpiredJob;
use model::Map;

use super::Owner;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::events;
use crate::rows;
use crate::store_call::StoreCall;

/// Interval between cleanups.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(3);
/// Added to the retention time of ended jobs to cover requests in flight and clock differences.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);
/// Maximum number of jobs whose rows are removed concurrently; with the interval this limits
/// removals to 40 per second.
const MAX_JOBS: usize = 120;
/// Maximum number of tombstones that are removed in one cleanup.
const MAX_REMOVED_TOMBSTONES: usize = 600;
/// Maximum number of tombstones in one transaction; the store accepts 100 entries.
const MAX_TOMBSTONES_PER_TRANSACTION: usize = 45;

/// Removes rows until this host is no longer the owner.
pub async fn run(owner: Rc<Owner>) {
    let retention = owner.node.timing.retention + RETENTION_MARGIN;
    loop {
        tokio::select! {
            () = owner.shutdown.cancelled() => return,
            () = tokio::time::sleep(CLEANUP_INTERVAL) => {}
        }
        remove_tombstones(&owner, retention).await;
        let Some(ended_before) = owner.now().before(retention) else {
            continue;
        };
        let expired = owner.scheduler.borrow().expired(ended_before, MAX_JOBS);
        if expired.is_empty() {
            continue;
        }
        let removed = join_all(expired.into_iter().map(|job| remove(&owner, job))).await;
        let removed: Vec<JobId> = removed.into_iter().flatten().collect();
        owner.scheduler.borrow_mut().forget(&removed);
        owner.dispatch_pending();
    }
}

/// Removes tombstones that no caller and no late write needs any more, with one transaction for each
/// part of the table.
async fn remove_tombstones(owner: &Owner, retention: Duration) {
    let now = owner.now();
    let expired = owner
        .tombstones
        .borrow()
        .expired(retention, MAX_REMOVED_TOMBSTONES, now);
    let mut by_part: Map<&str, Vec<(JobId, u64)>> = Map::default();
    for (id, version) in expired {
        let part = by_part.entry(rows::jobs_part(id)).or_default();
        if part.len() < MAX_TOMBSTONES_PER_TRANSACTION {
            part.push((id, version));
        }
    }
    join_all(
        by_part
            .into_values()
            .map(|tombstones| remove_part(owner, tombstones)),
    )
    .await;
}

/// Removes tombstones of one part. If one of them was written again, none is removed: that one is kept
/// for the whole time again, and the others are removed with a later cleanup.
async fn remove_part(owner: &Owner, tombstones: Vec<(JobId, u64)>) {
    let row_id = |id: &JobId| rows::cancellation_row_id(*id);
    let transaction = Transaction {
        expect: tombstones
            .iter()
            .map(|(id, version)| (row_id(id), *version))
            .collect(),
        puts: Vec::new(),
        removes: tombstones.iter().map(|(id, _)| row_id(id)).collect(),
    };
    let result = (owner.node.dependencies.store.commit)(transaction).await;
    let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
    owner.node.record_store_result(StoreCall::Cleanup, answered);
    let mut known = owner.tombstones.borrow_mut();
    match result {
        Ok(_) => {
            for (id, _) in tombstones {
                known.remove(id);
            }
        }
        Err(StoreError::Conflict { rows }) => {
            for (id, version) in tombstones {
                let key = row_id(&id).key;
                let row = rows.iter().find(|row| row.key == key);
                let current = row.filter(|row| row.value.is_some());
                match current.map(|row| row.version) {
                    None => known.remove(id),
                    Some(current) if current != version => known.add(id, current, owner.now()),
                    Some(_) => {}
                }
            }
        }
        Err(_) => {}
    }
}

/// Removes the row of a job and that of its cancellation. Returns the id if the rows are gone.
///
/// The transaction expects the version of this job's row, so a delayed copy cannot remove a later
/// job with the same id.
async fn remove(owner: &Owner, job: ExpiredJob) -> Option<JobId> {
    let transaction = Transaction {
        expect: vec![(rows::job_row_id(job.id), job.row_version)],
        puts: Vec::new(),
        removes: vec![rows::job_row_id(job.id), rows::cancellation_row_id(job.id)],
    };
    let result = (owner.node.dependencies.store.commit)(transaction).await;
    let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
    owner.node.record_store_result(StoreCall::Cleanup, answered);
    match result {
        Ok(_) => Some(job.id),
        Err(StoreError::Conflict { rows }) => {
            let there = rows.iter().find(|row| row.value.is_some());
            if let Some(row) = there {
                let text = format!(
                    "expected version {}, found {}",
                    job.row_version, row.version
                );
                events::unreadable_row(rows::JOBS_TABLE, &row.key, &text);
            }
            // Either an earlier attempt took effect, or the row belongs to another job.
            Some(job.id)
        }
        Err(_) => None,
    }
}
