//! Refusals of start commands of every kind and at any moment, and commands whose answers take their
//! time, so that reports arrive in between.

use super::NO_FAULTS;
use super::assert_holds;
use super::assert_violated;
use super::state::Budget;
use super::state::Mutation;

/// A refusal or a slow command, alone and with another fault.
#[test]
fn no_refused_or_slow_command_violates_an_invariant() {
    let slow = Budget {
        slow_calls: 1,
        ..NO_FAULTS
    };
    let refused = Budget {
        refusals: 1,
        ..NO_FAULTS
    };
    let cases = [
        ("refusal", refused),
        ("slow", slow),
        (
            "refusals, pause",
            Budget {
                refusals: 2,
                pauses: 1,
                ..NO_FAULTS
            },
        ),
        (
            "refusal, network",
            Budget {
                network: 1,
                pauses: 1,
                ..refused
            },
        ),
        (
            "refusal, slow",
            Budget {
                slow_calls: 1,
                pauses: 1,
                ..refused
            },
        ),
        (
            "refusal, restart",
            Budget {
                restarts: 1,
                ..refused
            },
        ),
        (
            "refusal, disconnect",
            Budget {
                disconnects: 1,
                ..refused
            },
        ),
        (
            "refusal, crash",
            Budget {
                crashes: 1,
                ..refused
            },
        ),
        (
            "refusal, takeover",
            Budget {
                takeovers: 1,
                ..refused
            },
        ),
        (
            "refusal, cancel",
            Budget {
                cancels: 1,
                ..refused
            },
        ),
        (
            "refusal, failure",
            Budget {
                failures: 1,
                pauses: 1,
                ..refused
            },
        ),
        (
            "slow, network, pause",
            Budget {
                network: 1,
                pauses: 1,
                ..slow
            },
        ),
        (
            "slow, network, refusal, pause",
            Budget {
                network: 1,
                refusals: 1,
                pauses: 1,
                ..slow
            },
        ),
        (
            "slow twice, network",
            Budget {
                slow_calls: 2,
                network: 1,
                ..NO_FAULTS
            },
        ),
        (
            "slow, network, restart",
            Budget {
                network: 1,
                restarts: 1,
                ..slow
            },
        ),
        (
            "slow, restart",
            Budget {
                restarts: 1,
                ..slow
            },
        ),
        (
            "slow, disconnect",
            Budget {
                disconnects: 1,
                ..slow
            },
        ),
        (
            "slow, takeover",
            Budget {
                takeovers: 1,
                ..slow
            },
        ),
        ("slow, cancel", Budget { cancels: 1, ..slow }),
        ("slow, wait", Budget { waits: 1, ..slow }),
    ];
    for (name, budget) in cases {
        assert_holds(name, budget);
    }
}

/// The case of an incident: a command has no answer, a report shows the run, the run ends, and the
/// next copy of the command, sent before the report, is refused after it.
#[test]
fn a_refusal_that_releases_its_task_violates_an_invariant() {
    let unanswered = Budget {
        network: 1,
        refusals: 1,
        pauses: 1,
        ..NO_FAULTS
    };
    let reported = Budget {
        slow_calls: 1,
        ..unanswered
    };
    let superseded = Budget {
        refusals: 0,
        ..reported
    };
    assert_violated(Mutation::ReleaseUnansweredOnRefusal, unanswered);
    assert_violated(Mutation::ReleaseReportedOnRefusal, reported);
    assert_violated(Mutation::ReleaseReportedOnSuperseded, superseded);
}
