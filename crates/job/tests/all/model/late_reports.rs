//! Late answers to polls: several in flight, delivered in any order, and some of them after the owner
//! has taken their executor for unreachable.

use super::NO_FAULTS;
use super::assert_holds;
use super::assert_holds_in;
use super::assert_violated_in;
use super::state::Budget;
use super::state::Mutation;
use super::state::World;

const LATE: Budget = Budget {
    polls: 1,
    ..NO_FAULTS
};

const LATE_TWICE: Budget = Budget {
    polls: 2,
    ..NO_FAULTS
};

/// One late report with other faults.
#[test]
fn no_late_report_with_another_fault_violates_an_invariant() {
    let cases = [
        ("late report, cancel", Budget { cancels: 1, ..LATE }),
        (
            "late report, failure, pause",
            Budget {
                failures: 1,
                pauses: 1,
                ..LATE
            },
        ),
        (
            "late report, disconnect",
            Budget {
                disconnects: 1,
                ..LATE
            },
        ),
        (
            "late report, refusal",
            Budget {
                refusals: 1,
                pauses: 1,
                ..LATE
            },
        ),
        (
            "late report, slow",
            Budget {
                slow_calls: 1,
                ..LATE
            },
        ),
        ("late report, wait", Budget { waits: 1, ..LATE }),
        (
            "late report, network, pause",
            Budget {
                network: 1,
                pauses: 1,
                ..LATE
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds(name, budget);
    }
}

/// Two reports in flight, alone and with another fault.
#[test]
fn no_overtaken_report_violates_an_invariant() {
    let cases = [
        ("late reports", LATE_TWICE),
        (
            "late reports, wait",
            Budget {
                waits: 1,
                ..LATE_TWICE
            },
        ),
        (
            "late reports, restart",
            Budget {
                restarts: 1,
                ..LATE_TWICE
            },
        ),
        (
            "late reports, network",
            Budget {
                network: 1,
                ..LATE_TWICE
            },
        ),
        (
            "late reports, failure",
            Budget {
                failures: 1,
                ..LATE_TWICE
            },
        ),
        (
            "late reports, crash",
            Budget {
                crashes: 1,
                ..LATE_TWICE
            },
        ),
        (
            "late reports, disconnect",
            Budget {
                disconnects: 1,
                ..LATE_TWICE
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::OneTask, name, budget);
    }
}

/// One late report with two more faults in the small world.
#[test]
fn no_late_report_with_two_faults_violates_an_invariant() {
    let cases = [
        ("late report, waits", Budget { waits: 2, ..LATE }),
        (
            "late report, restart, wait",
            Budget {
                restarts: 1,
                waits: 1,
                ..LATE
            },
        ),
        (
            "late report, disconnect, wait",
            Budget {
                disconnects: 1,
                waits: 1,
                ..LATE
            },
        ),
        (
            "late report, slow, network, pause",
            Budget {
                slow_calls: 1,
                network: 1,
                pauses: 1,
                ..LATE
            },
        ),
    ];
    for (name, budget) in cases {
        assert_holds_in(World::OneTask, name, budget);
    }
}

/// A report proves the absence of a run only if its poll was sent after the start.
#[test]
fn a_report_older_than_a_start_that_releases_its_task_violates_an_invariant() {
    assert_violated_in(World::OneTask, Mutation::IgnorePollTimes, LATE);
}
