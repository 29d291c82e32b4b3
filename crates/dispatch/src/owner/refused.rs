//! Stores a batch although the store refuses a row of it for good.
//!
//! A refused transaction is divided in halves until the refused row is alone. Everything else is
//! stored, and the job of that row is set aside (`job::scheduler::Scheduler::set_aside`).

use std::collections::VecDeque;
use std::rc::Rc;

use job::scheduler::Batch;

use super::Owner;
use super::commit::CommitOutcome;
use super::commit::RETRY_DELAY;
use super::release::Release;
use crate::events;
use crate::metrics::TableLabel;
use crate::rows;

impl Owner {
    /// Stores a batch. Returns `false` if the ownership has ended.
    pub(super) async fn store_batch(
        self: &Rc<Self>,
        batch: Batch,
        release: Option<&Release>,
    ) -> bool {
        let mut interference = self.interference_row();
        let mut parts = VecDeque::from([batch]);
        while let Some(part) = parts.pop_front() {
            // The release ends the ownership, so that it goes with the last rows.
            let release = release.filter(|_| parts.is_empty());
            let started = self.now();
            let has_interference = interference.is_some();
            match self.commit(&part, interference.take(), release).await {
                CommitOutcome::Applied => {
                    let took = self.now().since(started);
                    self.load.count_transaction(&part, took);
                    self.on_committed(part);
                }
                CommitOutcome::Rejected if has_interference => {
                    self.interference_refused.set(true);
                    self.record_refused_row(rows::LEARNED_TABLE, rows::INTERFERENCE_KEY);
                    parts.push_front(part);
                }
                CommitOutcome::Rejected => match part.split() {
                    (first, Some(second)) => {
                        parts.push_front(second);
                        parts.push_front(first);
                    }
                    (part, None) => match self.commit(&Batch::default(), None, None).await {
                        CommitOutcome::Applied => {
                            parts.extend(self.set_row_aside(part, release.is_some()));
                        }
                        // The refusal is not due to the row.
                        CommitOutcome::Rejected => {
                            tokio::time::sleep(RETRY_DELAY).await;
                            if self.shutdown.is_cancelled() {
                                return false;
                            }
                            parts.push_front(part);
                        }
                        outcome => return self.end_commits(&outcome),
                    },
                },
                outcome => return self.end_commits(&outcome),
            }
        }
        true
    }

    fn end_commits(&self, outcome: &CommitOutcome) -> bool {
        if matches!(outcome, CommitOutcome::Superseded) {
            self.end("the store records another owner");
        }
        false
    }

    /// Sets the only row of a batch aside. Returns a batch that is still to be stored.
    fn set_row_aside(self: &Rc<Self>, mut part: Batch, is_release: bool) -> Option<Batch> {
        if let Some((id, _)) = part.rows.first() {
            self.record_refused_row(rows::RUNS_TABLE, id.as_str());
        }
        if let Some(id) = part.removed.pop() {
            self.record_refused_row(rows::RUNS_TABLE, id.as_str());
        }
        let starts = part.starts();
        self.starts_unstored
            .set(self.starts_unstored.get().saturating_sub(starts));
        let rest = self.scheduler.borrow_mut().set_aside(part, self.now());
        if is_release {
            return Some(rest);
        }
        self.on_committed(rest);
        None
    }

    pub(super) fn record_refused_row(&self, table: &'static str, key: &str) {
        events::refused_row(table, key);
        let metrics = &self.node.metrics;
        metrics
            .refused_rows
            .get_or_create(&TableLabel { table })
            .inc();
    }
}
