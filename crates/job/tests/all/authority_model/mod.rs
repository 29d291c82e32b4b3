//! A model check of what owners conclude about the leases of earlier ones (`job::authority`): every order
//! of commits, claims, polls, late messages, lost answers, restarts of executors and changes of witnesses
//! within a budget. An owner that is frozen, cut off or gone is one that does nothing for a while, so
//! that cuts need no state of their own.

mod calls;
mod state;

use model::Set;

use self::state::Budget;
use self::state::Mutation;
use self::state::State;

/// Explores all states. Returns their number, and a violation with the state and the event that led to it.
fn explore(budget: Budget, mutation: Mutation) -> (usize, Option<String>) {
    let first = State::new(budget);
    let mut seen: Set<State> = Set::default();
    seen.insert(first);
    let mut open = vec![first];
    while let Some(state) = open.pop() {
        for event in state.events(mutation) {
            match state.after(event, mutation) {
                Err(violation) => {
                    let text = format!("{violation}, by {event:?} in {state:?}");
                    return (seen.len(), Some(text));
                }
                Ok(next) if seen.insert(next) => open.push(next),
                Ok(_) => {}
            }
        }
    }
    (seen.len(), None)
}

/// Budgets of one kind of fault each beside a takeover, polls and time.
const BUDGETS: [(&str, Budget); 7] = [
    (
        "late polls",
        Budget {
            steps: 2,
            late_polls: 1,
            commits: 1,
            polls: 4,
            ..NO_FAULTS
        },
    ),
    (
        "a restart",
        Budget {
            restarts: 1,
            ..NO_FAULTS
        },
    ),
    (
        "lost answers of the store",
        Budget {
            steps: 2,
            lost_answers: 1,
            ..NO_FAULTS
        },
    ),
    (
        "other witnesses",
        Budget {
            changes: 1,
            ..NO_FAULTS
        },
    ),
    (
        "a restart of the target and a late poll",
        Budget {
            target_restarts: 1,
            late_polls: 1,
            polls: 3,
            answers: 1,
            ..NO_FAULTS
        },
    ),
    (
        "two restarts of the target and a late poll",
        Budget {
            steps: 1,
            target_restarts: 2,
            late_polls: 1,
            polls: 3,
            ..NO_FAULTS
        },
    ),
    (
        "two takeovers",
        Budget {
            owners: 2,
            steps: 1,
            polls: 4,
            answers: 1,
            changes: 1,
            ..NO_FAULTS
        },
    ),
];

const NO_FAULTS: Budget = Budget {
    steps: 2,
    owners: 1,
    polls: 5,
    late_polls: 0,
    commits: 0,
    lost_answers: 0,
    restarts: 0,
    target_restarts: 0,
    changes: 0,
    answers: 0,
};

#[test]
fn no_lease_outlasts_what_a_successor_concludes() {
    for (name, budget) in BUDGETS {
        let (states, violation) = explore(budget, Mutation::None);
        println!("{name}: {states} states");
        assert_eq!(violation, None, "{name}");
    }
}

#[test]
fn the_model_detects_violated_rules() {
    for mutation in [
        Mutation::IgnoreHorizon,
        Mutation::IgnoreIncarnations,
        Mutation::ForgetOldWitnesses,
        Mutation::ChangeUnsettled,
        Mutation::TrustUnsettled,
        Mutation::ConfirmLate,
    ] {
        let mut found = BUDGETS.into_iter().filter_map(|(name, budget)| {
            let (_, violation) = explore(budget, mutation);
            Some((name, violation?))
        });
        let found = found.next();
        println!("{mutation:?}: {found:?}");
        assert!(found.is_some(), "{mutation:?}");
    }
}

/// A deadline for the clock of an earlier incarnation grants the longest lease that an executor accepts,
/// and a successor does not wait for that.
#[test]
fn the_model_detects_deadlines_that_reach_a_later_incarnation() {
    let restarts = |(_, budget): &(&str, Budget)| budget.target_restarts > 0;
    for (name, budget) in BUDGETS.into_iter().filter(restarts) {
        for mutation in [Mutation::UnboundCalls, Mutation::UnboundInFlight] {
            let (_, violation) = explore(budget, mutation);
            println!("{mutation:?}, {name}: {violation:?}");
            assert!(violation.is_some(), "{mutation:?}, {name}");
        }
    }
}
