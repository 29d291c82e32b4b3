//! An executor whose clock is 2% slow, the most that is allowed, and time that passes to the
//! millisecond until an owner takes its leases for expired.

use super::assert_each_holds_in;
use super::assert_violated_in;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// One expiry of a lease with other faults.
#[test]
fn no_slow_clock_violates_an_invariant() {
    let sets = [
        "expiry",
        "expiry, expiry, expiry",
        "expiry, network",
        "expiry, disconnect",
        "expiry, expiry, disconnect",
        "expiry, slow call, network",
        "expiry, restart",
        "expiry, disconnect, restart",
        "expiry, takeover",
        "expiry, slow takeover",
        "expiry, disconnect, crash",
        "expiry, disconnect, network",
        "expiry, late report",
    ];
    assert_each_holds_in(World::SlowClock, &sets);
}

/// A clock that is slower than leases allow for is detected.
#[test]
fn a_clock_that_is_too_slow_violates_an_invariant() {
    let unreachable = faults("expiry, disconnect");
    assert_violated_in(World::SlowClock, Mutation::SlowerClocks, unreachable);
}
