//! Calls to the witnesses, whose acceptance shows that no other owner has followed.
//!
//! Polls of executors with tasks show it as well, so that only what these leave out is asked for: by an
//! owner that the store has not confirmed for a while, and by one that does not know yet whether the
//! earlier owners have ended. See `docs/design/leases-after-a-takeover.md`.

use std::rc::Rc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::scheduler::Report;
use model::Mono;

use super::Owner;
use crate::supervise::spawn_part;

/// Interval of checks whether witnesses have to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The witnesses are asked if the store has not confirmed the owner for longer than this.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);
/// A witness is asked if it has accepted no call that was sent within this time.
const MAX_ACCEPTANCE_AGE: Duration = Duration::from_millis(500);
/// Interval at which the choice of witnesses follows the executors.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the choice of witnesses up to date and asks them, until this host is no longer the owner.
pub(super) async fn maintain(owner: Rc<Owner>) {
    let mut reviewed_at = Mono::ZERO;
    while !owner.shutdown.is_cancelled() {
        let now = owner.now();
        if now.since(reviewed_at) >= REVIEW_INTERVAL {
            owner.review_witnesses();
            owner.forget_old_polls();
            reviewed_at = now;
        }
        owner.ask_witnesses();
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

impl Owner {
    fn ask_witnesses(self: &Rc<Self>) {
        if !self.may_send() {
            return;
        }
        for key in self.overdue_witnesses() {
            self.poll_once_more(key);
        }
    }

    /// Polls an executor once beside its usual polls, whatever incarnation answers, unless such a poll is in
    /// flight.
    pub(super) fn poll_once_more(self: &Rc<Self>, key: ExecutorKey) {
        if self.asked_executors.borrow_mut().insert(key) {
            spawn_part(self, "witnesses", ask(self.clone(), key));
        }
    }

    /// Returns the witnesses whose acceptance is needed and is not known.
    fn overdue_witnesses(&self) -> Vec<ExecutorKey> {
        let now = self.node.boot_time();
        let authority = self.authority.borrow();
        let is_unconfirmed = authority.is_unconfirmed_for(MAX_CONFIRMATION_AGE, now);
        let needs_majority = !self.settled.get() && !authority.has_majority();
        if !is_unconfirmed && !needs_majority {
            return Vec::new();
        }
        let since = now.before(MAX_ACCEPTANCE_AGE).unwrap_or_default();
        let scheduler = self.scheduler.borrow();
        let overdue = authority.overdue(since);
        overdue
            .filter_map(|witness| scheduler.fleet.find(&witness.id))
            .collect()
    }

    /// Records that an executor has accepted a call sent at `sent_boot`, on the clock that counts
    /// suspensions.
    pub(super) fn record_acceptance(&self, key: ExecutorKey, report: &Report, sent_boot: Mono) {
        let Some(started_unix_ms) = report.started_unix_ms else {
            return;
        };
        let scheduler = self.scheduler.borrow();
        let Some(executor) = scheduler.fleet.get(key) else {
            return;
        };
        let mut authority = self.authority.borrow_mut();
        authority.accepted(&executor.listing.id, started_unix_ms, sent_boot);
        if !self.settled.get() && authority.has_majority() {
            self.majority.notify_one();
        }
    }
}

/// Polls an executor once. Whether it answers says nothing about its tasks, which the usual polls look
/// after.
async fn ask(owner: Rc<Owner>, key: ExecutorKey) {
    let _ = owner.poll_any_incarnation(key).await;
    owner.asked_executors.borrow_mut().remove(&key);
}
