//! Stores what has changed, one transaction at a time.
//!
//! Each transaction expects the owner's row as the one before left it and writes it anew. So it takes
//! effect at most once, a late copy changes nothing, and a successor's claim ends the chain.

use std::rc::Rc;
use std::time::Duration;

use job::scheduler::Batch;
use model::Mono;

use super::Owner;
use crate::events;
use crate::metrics::Outcome;
use crate::outside::Place;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Transaction;
use crate::rows;
use crate::rows::OwnerRecord;

/// An owner with nothing to store writes its row this often, so that others see that it lives.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// The most jobs in one transaction; the store takes a hundred rows.
const MOST_ROWS: usize = 90;
/// How often what was learned is stored for a successor.
const LEARNED_INTERVAL: Duration = Duration::from_secs(3);
/// The pause before a transaction is sent again.
const RETRY: Duration = Duration::from_millis(60);

/// What became of a transaction.
enum Committed {
    Yes,
    Superseded,
    Stopped,
}

impl Owner {
    pub(super) async fn store_changes(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = self.changed.notified() => {}
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
            let releasing = self.releasing.get();
            let batch = self.book.borrow_mut().take_batch(MOST_ROWS);
            match self.commit(&batch, releasing).await {
                Committed::Yes => self.stored(batch),
                Committed::Superseded => {
                    self.end("the store has another owner");
                    return;
                }
                Committed::Stopped => return,
            }
            if releasing {
                self.end("given up in order");
                return;
            }
        }
    }

    fn stored(self: &Rc<Self>, batch: Batch) {
        let now = self.now();
        let ended = self.book.borrow_mut().batch_stored(batch, now);
        for job in ended {
            let outcome = job.state.as_str();
            let metrics = &self.node.metrics;
            metrics.jobs_ended.get_or_create(&Outcome { outcome }).inc();
            let span = std::time::Duration::from_millis(job.after_ms);
            metrics.job_seconds.observe(span.as_secs_f64());
            events::job_ended(job.id, outcome, job.after_ms, job.objective_ms);
        }
        self.stored.notify_waiters();
        self.after_event();
    }

    async fn commit(&self, batch: &Batch, released: bool) -> Committed {
        let number = self.record.borrow().transaction + 1;
        let record = OwnerRecord {
            transaction: number,
            released,
            ..self.record.borrow().clone()
        };
        let Ok(value) = serde_json::to_vec(&record) else {
            return Committed::Stopped;
        };
        let mut puts = vec![(rows::owner_place(), value)];
        puts.extend(
            batch
                .rows
                .iter()
                .map(|(id, row)| (rows::run_place(*id), row.clone())),
        );
        puts.extend(self.learned());
        let removes: Vec<Place> = batch
            .removed
            .iter()
            .map(|id| rows::run_place(*id))
            .collect();
        loop {
            let sent = self.now();
            let transaction = Transaction {
                expect: vec![(rows::owner_place(), self.version.get())],
                puts: puts.clone(),
                removes: removes.clone(),
            };
            let result = (self.node.outside.store.commit)(transaction).await;
            let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
            self.node.store_answered(answered);
            match result {
                Ok(version) => {
                    self.took_effect(record, version, sent);
                    return Committed::Yes;
                }
                Err(StoreError::Conflict { rows }) => match self.found(&rows, &record) {
                    Found::OwnTransaction(version) => {
                        self.took_effect(record, version, sent);
                        return Committed::Yes;
                    }
                    Found::Earlier(version) => self.version.set(version),
                    Found::OtherOwner => return Committed::Superseded,
                },
                Err(_) => tokio::time::sleep(RETRY).await,
            }
            if self.stop.is_cancelled() {
                return Committed::Stopped;
            }
        }
    }

    /// Returns the row with what was learned, if it is time to store it again.
    fn learned(&self) -> Option<(Place, Vec<u8>)> {
        let now = self.now();
        if now.since(self.learned_stored.get()) < LEARNED_INTERVAL {
            return None;
        }
        let learned = self.book.borrow().interference.learned();
        if learned.is_empty() {
            return None;
        }
        self.learned_stored.set(now);
        let value = serde_json::to_vec(&learned).ok()?;
        Some((rows::interference_place(), value))
    }

    fn took_effect(&self, record: OwnerRecord, version: u64, sent: Mono) {
        self.version.set(version);
        self.confirmed.set(sent);
        *self.record.borrow_mut() = record;
    }

    /// Returns what the owner's row says where it was not as expected.
    fn found(&self, rows: &[Row], wanted: &OwnerRecord) -> Found {
        let current = rows
            .iter()
            .find(|row| row.key == rows::OWNER_KEY)
            .and_then(|row| {
                let record: OwnerRecord = serde_json::from_slice(row.value.as_deref()?).ok()?;
                Some((record, row.version))
            });
        match current {
            Some((record, version)) if record == *wanted => Found::OwnTransaction(version),
            Some((record, version)) if record == *self.record.borrow() => Found::Earlier(version),
            _ => Found::OtherOwner,
        }
    }
}

/// What the owner's row says where it was not as expected.
enum Found {
    /// An earlier copy of the transaction took effect.
    OwnTransaction(u64),
    /// The row is as the transaction before left it, at this version.
    Earlier(u64),
    /// Somebody else owns the executors.
    OtherOwner,
}
