//! Takeovers whose claim, reads and start are steps of their own, so that events lie between them.

use super::NO_FAULTS;
use super::assert_holds;
use super::assert_holds_in;
use super::assert_violated;
use super::state::Budget;
use super::state::Mutation;
use super::state::World;

const SLOW: Budget = Budget {
    slow_takeovers: 1,
    ..NO_FAULTS
};

/// One slow takeover, alone and with another fault.
#[test]
fn no_slow_takeover_with_another_fault_violates_an_invariant() {
    let cases = [
        ("slow takeover", SLOW),
        ("slow takeover, network", Budget { network: 1, ..SLOW }),
        (
            "slow takeover, late write",
            Budget {
                late_writes: 1,
                ..SLOW
            },
        ),
        (
            "slow takeover, failure",
            Budget {
                failures: 1,
                ..SLOW
            },
        ),
        ("slow takeover, pause", Budget { pauses: 1, ..SLOW }),
        ("slow takeover, wait", Budget { waits: 1, ..SLOW }),
        ("slow takeover, crash", Budget { crashes: 1, ..SLOW }),
        (
            "slow takeover, refusal",
            Budget {
                refusals: 1,
                ..SLOW
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds(name, budget);
    }
}

/// The same with faults that lead to more states, and two takeovers, in the small world.
#[test]
fn no_slow_takeover_in_the_small_world_violates_an_invariant() {
    let cases = [
        (
            "slow takeover, restart",
            Budget {
                restarts: 1,
                ..SLOW
            },
        ),
        ("slow takeover, cancel", Budget { cancels: 1, ..SLOW }),
        ("slow takeover, late report", Budget { polls: 1, ..SLOW }),
        (
            "slow takeover, disconnect",
            Budget {
                disconnects: 1,
                ..SLOW
            },
        ),
        (
            "slow takeover, slow call",
            Budget {
                slow_calls: 1,
                ..SLOW
            },
        ),
        (
            "slow takeovers",
            Budget {
                slow_takeovers: 2,
                ..SLOW
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::OneTask, name, budget);
    }
}

/// Only the claim keeps the earlier owner from writing what a successor has read already.
#[test]
fn a_takeover_that_reads_before_it_claims_violates_an_invariant() {
    assert_violated(Mutation::ReadBeforeClaim, SLOW);
}
