//! The owner's reads of the evacuations of data centres, and for how long an answer permits starts.
//!
//! A start may be sent only for a short time after the evacuations were last read, because one may have
//! been requested since. An owner that cannot read them, that was paused, or that reads them late
//! therefore sends no starts in the meantime. See `docs/design/evacuation.md`.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::evacuation;
use model::Mono;
use tokio::sync::Notify;

use super::Owner;
use super::command_slots::CommandSlots;
use crate::dependencies::EvacuationSource;
use crate::dependencies::StoreError;
use crate::events;
use crate::node::Node;
use crate::relay;
use crate::store_call::StoreCall;

/// How long a call waits for changes. A read without an answer has to be noticed early enough for
/// another one before the evacuations count as unknown.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The wait is at most this part of the time for which an answer permits starts.
const WAIT_DIVISOR: u32 = 6;
/// Time limit of a read, and of a call beyond its wait for changes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// All evacuated data centres as read from the store.
pub(super) struct EvacuationSnapshot {
    pub(super) data_centres: Vec<Arc<str>>,
    /// The version of the store at which they were read.
    pub(super) version: u64,
    /// When the read was sent.
    sent: Mono,
}

/// When the evacuations were last read.
pub(super) struct EvacuationFeed {
    /// When the latest call that was answered had been sent.
    confirmed_at: Cell<Mono>,
    /// Notified after each answered call.
    confirmed: Notify,
    /// Whether the log says that the evacuations are known.
    is_known: Cell<bool>,
}

impl EvacuationFeed {
    pub(super) fn new(snapshot: Option<&EvacuationSnapshot>) -> Self {
        Self {
            confirmed_at: Cell::new(snapshot.map_or(Mono::ZERO, |snapshot| snapshot.sent)),
            confirmed: Notify::new(),
            is_known: Cell::new(true),
        }
    }
}

/// Returns how long after a call was sent its answer permits starts.
fn max_age(source: &EvacuationSource) -> Duration {
    evacuation::max_knowledge_age(source.deadline, relay::MAX_CALL_DELAY)
}

/// Reads all evacuations, or returns `None` in a deployment without evacuations.
///
/// # Errors
///
/// Returns the error of the store; a read that takes too long counts as unanswered.
pub(super) async fn read(node: &Node) -> Result<Option<EvacuationSnapshot>, StoreError> {
    let Some(source) = &node.dependencies.evacuations else {
        return Ok(None);
    };
    let sent = node.now();
    let result = within(ANSWER_TIMEOUT, (source.read)(())).await;
    node.record_store_result(StoreCall::Evacuations, result.is_ok());
    let (data_centres, version) = result?;
    Ok(Some(EvacuationSnapshot {
        data_centres,
        version,
        sent,
    }))
}

/// Reads all evacuations again and puts them into force. Returns the version from which to follow
/// changes, or `None` if the read failed.
pub(super) async fn read_again(owner: &Rc<Owner>) -> Option<u64> {
    let snapshot = read(&owner.node).await.ok()??;
    let now = owner.now();
    let changed = owner
        .scheduler
        .borrow_mut()
        .replace_evacuations(&snapshot.data_centres, now);
    owner.evacuations_confirmed(snapshot.sent, changed);
    Some(snapshot.version)
}

/// Waits for changes of evacuations after a version of the store and puts them into force. Returns the
/// version from which to continue, or `None` if changes after this one can no longer be followed or
/// the call failed.
pub(super) async fn follow(owner: &Rc<Owner>, after: u64) -> Option<u64> {
    let source = owner.node.dependencies.evacuations.as_ref()?;
    let wait = MAX_WAIT.min(max_age(source) / WAIT_DIVISOR);
    let sent = owner.now();
    let result = within(wait + ANSWER_TIMEOUT, (source.follow)((after, wait))).await;
    let answered = matches!(result, Ok(_) | Err(StoreError::HistoryGone));
    owner
        .node
        .record_store_result(StoreCall::Evacuations, answered);
    let (updates, version) = result.ok()?;
    let now = owner.now();
    let changed = owner
        .scheduler
        .borrow_mut()
        .update_evacuations(&updates, now);
    owner.evacuations_confirmed(sent, changed);
    Some(version)
}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let result = tokio::time::timeout(limit, call).await;
    result.unwrap_or(Err(StoreError::Unanswered))
}

impl Owner {
    /// Returns whether the evacuations were read recently enough for starts.
    pub(super) fn knows_evacuations(&self, now: Mono) -> bool {
        let Some(source) = &self.node.dependencies.evacuations else {
            return true;
        };
        let age = now.since(self.evacuations.confirmed_at.get());
        let is_known = age <= max_age(source);
        if self.evacuations.is_known.replace(is_known) != is_known {
            events::evacuations_known(is_known, model::time::millis(age));
        }
        is_known
    }

    /// Returns the time since the latest answered read of the evacuations was sent, or `None` in a
    /// deployment without evacuations.
    #[must_use]
    pub fn evacuations_age(&self) -> Option<Duration> {
        self.node.dependencies.evacuations.as_ref()?;
        Some(self.now().since(self.evacuations.confirmed_at.get()))
    }

    /// Waits until the evacuations have been read again, starts at an executor have changed or the
    /// ownership has ended.
    pub(super) async fn evacuations_read_again(&self, command_slots: &CommandSlots) {
        tokio::select! {
            () = self.shutdown.cancelled() => {}
            () = self.evacuations.confirmed.notified() => {}
            () = command_slots.starts_changed() => {}
        }
    }

    /// Records that a call that was sent at `sent` has been answered, and wakes starts and the placement
    /// if the answer changes what they may do.
    fn evacuations_confirmed(self: &Rc<Self>, sent: Mono, changed: bool) {
        let was_known = self.knows_evacuations(self.now());
        self.evacuations.confirmed_at.set(sent);
        self.evacuations.confirmed.notify_waiters();
        if changed {
            for slots in self.command_slots.borrow().values() {
                slots.notify_starts();
            }
        }
        if changed || !was_known {
            self.dispatch_pending();
        }
    }
}
