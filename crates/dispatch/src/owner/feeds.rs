//! Receives jobs, cancellations, evacuations and the list of executors from the store.

use std::rc::Rc;
use std::time::Duration;

use job::id::JobId;
use model::Set;

use super::Owner;
use super::evacuations;
use super::pacing;
use super::takeover;
use crate::dependencies::FollowRequest;
use crate::dependencies::Row;
use crate::dependencies::StoreError;
use crate::events;
use crate::rows;
use crate::rows::JobsKey;
use crate::store_call::StoreCall;

/// How long a call waits for new jobs.
const JOBS_WAIT: Duration = Duration::from_millis(2_000);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Ingests jobs and cancellations as hosts store them.
///
/// If the store has dropped its history, all rows are read again. Rows up to the version followed so
/// far are known, and some of them may belong to ended jobs that were removed while the answer was on
/// its way, so that only later ones are ingested.
pub async fn follow_jobs(owner: Rc<Owner>, version: u64) {
    let mut after = version;
    let mut history_gone = false;
    while !owner.shutdown.is_cancelled() {
        let result = if history_gone {
            takeover::read_jobs(&owner.node).await
        } else {
            let follow = FollowRequest {
                table: rows::JOBS_TABLE,
                after,
                wait: JOBS_WAIT,
            };
            (owner.node.dependencies.store.follow)(follow)
                .await
                .map(|page| (page.rows, page.version))
        };
        if owner.shutdown.is_cancelled() {
            return;
        }
        owner
            .node
            .record_store_result(StoreCall::Jobs, result.is_ok());
        match result {
            Ok((mut rows, version)) => {
                if history_gone {
                    owner.forget_removed_tombstones(&rows);
                }
                rows.retain(|row| row.version > after);
                owner.jobs_synced_at.set(owner.now());
                owner.ingest(&rows, !history_gone);
                after = version;
                history_gone = false;
            }
            Err(StoreError::HistoryGone) => history_gone = true,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

impl Owner {
    /// Forgets tombstones that are not among all rows of the table.
    fn forget_removed_tombstones(&self, rows: &[Row]) {
        let stored: Set<JobId> = rows
            .iter()
            .filter_map(|row| match JobsKey::parse(&row.key) {
                Some(JobsKey::Cancel(id)) => Some(id),
                _ => None,
            })
            .collect();
        let mut tombstones = self.tombstones.borrow_mut();
        tombstones.retain(|id| stored.contains(&id));
    }

    /// Ingests rows of jobs and cancellations. Rows from the change feed (`followed`) are new, so
    /// their age is the latency of the feed.
    fn ingest(self: &Rc<Self>, rows: &[Row], followed: bool) {
        if rows.is_empty() {
            return;
        }
        self.add_markers(rows);
        let now = self.now();
        let mut cancelled = Vec::new();
        {
            let mut tombstones = self.tombstones.borrow_mut();
            let mut scheduler = self.scheduler.borrow_mut();
            for row in rows {
                match JobsKey::parse(&row.key) {
                    Some(JobsKey::Job(_)) if rows::is_refusal(row) => {}
                    Some(JobsKey::Job(id)) => {
                        if let Some(submission) = takeover::parse_submission(&self.node, id, row) {
                            if followed {
                                let lag = Duration::from_millis(submission.age_ms);
                                self.node.metrics.feed_seconds.observe(lag.as_secs_f64());
                            }
                            scheduler.submit(submission, now);
                            // A host of an earlier release does not expect that there is no tombstone.
                            if tombstones.contains(id) {
                                tombstones.remove(id);
                                cancelled.push((id, row.version));
                            }
                        }
                    }
                    Some(JobsKey::Cancel(id)) if row.value.is_none() => tombstones.remove(id),
                    Some(JobsKey::Cancel(id)) => cancelled.push((id, row.version)),
                    None => events::unreadable_row(rows::JOBS_TABLE, &row.key, "not a job id"),
                }
            }
            for (id, version) in cancelled {
                if !scheduler.cancel(id) {
                    tombstones.add(id, version, now);
                }
            }
        }
        self.dispatch_pending();
    }
}

/// Ingests the list of executors periodically.
pub async fn follow_executors(owner: Rc<Owner>) {
    while !owner.shutdown.is_cancelled() {
        let result = (owner.node.dependencies.executor_list.read)(()).await;
        owner
            .node
            .record_store_result(StoreCall::Executors, result.is_ok());
        match result {
            Ok(list) => {
                let now = owner.now();
                owner
                    .scheduler
                    .borrow_mut()
                    .update_executors(list.listings, now);
                owner.record_rejected_entries(list.rejected);
                owner.dispatch_pending();
                let executors = owner.scheduler.borrow().fleet.len();
                let link_mbps = owner.node.identity.capacity.link_mbps;
                tokio::time::sleep(pacing::list_interval(executors, link_mbps)).await;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Follows the evacuations of data centres from a version of the store on.
///
/// After any failure all rows are read again, whether the store has dropped its history or not: they
/// are few, while a call that follows changes also returns a changed document, which may take long.
pub async fn follow_evacuations(owner: Rc<Owner>, version: u64) {
    let mut followed = Some(version);
    while !owner.shutdown.is_cancelled() {
        followed = match followed {
            Some(after) => evacuations::follow(&owner, after).await,
            None => evacuations::read_again(&owner).await,
        };
        if followed.is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
