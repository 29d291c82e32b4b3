//! The kinds of faults by their names, so that a test lists the faults of its explorations in words.

use super::NO_FAULTS;
use super::state::Budget;

/// A kind of fault, and how it is added to a budget.
pub type Fault = (&'static str, fn(&mut Budget));

/// A delay that ends when an owner takes a lease for expired; for the world with a slow clock.
const EXPIRY: Fault = ("expiry", |budget| budget.expiries += 1);

/// All kinds of faults but [`EXPIRY`].
pub const FAULTS: [Fault; 14] = [
    ("network", |budget| budget.network += 1),
    ("slow call", |budget| budget.slow_calls += 1),
    ("refusal", |budget| budget.refusals += 1),
    ("late report", |budget| budget.polls += 1),
    ("restart", |budget| budget.restarts += 1),
    ("disconnect", |budget| budget.disconnects += 1),
    ("failure", |budget| budget.failures += 1),
    ("cancel", |budget| budget.cancels += 1),
    ("pause", |budget| budget.pauses += 1),
    ("wait", |budget| budget.waits += 1),
    ("takeover", |budget| budget.takeovers += 1),
    ("slow takeover", |budget| budget.slow_takeovers += 1),
    ("crash", |budget| budget.crashes += 1),
    ("late write", |budget| budget.late_writes += 1),
];

/// Returns the budget of a set of faults such as `late report, restart`. A fault that the set names
/// twice may occur twice.
pub fn faults(set: &str) -> Budget {
    let mut budget = NO_FAULTS;
    for name in set.split(", ") {
        let mut kinds = FAULTS.iter().chain([&EXPIRY]);
        let fault = kinds.find(|(known, _)| *known == name);
        let (_, add) = fault.unwrap_or_else(|| panic!("unknown fault {name}"));
        add(&mut budget);
    }
    budget
}
