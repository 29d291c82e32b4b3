//! Takeovers whose claim, reads and start are steps of their own, so that events lie between them.

use super::assert_each_holds_in;
use super::assert_violated;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// One slow takeover, alone and with another fault.
#[test]
fn no_slow_takeover_with_another_fault_violates_an_invariant() {
    let sets = [
        "slow takeover",
        "slow takeover, network",
        "slow takeover, late write",
        "slow takeover, failure",
        "slow takeover, pause",
        "slow takeover, wait",
        "slow takeover, crash",
        "slow takeover, refusal",
    ];
    assert_each_holds_in(World::TwoSteps, &sets);
}

/// The same with faults that lead to more states, and two takeovers, in the small world.
#[test]
fn no_slow_takeover_in_the_small_world_violates_an_invariant() {
    let sets = [
        "slow takeover, restart",
        "slow takeover, cancel",
        "slow takeover, late report",
        "slow takeover, disconnect",
        "slow takeover, slow call",
        "slow takeover, slow takeover",
    ];
    assert_each_holds_in(World::OneTask, &sets);
}

/// Only the claim keeps the earlier owner from writing what a successor has read already.
#[test]
fn a_takeover_that_reads_before_it_claims_violates_an_invariant() {
    assert_violated(Mutation::ReadBeforeClaim, faults("slow takeover"));
}
