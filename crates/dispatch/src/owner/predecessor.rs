//! The earlier owner after a takeover: until when it may send commands and extend leases.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::scheduler::Scheduler;
use link::client::TimeLimits;
use model::Mono;

use super::Claim;
use super::MAX_UNCONFIRMED;
use super::Owner;
use crate::events;
use crate::events::InheritedLeases;
use crate::peers;
use crate::peers::PeerRequest;
use crate::relay;
use crate::rows::OwnerRecord;

/// Interval at which the takeover is announced to the earlier owner until it answers.
const SUPERSEDE_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for its answer.
const SUPERSEDE_TIMEOUT: Duration = Duration::from_millis(600);
/// A slow clock extends a lease by at most the duration of the lease divided by this number.
const CLOCK_DRIFT_DIVISOR: u32 = 49;
/// Added to leases for late timers and messages.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// What shows that the earlier owner sends nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopProof {
    /// There was none, it released the executors, or it was an earlier process of this host.
    EndedBefore,
    /// The process at its address has answered.
    Answered,
    /// The store has not confirmed it for so long that it has ended by itself.
    TimedOut,
}

impl StopProof {
    /// Returns the value that logs show.
    const fn as_str(self) -> &'static str {
        match self {
            Self::EndedBefore => "ended_before",
            Self::Answered => "answered",
            Self::TimedOut => "timed_out",
        }
    }
}

/// The owner that this host follows.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    record: OwnerRecord,
    /// When the claim that ended its ownership was sent.
    claimed: Mono,
    /// The longest time for which an executor may run on after its leases were last extended.
    lease: Duration,
    /// Until when it may send commands if nothing else is known of it.
    sends_until: Mono,
}

impl Predecessor {
    /// Returns the earlier owner that a claim names, whose calls grant a lease of this duration.
    pub(super) fn new(claim: &Claim, lease: Duration) -> Self {
        let record = claim.earlier.clone();
        let sends_until = claim
            .sent
            .after(MAX_UNCONFIRMED)
            .after(relay_delay(&record));
        Self {
            record,
            claimed: claim.sent,
            lease: lease + lease / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN,
            sends_until,
        }
    }

    /// Returns when the leases that it has granted expire at the latest.
    fn leases_until(&self) -> Mono {
        self.sends_until.after(self.lease)
    }

    /// Lets the scheduler assume that it goes on for as long as an owner may.
    pub(super) fn inherit_leases(&self, scheduler: &mut Scheduler, now: Mono) -> InheritedLeases {
        scheduler.inherit_leases(self.sends_until, self.leases_until());
        let with_tasks = scheduler
            .fleet
            .iter()
            .filter(|(_, it)| !it.tasks.is_empty());
        InheritedLeases {
            executors: with_tasks.count(),
            sends_ms: model::time::millis(self.sends_until.since(now)),
            lease_ms: model::time::millis(self.leases_until().since(now)),
        }
    }

    /// Makes sure that it grants no more leases. Otherwise the successor has to assume that they were
    /// extended for as long as an owner may continue without confirmation. One that had ended before
    /// the claim has sent nothing since.
    pub(super) async fn stop(self, owner: Rc<Owner>) {
        let proof = self.wait_for_proof(&owner).await;
        let now = owner.now();
        let mut leases_until = self.leases_until();
        if proof != StopProof::TimedOut {
            let is_over = proof == StopProof::EndedBefore;
            let stopped_at = if is_over { self.claimed } else { now };
            let stopped_at = stopped_at.after(relay_delay(&self.record));
            leases_until = now.after(self.lease);
            owner.scheduler.borrow_mut().previous_owner_stopped(
                stopped_at,
                leases_until,
                self.leases_until(),
            );
        }
        events::predecessor_stopped(
            owner.epoch,
            &self.record.host,
            proof.as_str(),
            model::time::millis(now.since(self.claimed)),
            model::time::millis(leases_until.since(now)),
        );
    }

    async fn wait_for_proof(&self, owner: &Owner) -> StopProof {
        let node = &owner.node;
        let record = &self.record;
        if record.epoch == 0 || record.released || node.identity.is_own_record(record) {
            return StopProof::EndedBefore;
        }
        let address: Arc<str> = record.address.as_str().into();
        let request = PeerRequest::Superseded(owner.epoch);
        while node.now() < self.leases_until() && !owner.shutdown.is_cancelled() {
            // Any answer is sufficient: a later incarnation of the process does not extend the leases
            // of the earlier one.
            let limits = TimeLimits::total(SUPERSEDE_TIMEOUT);
            let answer = peers::send(node, &address, request.clone(), limits).await;
            if answer.is_some() {
                return StopProof::Answered;
            }
            tokio::time::sleep(SUPERSEDE_INTERVAL).await;
        }
        StopProof::TimedOut
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
