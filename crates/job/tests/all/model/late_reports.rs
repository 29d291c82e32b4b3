//! Late answers to polls: several in flight, delivered in any order, and some of them after the owner
//! has taken their executor for unreachable.

use super::assert_each_holds_in;
use super::assert_violated_in;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// One late report with other faults.
#[test]
fn no_late_report_with_another_fault_violates_an_invariant() {
    let sets = [
        "late report, cancel",
        "late report, failure, pause",
        "late report, disconnect",
        "late report, refusal, pause",
        "late report, slow call",
        "late report, wait",
        "late report, network, pause",
    ];
    assert_each_holds_in(World::TwoSteps, &sets);
}

/// Two reports in flight, alone and with another fault.
#[test]
fn no_overtaken_report_violates_an_invariant() {
    let sets = [
        "late report, late report",
        "late report, late report, wait",
        "late report, late report, restart",
        "late report, late report, network",
        "late report, late report, failure",
        "late report, late report, crash",
        "late report, late report, disconnect",
    ];
    assert_each_holds_in(World::OneTask, &sets);
}

/// One late report with two more faults in the small world.
#[test]
fn no_late_report_with_two_faults_violates_an_invariant() {
    let sets = [
        "late report, wait, wait",
        "late report, restart, wait",
        "late report, disconnect, wait",
        "late report, slow call, network, pause",
    ];
    assert_each_holds_in(World::OneTask, &sets);
}

/// A report proves the absence of a run only if its poll was sent after the start.
#[test]
fn a_report_older_than_a_start_that_releases_its_task_violates_an_invariant() {
    let late = faults("late report");
    assert_violated_in(World::OneTask, Mutation::IgnorePollTimes, late);
}
