//! Explorations that violate an invariant because of a fault that is not mended. `KNOWN-RED.txt`
//! lists each.

use super::NO_FAULTS;
use super::assert_holds_in;
use super::state::Budget;
use super::state::World;

/// The earlier owner repeats its start command at a new incarnation of the executor, after its
/// successor has acknowledged the end of that run.
#[test]
fn a_restart_after_a_takeover_does_not_repeat_an_acknowledged_run() {
    let budget = Budget {
        network: 1,
        restarts: 1,
        takeovers: 1,
        ..NO_FAULTS
    };
    assert_holds_in(World::OneTask, "network, restart, takeover", budget);
}
