//! A task that runs until its job is cancelled: it starts again however it ends, and after the
//! cancellation nothing starts and nothing runs on.

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
fn no_fault_ends_a_long_running_task() {
    assert_holds_in(World::LongRunning, "none", NO_FAULTS);
    assert_each_holds_in(World::LongRunning, &USUAL_FAULTS);
    let sets = [
        "failure, pause",
        "failure, failure, failure, pause, pause, pause",
        "cancel, network",
        "cancel, restart",
        "cancel, crash",
        "cancel, disconnect",
        "cancel, late report",
        "cancel, failure, pause",
    ];
    assert_each_holds_in(World::LongRunning, &sets);
}

/// A task that does not start again after an end `done` is detected.
#[test]
fn a_long_running_task_that_does_not_start_again_never_runs() {
    let end = faults("failure");
    assert_stuck_in(World::LongRunning, Mutation::IgnoreLongRunning, end);
}

/// A start after the cancellation is known is detected.
#[test]
fn an_ignored_cancellation_violates_an_invariant() {
    let cancel = faults("cancel");
    assert_violated_in(World::LongRunning, Mutation::IgnoreCancellation, cancel);
    assert_violated_in(World::OneTask, Mutation::IgnoreCancellation, cancel);
}
