//! Refusals of start commands of every kind and at any moment, and commands whose answers take their
//! time, so that reports arrive in between.

use super::assert_each_holds_in;
use super::assert_violated;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// A refusal or a slow command, alone and with another fault.
#[test]
fn no_refused_or_slow_command_violates_an_invariant() {
    let sets = [
        "refusal",
        "slow call",
        "refusal, refusal, pause",
        "refusal, network, pause",
        "refusal, slow call, pause",
        "refusal, restart",
        "refusal, disconnect",
        "refusal, crash",
        "refusal, takeover",
        "refusal, cancel",
        "refusal, failure, pause",
        "slow call, network, pause",
        "slow call, network, refusal, pause",
        "slow call, slow call, network",
        "slow call, network, restart",
        "slow call, restart",
        "slow call, disconnect",
        "slow call, takeover",
        "slow call, cancel",
        "slow call, wait",
    ];
    assert_each_holds_in(World::TwoSteps, &sets);
}

/// The case of an incident: a command has no answer, a report shows the run, the run ends, and the
/// next copy of the command, sent before the report, is refused after it.
#[test]
fn a_refusal_that_releases_its_task_violates_an_invariant() {
    let unanswered = faults("network, refusal, pause");
    let reported = faults("network, refusal, pause, slow call");
    let superseded = faults("network, pause, slow call");
    assert_violated(Mutation::ReleaseUnansweredOnRefusal, unanswered);
    assert_violated(Mutation::ReleaseReportedOnRefusal, reported);
    assert_violated(Mutation::ReleaseReportedOnSuperseded, superseded);
}
