//! Stores changes, one transaction at a time.
//!
//! Each transaction expects the owner's row as written by the previous one and writes it again.
//! Therefore a transaction takes effect at most once, a delayed copy has no effect, and a
//! successor's claim prevents all further transactions.

use std::rc::Rc;
use std::time::Duration;

use job::scheduler::Batch;

use super::Owner;
use super::pacing;
use super::release::Release;
use crate::dependencies::Row;
use crate::dependencies::RowId;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::events;
use crate::metrics::OutcomeLabel;
use crate::node::SendTime;
use crate::rows;
use crate::rows::OwnerRecord;
use crate::store_call::StoreCall;

/// Interval at which an owner without changes writes its row, to show other hosts that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of jobs in one transaction; the store accepts 100 rows.
const MAX_JOBS_PER_TRANSACTION: usize = 90;
/// Interval at which the learned interference is stored for a successor.
const LEARNED_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a transaction is sent again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The outcome of a transaction.
pub(super) enum CommitOutcome {
    /// The rows are stored.
    Applied,
    /// The store refuses the transaction for good; nothing was stored.
    Rejected,
    /// Another host owns the executors.
    Superseded,
    /// The ownership ended before the outcome was known.
    Stopped,
}

impl Owner {
    pub(super) async fn run_commits(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.shutdown.cancelled() => return,
                () = self.commit_requested.notified() => {}
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
            let release = self.due_release();
            if let Some(release) = &release {
                self.begin_release(release);
            }
            let batch = self.scheduler.borrow_mut().take_batch(
                MAX_JOBS_PER_TRANSACTION,
                pacing::transaction_bytes(self.node.identity.capacity.link_mbps),
            );
            if !self.store_batch(batch, release.as_ref()).await {
                return;
            }
            if let Some(release) = release {
                self.end(release.reason.as_str());
                return;
            }
        }
    }

    pub(super) fn on_committed(self: &Rc<Self>, batch: Batch) {
        let now = self.now();
        let stored = self.starts_unstored.get().saturating_sub(batch.starts());
        let ended = self.scheduler.borrow_mut().batch_stored(batch, now);
        // Assignments that were withdrawn before they were stored are in no batch.
        let all_stored = !self.scheduler.borrow().has_changes();
        self.starts_unstored
            .set(if all_stored { 0 } else { stored });
        for job in ended {
            let outcome = job.state.as_str();
            let metrics = &self.node.metrics;
            metrics
                .jobs_ended
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            let elapsed = std::time::Duration::from_millis(job.after_ms);
            metrics.job_seconds.observe(elapsed.as_secs_f64());
            events::job_ended(job.id, outcome, job.after_ms, job.objective_ms);
        }
        self.committed.notify_waiters();
        self.dispatch_pending();
    }

    pub(super) async fn commit(
        &self,
        batch: &Batch,
        interference: Option<(RowId, Vec<u8>)>,
        release: Option<&Release>,
    ) -> CommitOutcome {
        let transaction_number = self.record.borrow().transaction + 1;
        let lease_row = self.begin_lease_row_write();
        let stores_leases = lease_row.is_some();
        let witnessed = lease_row.as_ref().is_some_and(|write| write.witnessed);
        let record = OwnerRecord {
            transaction: transaction_number,
            witnessed: witnessed || self.record.borrow().witnessed,
            settled: self.settled.get(),
            binds_calls: self.record.borrow().binds_calls || self.outlives_earlier_calls(),
            released: release.is_some(),
            successor: release.and_then(Release::successor),
            relays: self.record.borrow().relays || self.relays_wanted.get(),
            ..self.record.borrow().clone()
        };
        let Ok(value) = serde_json::to_vec(&record) else {
            return CommitOutcome::Stopped;
        };
        let mut puts = vec![(rows::owner_row_id(), value)];
        puts.extend(
            batch
                .rows
                .iter()
                .map(|(id, row)| (rows::run_row_id(*id), row.clone())),
        );
        puts.extend(interference.clone());
        puts.extend(lease_row.map(|write| write.row));
        let removes: Vec<RowId> = batch
            .removed
            .iter()
            .map(|id| rows::run_row_id(*id))
            .collect();
        let first_sent = self.node.send_time();
        loop {
            let sent = self.node.send_time();
            let transaction = Transaction {
                expect: vec![(rows::owner_row_id(), self.row_version.get())],
                puts: puts.clone(),
                removes: removes.clone(),
            };
            let result = (self.node.dependencies.store.commit)(transaction).await;
            let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
            self.node
                .record_store_result(StoreCall::Transaction, answered);
            match result {
                Ok(version) => {
                    self.record_commit(record, version, sent, stores_leases);
                    return CommitOutcome::Applied;
                }
                Err(StoreError::Conflict { rows }) => match self.conflict_cause(&rows, &record) {
                    ConflictCause::OwnTransaction(version) => {
                        // Any of the attempts may have taken effect.
                        self.record_commit(record, version, first_sent, stores_leases);
                        return CommitOutcome::Applied;
                    }
                    ConflictCause::Earlier(version) => self.row_version.set(version),
                    ConflictCause::OtherOwner => return CommitOutcome::Superseded,
                },
                Err(StoreError::Protocol) if stores_leases => {
                    // The other rows go on without the row about leases.
                    self.end_lease_row_write(false);
                    return Box::pin(self.commit(batch, interference, release)).await;
                }
                Err(StoreError::Protocol) => return CommitOutcome::Rejected,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
            if self.shutdown.is_cancelled() {
                return CommitOutcome::Stopped;
            }
        }
    }

    /// Returns the row with the learned interference if it is due to be stored.
    pub(super) fn interference_row(&self) -> Option<(RowId, Vec<u8>)> {
        let now = self.now();
        let is_due = now.since(self.interference_stored_at.get()) >= LEARNED_INTERVAL;
        if !is_due || self.interference_refused.get() {
            return None;
        }
        let max_bytes = self.node.dependencies.store.max_value_bytes();
        let interference = &self.scheduler.borrow().interference;
        let learned = interference.learned_within(max_bytes);
        if learned.is_empty() {
            return None;
        }
        self.interference_stored_at.set(now);
        let value = serde_json::to_vec(&learned).ok()?;
        Some((rows::interference_row_id(), value))
    }

    fn record_commit(
        &self,
        record: OwnerRecord,
        version: u64,
        sent: SendTime,
        stores_leases: bool,
    ) {
        self.row_version.set(version);
        self.record_confirmation(sent);
        *self.record.borrow_mut() = record;
        if stores_leases {
            self.end_lease_row_write(true);
        }
    }

    /// Determines from the owner's row why a transaction conflicted.
    fn conflict_cause(&self, rows: &[Row], attempted: &OwnerRecord) -> ConflictCause {
        let current = rows
            .iter()
            .find(|row| row.key == rows::OWNER_KEY)
            .and_then(|row| {
                let record: OwnerRecord = serde_json::from_slice(row.value.as_deref()?).ok()?;
                Some((record, row.version))
            });
        match current {
            Some((record, version)) if record == *attempted => {
                ConflictCause::OwnTransaction(version)
            }
            Some((record, version)) if record == *self.record.borrow() => {
                ConflictCause::Earlier(version)
            }
            _ => ConflictCause::OtherOwner,
        }
    }
}

/// Why a transaction conflicted.
enum ConflictCause {
    /// An earlier copy of the transaction took effect and wrote this version.
    OwnTransaction(u64),
    /// The row is as the previous transaction left it, but has this version.
    Earlier(u64),
    /// Another host owns the executors.
    OtherOwner,
}
