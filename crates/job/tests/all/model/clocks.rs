//! An executor whose clock is 2% slow, the most that is allowed, and time that passes to the
//! millisecond until an owner takes its leases for expired.

use super::NO_FAULTS;
use super::assert_holds_in;
use super::assert_violated_in;
use super::state::Budget;
use super::state::Mutation;
use super::state::World;

const EXPIRY: Budget = Budget {
    expiries: 1,
    ..NO_FAULTS
};

/// One expiry of a lease with other faults.
#[test]
fn no_slow_clock_violates_an_invariant() {
    let cases = [
        ("expiry", EXPIRY),
        (
            "expiries",
            Budget {
                expiries: 3,
                ..NO_FAULTS
            },
        ),
        (
            "expiry, network",
            Budget {
                network: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, disconnect",
            Budget {
                disconnects: 1,
                ..EXPIRY
            },
        ),
        (
            "expiries, disconnect",
            Budget {
                expiries: 2,
                disconnects: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, slow call",
            Budget {
                slow_calls: 1,
                network: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, restart",
            Budget {
                restarts: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, disconnect, restart",
            Budget {
                disconnects: 1,
                restarts: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, takeover",
            Budget {
                takeovers: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, slow takeover",
            Budget {
                slow_takeovers: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, disconnect, crash",
            Budget {
                disconnects: 1,
                crashes: 1,
                ..EXPIRY
            },
        ),
        (
            "expiry, network, disconnect",
            Budget {
                disconnects: 1,
                network: 1,
                ..EXPIRY
            },
        ),
        ("expiry, late report", Budget { polls: 1, ..EXPIRY }),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::SlowClock, name, budget);
    }
}

/// A clock that is slower than leases allow for is found out.
#[test]
fn a_clock_that_is_too_slow_violates_an_invariant() {
    let unreachable = Budget {
        disconnects: 1,
        ..EXPIRY
    };
    assert_violated_in(World::SlowClock, Mutation::SlowerClocks, unreachable);
}
