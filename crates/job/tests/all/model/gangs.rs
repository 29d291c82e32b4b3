//! A gang: two tasks that only work together. One end `done` counts for both, members never run as
//! different runs, and without faults of the system none waits for the other in vain.

use super::NO_FAULTS;
use super::USUAL_FAULTS;
use super::assert_each_holds_in;
use super::assert_holds_in;
use super::assert_stuck_in;
use super::assert_violated_in;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// One fault of each kind, and pairs.
#[test]
fn no_fault_breaks_a_gang() {
    assert_holds_in(World::Gang, "none", NO_FAULTS);
    assert_each_holds_in(World::Gang, &USUAL_FAULTS);
    let sets = [
        "failure, failure, pause",
        "failure, cancel",
        "failure, crash",
        "network, restart",
        "late report, restart",
        "crash, disconnect",
        "failure, disconnect, wait",
    ];
    assert_each_holds_in(World::Gang, &sets);
}

/// A member that never comes leaves the other alone.
#[test]
fn a_gang_without_its_second_member_never_ends() {
    assert_stuck_in(World::Gang, Mutation::LoseMemberStart, NO_FAULTS);
}

/// Failures that do not count bring about starts after the last attempt.
#[test]
fn failures_of_a_gang_that_do_not_count_violate_an_invariant() {
    let failures = faults("failure, failure");
    assert_violated_in(World::Gang, Mutation::IgnoreFailures, failures);
    assert_violated_in(World::OneTask, Mutation::IgnoreFailures, failures);
}
