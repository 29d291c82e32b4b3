//! The row about leases: the witnesses of the owner, and the executors that do not answer.
//!
//! It is written in the owner's transactions when it changes. What a write in flight says binds the
//! owner from the moment it is sent, because it may take effect although its answer is lost.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use job::authority;
use job::authority::Witness;
use job::lease_record::LeaseRecord;
use job::scheduler::Scheduler;
use model::Mono;

use super::Owner;
use crate::dependencies::Range;
use crate::dependencies::RowId;
use crate::dependencies::StoreError;
use crate::events;
use crate::node::Node;
use crate::rows;
use crate::store_call::StoreCall;

/// Delay before a row that the store refuses is written again.
const REFUSED_DELAY: Duration = Duration::from_secs(5);

/// The state of the row.
#[derive(Default)]
pub(super) struct LeaseRow {
    /// Witnesses that are to be stored.
    wanted: RefCell<Option<Vec<Witness>>>,
    /// When the store last refused the row.
    refused_at: Cell<Option<Mono>>,
}

impl LeaseRow {
    fn is_refused(&self, now: Mono) -> bool {
        let refused_at = self.refused_at.get();
        refused_at.is_some_and(|at| now.since(at) < REFUSED_DELAY)
    }
}

/// A write of the row.
pub(super) struct LeaseRowWrite {
    pub(super) row: (RowId, Vec<u8>),
    /// Whether the owner obeys witnesses once it is stored.
    pub(super) witnessed: bool,
}

/// Reads the row. Returns an empty record if there is none, or if it cannot be read.
pub(super) async fn read(node: &Node) -> Result<LeaseRecord, StoreError> {
    let range: Range = rows::leases_row_range();
    let result = (node.dependencies.store.read)(range).await;
    node.record_store_result(StoreCall::Jobs, result.is_ok());
    let page = result?;
    let row = page
        .rows
        .into_iter()
        .find(|row| row.key == rows::LEASES_KEY);
    let Some(value) = row.and_then(|row| row.value) else {
        return Ok(LeaseRecord::default());
    };
    Ok(serde_json::from_slice(&value).unwrap_or_else(|error| {
        events::unreadable_row(rows::OWNER_TABLE, rows::LEASES_KEY, &error.to_string());
        LeaseRecord::default()
    }))
}

impl Owner {
    /// Begins a write of the row if it has changed. [`Self::end_lease_row_write`] has to follow.
    pub(super) fn begin_lease_row_write(&self) -> Option<LeaseRowWrite> {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let wanted = self.lease_row.wanted.borrow_mut().take();
        let is_due = wanted.is_some() || self.is_lease_row_due(&scheduler);
        if !is_due || self.lease_row.is_refused(now) {
            return None;
        }
        let mut authority = self.authority.borrow_mut();
        let witnesses = wanted.unwrap_or_else(|| authority.witnesses().to_vec());
        let witnessed = !witnesses.is_empty() && (self.settled.get() || self.is_witnessed());
        let record = LeaseRecord {
            witnesses: witnesses.clone(),
            silent: scheduler.begin_storing_silence(now),
        };
        authority.begin_change(witnesses);
        let value = serde_json::to_vec(&record).ok()?;
        Some(LeaseRowWrite {
            row: (rows::leases_row_id(), value),
            witnessed,
        })
    }

    /// Returns whether silent executors have to be stored.
    pub(super) fn is_lease_row_due(&self, scheduler: &Scheduler) -> bool {
        let now = self.now();
        scheduler.is_silence_due(now) && !self.lease_row.is_refused(now)
    }

    /// Ends a write of the row that was stored or refused.
    pub(super) fn end_lease_row_write(&self, is_stored: bool) {
        self.authority.borrow_mut().end_change(is_stored);
        self.scheduler.borrow_mut().silence_stored(is_stored);
        if !is_stored {
            self.lease_row.refused_at.set(Some(self.now()));
            self.record_refused_row(rows::OWNER_TABLE, rows::LEASES_KEY);
        }
    }

    fn is_witnessed(&self) -> bool {
        self.record.borrow().witnessed
    }

    /// Chooses other witnesses if some are gone. An owner whose predecessors may go on keeps theirs, which
    /// they obey.
    pub(super) fn review_witnesses(&self) {
        if !self.settled.get() || self.lease_row.is_refused(self.now()) {
            return;
        }
        let candidates = self.witness_candidates();
        let authority = self.authority.borrow();
        let chosen = authority::choose_witnesses(authority.witnesses(), &candidates);
        if chosen != authority.witnesses() {
            *self.lease_row.wanted.borrow_mut() = Some(chosen);
            self.commit_requested.notify_one();
        }
    }

    fn witness_candidates(&self) -> Vec<(Witness, Arc<str>)> {
        let scheduler = self.scheduler.borrow();
        let usable = scheduler.fleet.iter().filter(|(_, executor)| {
            executor.listed && executor.reachable && !executor.listing.draining
        });
        usable
            .map(|(_, executor)| {
                let listing = &executor.listing;
                let witness = Witness {
                    id: listing.id.clone(),
                    started_unix_ms: listing.started_unix_ms,
                };
                (witness, listing.data_centre.clone())
            })
            .collect()
    }
}
