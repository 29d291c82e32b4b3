//! Calls that are bound to an incarnation of their executor, and calls that are not.
//!
//! A deadline is a time on the clock of one incarnation. A later one would shorten it to the longest
//! lease that executors accept, because its own clock starts at zero. With calls that are not bound an
//! owner has to assume the longest lease once it notices another clock, and it may not notice it before
//! the executor is lost.

use job::fleet::ClockReading;

use super::assert_holds_with;
use super::assert_violated_in;
use super::faults::faults;
use super::state::LateCall;
use super::state::Mutation;
use super::state::Owner;
use super::state::State;
use super::state::World;

/// Which incarnations of an executor a call reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Calls {
    /// Any that is there when the call arrives.
    Unbound,
    /// Starts, stops and polls that grant a lease reach only the incarnation on whose clock their owner
    /// computes deadlines. To another one the owner sends polls that grant no lease.
    Bound,
}

/// What an owner knows of an executor's clock, and the start time of the incarnation that it is from.
pub type KnownClocks = [(Option<ClockReading>, u64); 2];

impl State {
    /// Returns the start time of the incarnation that the calls of an owner are bound to.
    pub(super) fn bound_incarnation(&self, host: usize, at: usize) -> u64 {
        let owner = self.owners[host].as_ref();
        match self.calls {
            Calls::Unbound => 0,
            Calls::Bound => owner.map_or(0, |owner| owner.clocks[at].1),
        }
    }

    /// Returns whether an owner has no connection for calls that are bound to an incarnation.
    pub(super) fn is_disconnected(&self, host: usize, at: usize) -> bool {
        let present = self.executors[at].started_unix_ms;
        self.calls == Calls::Bound && self.bound_incarnation(host, at) != present
    }

    /// Returns whether a call is lost because its executor is in another incarnation.
    pub(super) fn is_lost(&self, call: &LateCall) -> bool {
        let present = self.executors[call.executor].started_unix_ms;
        self.calls == Calls::Bound && call.incarnation != present
    }
}

impl Owner {
    /// Records which incarnation the known clock of an executor is from, after a reading of the clock of
    /// the one that started at `started_unix_ms`.
    pub(super) fn record_clock(&mut self, at: usize, started_unix_ms: u64) {
        let executor = self.scheduler.fleet.get(self.key(at));
        let clock = executor.and_then(|executor| executor.clock);
        if clock != self.clocks[at].0 {
            self.clocks[at] = (clock, started_unix_ms);
        }
    }
}

/// Deadlines that reach a later incarnation grant more than an owner counts on, unless it assumes the
/// longest lease.
#[test]
fn unbound_calls_without_the_longest_lease_violate_an_invariant() {
    let expiry = faults("expiry, disconnect, restart");
    assert_violated_in(World::SlowClock, Mutation::IgnoreMaxLease, expiry);
    let late_report = faults("late report, restart, wait");
    assert_violated_in(World::OneTask, Mutation::IgnoreMaxLease, late_report);
}

/// The assumption of the longest lease does not suffice: the answer that would show the other clock may
/// be lost, and the executor with it.
#[test]
fn unbound_calls_to_an_unnoticed_incarnation_violate_an_invariant() {
    let unnoticed = faults("network, restart, disconnect, wait");
    assert_violated_in(World::OneTask, Mutation::None, unnoticed);
}

/// With bound calls no owner has to assume the longest lease for a new incarnation.
#[test]
fn bound_calls_without_the_longest_lease_violate_no_invariant() {
    let sets = [
        (World::TwoSteps, "restart"),
        (World::TwoSteps, "restart, wait"),
        (World::OneTask, "network, restart"),
        (World::OneTask, "late report, restart"),
        (World::OneTask, "restart, takeover"),
        (World::OneTask, "slow call, restart, wait"),
        (World::Gang, "restart"),
        (World::SlowClock, "expiry, disconnect, restart"),
    ];
    for (world, set) in sets {
        assert_holds_with(
            world,
            set,
            faults(set),
            (Calls::Bound, Mutation::IgnoreMaxLease),
        );
    }
}
