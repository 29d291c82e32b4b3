//! A gang: two tasks that only work together. One end `done` counts for both, members never run as
//! different runs, and without faults of the system none waits for the other in vain.

use super::NO_FAULTS;
use super::assert_holds_in;
use super::assert_stuck_in;
use super::assert_violated_in;
use super::state::Budget;
use super::state::Mutation;
use super::state::World;

/// One fault of each kind, and pairs.
#[test]
fn no_fault_breaks_a_gang() {
    let cases = [
        ("none", NO_FAULTS),
        (
            "network",
            Budget {
                network: 1,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
        (
            "slow call",
            Budget {
                slow_calls: 1,
                ..NO_FAULTS
            },
        ),
        (
            "refusal",
            Budget {
                refusals: 1,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
        (
            "late report",
            Budget {
                polls: 1,
                ..NO_FAULTS
            },
        ),
        (
            "takeover",
            Budget {
                takeovers: 1,
                ..NO_FAULTS
            },
        ),
        (
            "slow takeover",
            Budget {
                slow_takeovers: 1,
                ..NO_FAULTS
            },
        ),
        (
            "crash",
            Budget {
                crashes: 1,
                ..NO_FAULTS
            },
        ),
        (
            "late write",
            Budget {
                late_writes: 1,
                ..NO_FAULTS
            },
        ),
        (
            "restart",
            Budget {
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "disconnect",
            Budget {
                disconnects: 1,
                ..NO_FAULTS
            },
        ),
        (
            "disconnect, wait",
            Budget {
                disconnects: 1,
                waits: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel",
            Budget {
                cancels: 1,
                ..NO_FAULTS
            },
        ),
        (
            "wait",
            Budget {
                waits: 2,
                ..NO_FAULTS
            },
        ),
        (
            "failures, pause",
            Budget {
                failures: 2,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
        (
            "failure, cancel",
            Budget {
                failures: 1,
                cancels: 1,
                ..NO_FAULTS
            },
        ),
        (
            "failure, crash",
            Budget {
                failures: 1,
                crashes: 1,
                ..NO_FAULTS
            },
        ),
        (
            "network, restart",
            Budget {
                network: 1,
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "late report, restart",
            Budget {
                polls: 1,
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "crash, disconnect",
            Budget {
                crashes: 1,
                disconnects: 1,
                ..NO_FAULTS
            },
        ),
        (
            "failure, disconnect, wait",
            Budget {
                failures: 1,
                disconnects: 1,
                waits: 1,
                ..NO_FAULTS
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::Gang, name, budget);
    }
}

/// A member that never comes leaves the other alone.
#[test]
fn a_gang_without_its_second_member_never_ends() {
    assert_stuck_in(World::Gang, Mutation::LoseMemberStart, NO_FAULTS);
}

/// Failures that do not count bring about starts after the last attempt.
#[test]
fn failures_of_a_gang_that_do_not_count_violate_an_invariant() {
    let failures = Budget {
        failures: 2,
        ..NO_FAULTS
    };
    assert_violated_in(World::Gang, Mutation::IgnoreFailures, failures);
    assert_violated_in(World::OneTask, Mutation::IgnoreFailures, failures);
}
