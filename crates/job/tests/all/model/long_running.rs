//! A task that runs until its job is cancelled: it starts again however it ends, and after the
//! cancellation nothing starts and nothing runs on.

use super::NO_FAULTS;
use super::assert_holds_in;
use super::assert_stuck_in;
use super::assert_violated_in;
use super::state::Budget;
use super::state::Mutation;
use super::state::World;

/// One fault of each kind, and pairs.
#[test]
fn no_fault_ends_a_long_running_task() {
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
            "end, pause",
            Budget {
                failures: 1,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
        (
            "ends",
            Budget {
                failures: 3,
                pauses: 3,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, network",
            Budget {
                cancels: 1,
                network: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, restart",
            Budget {
                cancels: 1,
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, crash",
            Budget {
                cancels: 1,
                crashes: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, disconnect",
            Budget {
                cancels: 1,
                disconnects: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, late report",
            Budget {
                cancels: 1,
                polls: 1,
                ..NO_FAULTS
            },
        ),
        (
            "cancel, end",
            Budget {
                cancels: 1,
                failures: 1,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::LongRunning, name, budget);
    }
}

/// A task that does not start again after an end `done` is found out.
#[test]
fn a_long_running_task_that_does_not_start_again_never_runs() {
    let end = Budget {
        failures: 1,
        ..NO_FAULTS
    };
    assert_stuck_in(World::LongRunning, Mutation::IgnoreLongRunning, end);
}

/// A start after the cancellation is known is found out.
#[test]
fn an_ignored_cancellation_violates_an_invariant() {
    let cancel = Budget {
        cancels: 1,
        ..NO_FAULTS
    };
    assert_violated_in(World::LongRunning, Mutation::IgnoreCancellation, cancel);
    assert_violated_in(World::OneTask, Mutation::IgnoreCancellation, cancel);
}
