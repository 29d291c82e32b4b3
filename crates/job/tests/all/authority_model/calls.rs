//! Polls, which may arrive late, and the leases that they grant.
//!
//! A deadline is a time on the clock of one incarnation of the target. The next incarnation has a clock
//! that starts anew, so that the same deadline would be far ahead and only the longest lease that an
//! executor accepts would limit it. A call with a deadline is therefore bound to its incarnation: a later
//! one never receives it. A call without a deadline reaches any incarnation.

use std::time::Duration;

use job::authority::AuthorityEnd;
use model::Mono;

use super::state::Mutation;
use super::state::Owner;
use super::state::State;
use super::state::TARGET;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;

/// A poll in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LatePoll {
    pub(super) owner: usize,
    pub(super) executor: usize,
    sent: u64,
    grant: Option<Grant>,
}

/// The lease that a poll grants to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The incarnation on whose clock the deadline was computed.
    incarnation: u8,
    until: u64,
}

/// Returns when a lease ends that is granted for this duration on a clock that is 2% slow.
fn on_a_slow_clock(granted: u64, lease: Duration) -> u64 {
    Mono(granted).after(lease * 50 / 49).0
}

impl Owner {
    /// Returns the lease that a poll sent now grants.
    fn grant(&self, now: u64, mutation: Mutation) -> Option<Grant> {
        let horizon = self.authority(mutation).horizon();
        let limit = horizon.filter(|_| mutation != Mutation::IgnoreHorizon);
        let until = Mono(now).after(LEASE).min(limit.unwrap_or(Mono(u64::MAX)));
        let lease = until.since(Mono(now));
        (!lease.is_zero()).then(|| Grant {
            incarnation: self.target,
            until: on_a_slow_clock(now, lease),
        })
    }
}

impl State {
    /// Returns a poll that an owner sends now.
    pub(super) fn poll(&self, at: usize, executor: usize, mutation: Mutation) -> LatePoll {
        let present = self.executors[TARGET].incarnation;
        let grant = self.owners[at]
            .filter(|_| executor == TARGET)
            .and_then(|owner| owner.grant(self.now, mutation));
        // No connection to a later incarnation is one on which the owner may send this deadline.
        let is_sent =
            |grant: &Grant| grant.incarnation == present || mutation == Mutation::UnboundCalls;
        LatePoll {
            owner: at,
            executor,
            sent: self.now,
            grant: grant.filter(is_sent),
        }
    }

    /// Lets a poll arrive, and its answer, unless its connection has ended with the earlier incarnation.
    pub(super) fn deliver(&mut self, poll: LatePoll, mutation: Mutation) -> Result<(), String> {
        let epoch = u8::try_from(poll.owner + 1).expect("few owners");
        let executor = &mut self.executors[poll.executor];
        let Some(owner) = &mut self.owners[poll.owner] else {
            return Ok(());
        };
        let is_late = |grant: Grant| grant.incarnation < executor.incarnation;
        let crosses_restart = poll.grant.is_some_and(is_late);
        let is_bound = !matches!(mutation, Mutation::UnboundCalls | Mutation::UnboundInFlight);
        if crosses_restart && is_bound {
            return Ok(());
        }
        if epoch < executor.epoch {
            owner.ended = true;
            return Ok(());
        }
        executor.epoch = epoch;
        let until = poll.grant.map(|grant| match crosses_restart {
            true => on_a_slow_clock(self.now, MAX_LEASE),
            false => grant.until,
        });
        if let Some(until) = until
            && until > executor.lease_until
        {
            executor.lease_until = until;
            executor.granted_by = epoch;
        }
        owner.accepted[poll.executor] = Some((executor.incarnation, poll.sent));
        if poll.executor == TARGET {
            owner.target = executor.incarnation;
        }
        if owner.end.is_none() && poll.owner > 0 && owner.authority(mutation).has_majority() {
            let end = AuthorityEnd::proven(Mono(owner.row_read_at), Mono(self.now));
            owner.end = Some((end.sends_until.0, end.leases_until.0));
        }
        self.check()
    }
}
