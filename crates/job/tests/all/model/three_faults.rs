//! Three faults at a time in the small world.
//!
//! `FIREFLYNOTCH_MODEL_FAULTS="late report, restart, takeover"` explores these faults instead of the
//! sets of the test, and `FIREFLYNOTCH_MODEL_FAULTS=all` each set of three. Many of these pass the
//! bound of states.

use super::assert_holds_in;
use super::assert_violated_in;
use super::faults::FAULTS;
use super::faults::faults;
use super::state::Mutation;
use super::state::World;

/// The sets of three faults that are explored in each run of the tests: those that lead to few states.
const SETS: [&str; 75] = [
    "network, slow call, refusal",
    "network, slow call, disconnect",
    "network, slow call, failure",
    "network, slow call, pause",
    "network, slow call, wait",
    "network, slow call, takeover",
    "network, slow call, slow takeover",
    "network, slow call, crash",
    "network, slow call, late write",
    "network, refusal, failure",
    "network, refusal, pause",
    "network, refusal, wait",
    "network, refusal, late write",
    "network, late report, failure",
    "network, restart, failure",
    "network, disconnect, failure",
    "network, failure, cancel",
    "network, failure, pause",
    "network, failure, wait",
    "network, failure, late write",
    "network, pause, wait",
    "network, pause, late write",
    "network, wait, late write",
    "network, crash, late write",
    "slow call, refusal, late report",
    "slow call, refusal, disconnect",
    "slow call, refusal, failure",
    "slow call, refusal, cancel",
    "slow call, refusal, pause",
    "slow call, refusal, wait",
    "slow call, refusal, takeover",
    "slow call, refusal, slow takeover",
    "slow call, refusal, crash",
    "slow call, refusal, late write",
    "slow call, late report, failure",
    "slow call, late report, late write",
    "slow call, restart, failure",
    "slow call, disconnect, failure",
    "slow call, disconnect, late write",
    "slow call, failure, cancel",
    "slow call, failure, pause",
    "slow call, failure, wait",
    "slow call, failure, crash",
    "slow call, failure, late write",
    "slow call, pause, late write",
    "slow call, wait, late write",
    "slow call, takeover, crash",
    "slow call, takeover, late write",
    "slow call, slow takeover, late write",
    "slow call, crash, late write",
    "refusal, late report, failure",
    "refusal, late report, cancel",
    "refusal, late report, late write",
    "refusal, restart, failure",
    "refusal, restart, late write",
    "refusal, disconnect, failure",
    "refusal, disconnect, late write",
    "refusal, failure, cancel",
    "refusal, failure, pause",
    "refusal, failure, wait",
    "refusal, failure, takeover",
    "refusal, failure, slow takeover",
    "refusal, failure, crash",
    "refusal, failure, late write",
    "refusal, cancel, late write",
    "refusal, pause, wait",
    "refusal, pause, late write",
    "refusal, wait, late write",
    "refusal, takeover, crash",
    "refusal, takeover, late write",
    "refusal, crash, late write",
    "late report, failure, cancel",
    "late report, failure, late write",
    "restart, failure, late write",
    "disconnect, failure, late write",
];

/// Returns the sets of three faults that an environment variable selects.
fn selected_sets() -> Option<Vec<String>> {
    let selection = std::env::var("FIREFLYNOTCH_MODEL_FAULTS").ok()?;
    if selection != "all" {
        return Some(vec![selection]);
    }
    let mut sets = Vec::new();
    for (first, one) in FAULTS.iter().enumerate() {
        for (second, two) in FAULTS.iter().enumerate().skip(first + 1) {
            for three in FAULTS.iter().skip(second + 1) {
                sets.push([one.0, two.0, three.0].join(", "));
            }
        }
    }
    Some(sets)
}

/// Three faults of different kinds.
#[test]
fn no_three_faults_violate_an_invariant() {
    let default = || SETS.map(str::to_owned).to_vec();
    for set in selected_sets().unwrap_or_else(default) {
        assert_holds_in(World::OneTask, &set, faults(&set));
    }
}

/// A poll that was sent before the earlier owner stopped proves nothing of what that owner sent since.
#[test]
fn polls_sent_before_the_earlier_owner_stopped_violate_an_invariant_if_trusted() {
    let budget = faults("late report, restart, takeover");
    assert_violated_in(World::OneTask, Mutation::TrustEarlierPolls, budget);
}
