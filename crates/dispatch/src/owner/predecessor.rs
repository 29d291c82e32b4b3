//! The earlier owners after a takeover: until when they may send commands and extend leases.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::authority;
use job::authority::AuthorityEnd;
use job::authority::Witness;
use job::lease_record::LeaseRecord;
use job::scheduler::Scheduler;
use link::client::TimeLimits;
use model::Mono;

use super::Claim;
use super::MAX_UNCONFIRMED;
use super::Owner;
use super::commands::MAX_COMMAND_DELAY;
use crate::lease_events;
use crate::lease_events::InheritedLeases;
use crate::node::Node;
use crate::peers;
use crate::peers::PeerRequest;
use crate::relay;
use crate::rows::OwnerRecord;

/// Interval at which the takeover is announced to the earlier owner until it answers.
const SUPERSEDE_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for its answer.
const SUPERSEDE_TIMEOUT: Duration = Duration::from_millis(600);

/// What shows that the earlier owners send nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopProof {
    /// There was none, it released the executors, or it was an earlier process of this host.
    EndedBefore,
    /// The process at its address has answered.
    Answered,
    /// A majority of the witnesses has accepted this owner.
    Majority,
    /// The store has not confirmed any for so long that they have ended by themselves.
    TimedOut,
}

impl StopProof {
    /// Returns the value that logs show.
    const fn as_str(self) -> &'static str {
        match self {
            Self::EndedBefore => "ended_before",
            Self::Answered => "answered",
            Self::Majority => "majority",
            Self::TimedOut => "timed_out",
        }
    }
}

/// The owner that this host follows, and those before it that may go on.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    record: OwnerRecord,
    /// When the claim that ended its ownership was sent.
    claimed: Mono,
    /// When the owner's row was first read as it was before the claim.
    row_read_at: Mono,
    /// The usual duration of a lease.
    lease: Duration,
    /// When all that it may do has ended if nothing else is known of it.
    latest_end: AuthorityEnd,
}

impl Predecessor {
    /// Returns the earlier owner that a claim names, whose calls grant leases of up to this duration.
    pub(super) fn new(claim: &Claim, lease: Duration) -> Self {
        let record = claim.earlier.clone();
        let sends_until = claim.sent.mono.after(MAX_UNCONFIRMED);
        let sends_until = sends_until.after(relay_delay(&record));
        Self {
            record,
            claimed: claim.sent.mono,
            row_read_at: claim.earlier_read_at,
            lease,
            latest_end: AuthorityEnd {
                sends_until,
                leases_until: authority::expiry(sends_until, lease),
            },
        }
    }

    /// Returns the witnesses that all earlier owners obey; none if one of them may obey none.
    pub(super) fn witnesses(&self, stored: &LeaseRecord) -> Vec<Witness> {
        if self.record.witnessed {
            stored.witnesses.clone()
        } else {
            Vec::new()
        }
    }

    /// Lets the scheduler assume that it goes on for as long as an owner may, and that it grants no lease
    /// to the executors that it has stored as silent.
    pub(super) fn inherit_leases(
        &self,
        scheduler: &mut Scheduler,
        stored: &LeaseRecord,
        now: Mono,
    ) -> InheritedLeases {
        let AuthorityEnd {
            sends_until,
            leases_until,
        } = self.latest_end;
        scheduler.inherit_leases(sends_until, leases_until);
        let silent: &[_] = if self.record.witnessed {
            &stored.silent
        } else {
            &[]
        };
        scheduler.inherit_silence(silent, self.row_read_at);
        let with_tasks = scheduler
            .fleet
            .iter()
            .filter(|(_, it)| !it.tasks.is_empty());
        InheritedLeases {
            executors: with_tasks.count(),
            silent: silent.len(),
            sends_ms: model::time::millis(sends_until.since(now)),
            lease_ms: model::time::millis(leases_until.since(now)),
        }
    }

    /// Finds out when all that the earlier owners may do has ended. Without a proof, that is when
    /// all leases have expired that owners may grant without the store.
    pub(super) async fn stop(self, owner: Rc<Owner>) {
        let Some(proof) = self.wait_for_proof(&owner).await else {
            return;
        };
        let now = owner.now();
        let end = self.end(proof, now);
        owner
            .scheduler
            .borrow_mut()
            .previous_owner_stopped(end.sends_until, end.leases_until, now);
        lease_events::predecessor_stopped(
            owner.epoch,
            &self.record.host,
            proof.as_str(),
            model::time::millis(now.since(self.claimed)),
            model::time::millis(end.leases_until.since(now)),
        );
        owner.dispatch_pending();
        tokio::time::sleep(end.sends_until.since(now)).await;
        owner.settle();
    }

    fn end(&self, proof: StopProof, now: Mono) -> AuthorityEnd {
        let relay_delay = relay_delay(&self.record);
        let stopped_at = |at: Mono| AuthorityEnd {
            sends_until: at.after(relay_delay),
            leases_until: authority::expiry(at, self.lease),
        };
        let end = match proof {
            StopProof::EndedBefore => stopped_at(self.row_read_at),
            StopProof::Answered => stopped_at(now),
            StopProof::Majority => {
                let end = AuthorityEnd::proven(self.row_read_at, now);
                AuthorityEnd {
                    sends_until: end.sends_until.after(relay_delay),
                    ..end
                }
            }
            StopProof::TimedOut => self.latest_end,
        };
        AuthorityEnd {
            sends_until: end.sends_until.min(self.latest_end.sends_until),
            leases_until: end.leases_until.min(self.latest_end.leases_until),
        }
    }

    /// Waits for a proof. Returns `None` if this ownership ends first.
    async fn wait_for_proof(&self, owner: &Rc<Owner>) -> Option<StopProof> {
        let left = self.latest_end.sends_until.since(owner.now());
        tokio::select! {
            biased;
            () = owner.shutdown.cancelled() => None,
            proof = self.wait_for_end(&owner.node, owner.epoch) => Some(proof),
            () = self.wait_for_majority(owner) => Some(StopProof::Majority),
            () = tokio::time::sleep(left) => Some(StopProof::TimedOut),
        }
    }

    /// Waits until the latest of the earlier owners is known to have ended. Never returns if one before
    /// it may go on.
    async fn wait_for_end(&self, node: &Node, epoch: u64) -> StopProof {
        let record = &self.record;
        if record.epoch == 0 {
            return StopProof::EndedBefore;
        }
        let has_ended = record.released || node.identity.is_own_record(record);
        if has_ended && record.settled {
            return StopProof::EndedBefore;
        }
        if !has_ended {
            self.wait_for_answer(node, epoch).await;
        }
        if !record.settled {
            std::future::pending::<()>().await;
        }
        StopProof::Answered
    }

    /// Waits until the process at its address has answered. Any answer is sufficient: a later
    /// incarnation of the process does not extend the leases of the earlier one.
    async fn wait_for_answer(&self, node: &Node, epoch: u64) {
        let address: Arc<str> = self.record.address.as_str().into();
        let request = PeerRequest::Superseded(epoch);
        loop {
            let limits = TimeLimits::total(SUPERSEDE_TIMEOUT);
            let answer = peers::send(node, &address, request.clone(), limits).await;
            if answer.is_some() {
                return;
            }
            tokio::time::sleep(SUPERSEDE_INTERVAL).await;
        }
    }

    async fn wait_for_majority(&self, owner: &Owner) {
        if !self.record.witnessed {
            std::future::pending::<()>().await;
        }
        while !owner.authority.borrow().has_majority() {
            owner.majority.notified().await;
        }
    }
}

impl Owner {
    /// Returns whether no call of an earlier owner can arrive any more.
    pub(super) fn outlives_earlier_calls(&self) -> bool {
        self.settled.get() && self.now().since(self.owned_since) >= MAX_COMMAND_DELAY
    }

    /// Records that no earlier owner goes on, so that a successor has to consider this one alone.
    fn settle(self: &Rc<Self>) {
        self.settled.set(true);
        self.review_witnesses();
        self.commit_requested.notify_one();
    }
}

/// Returns how long calls of an earlier owner may still be carried out after it has ended.
const fn relay_delay(earlier: &OwnerRecord) -> Duration {
    if earlier.relays {
        relay::MAX_CALL_DELAY
    } else {
        Duration::ZERO
    }
}
