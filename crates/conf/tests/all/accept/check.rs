//! Model check: explores all reachable states of the model for violations of the invariants.

use std::hash::BuildHasher;

use conf::accept::change::Outcome;
use conf::accept::follower::ServingMode;
use foldhash::fast::FixedState;
use model::Map;
use pathfinding::directed::bfs::bfs;

use super::steps::Step;
use super::world::BrokenRule;
use super::world::Budget;
use super::world::DAEMONS;
use super::world::TIMEOUTS;
use super::world::World;
use super::world::name;

/// One change without faults.
const QUIET: Budget = Budget {
    changes: 1,
    ticks: 5,
    losses: 0,
    partitions: 0,
    outages: 0,
    crashes: 0,
    lost_answers: 0,
    pauses: 0,
    slow_reads: 0,
};

/// How long the model may take to settle once all faults are over: the staged document of a crashed
/// proposer is cleared after the timeout `stage`, and a change that waits for it goes on after
/// that.
const TICKS_TO_SETTLE: u8 = 16;

/// Returns which invariant a state violates, if any.
fn violation(world: &World) -> Option<&'static str> {
    if world.fault.is_some() {
        return world.fault;
    }
    let accepted = |index: usize| {
        let op = format!("op-{index}").into();
        world.current.version_of_change(&op).is_some()
    };
    for (index, change) in world.changes.iter().enumerate() {
        match change.outcome {
            None | Some(Outcome::Unknown) => {}
            Some(Outcome::Accepted { .. }) if accepted(index) => {}
            Some(Outcome::Accepted { .. }) => return Some("reported as accepted, but was not"),
            Some(_) if accepted(index) => return Some("reported as not accepted, but was"),
            Some(_) => {}
        }
    }
    (0..DAEMONS).find_map(|index| stale(world, index))
}

/// Returns which invariant a daemon violates that serves an older document than the one in force.
fn stale(world: &World, index: usize) -> Option<&'static str> {
    let follower = world.daemons[index].follower.as_ref()?;
    let behind = world.current.version.0 - follower.version().0;
    let overdue = world.now.since(world.committed_at) > TIMEOUTS.in_doubt;
    match (follower.serving_mode(world.now), behind) {
        (ServingMode::Nothing, _) | (_, 0) => None,
        (ServingMode::InForce, _) if overdue => Some("served an old document past the timeout"),
        (_, 1) => None,
        _ => Some("served two documents behind"),
    }
}

/// The result of an exploration, with the path to the first violation.
struct Explored {
    states: usize,
    depth: usize,
    path: Option<Vec<World>>,
}

/// Explores all states that are reachable from `start`, up to the first violation.
fn explore(start: &World) -> Explored {
    let key = |world: &World| FixedState::default().hash_one(world);
    let mut depths: Map<u64, usize> = Map::default();
    depths.insert(key(start), 0);
    let mut depth = 0;
    let successors = |world: &World| -> Vec<World> {
        depth = depths[&key(world)];
        let next = world.steps().into_iter().map(|step| world.after(step));
        let next: Vec<World> = next.collect();
        for state in &next {
            depths.entry(key(state)).or_insert(depth + 1);
        }
        next
    };
    let path = bfs(start, successors, |world| violation(world).is_some());
    Explored {
        states: depths.len(),
        depth,
        path,
    }
}

/// Returns the steps of a path and the violation at its end, as text.
fn trace(path: &[World]) -> String {
    let step = |pair: &[World]| {
        let taken = pair[0]
            .steps()
            .into_iter()
            .find(|step| pair[0].after(*step) == pair[1]);
        format!("{} {taken:?}", pair[0].now)
    };
    let steps: Vec<String> = path.windows(2).map(step).collect();
    let last = path.last().and_then(violation);
    format!("{}\n{last:?}", steps.join("\n"))
}

/// Explores all states within a budget of faults and fails on the first violation.
fn assert_no_violation(faults: &str, budget: Budget) {
    let explored = explore(&World::new(BrokenRule::Nothing, budget));
    println!(
        "{faults}: {} states, depth {}",
        explored.states, explored.depth
    );
    if let Some(path) = explored.path {
        panic!("{faults}:\n{}", trace(&path));
    }
}

#[test]
fn invariants_hold_through_races_lost_answers_outages_and_crashes() {
    let budgets = [
        (
            "a race",
            Budget {
                changes: 2,
                ticks: 2,
                ..QUIET
            },
        ),
        (
            "lost answers",
            Budget {
                ticks: 3,
                lost_answers: 1,
                losses: 1,
                ..QUIET
            },
        ),
        (
            "a store outage",
            Budget {
                ticks: 4,
                outages: 1,
                ..QUIET
            },
        ),
        (
            "a crash",
            Budget {
                ticks: 3,
                crashes: 1,
                ..QUIET
            },
        ),
    ];
    for (faults, budget) in budgets {
        assert_no_violation(faults, budget);
    }
}

#[test]
fn invariants_hold_through_a_partition() {
    assert_no_violation(
        "a partition",
        Budget {
            ticks: 5,
            partitions: 1,
            ..QUIET
        },
    );
}

#[test]
fn invariants_hold_through_slow_reads_in_a_partition() {
    assert_no_violation(
        "slow reads in a partition",
        Budget {
            ticks: 2,
            slow_reads: 1,
            partitions: 1,
            ..QUIET
        },
    );
}

#[test]
fn invariants_hold_through_a_pause() {
    assert_no_violation(
        "a pause",
        Budget {
            ticks: 4,
            pauses: 1,
            ..QUIET
        },
    );
}

#[test]
fn invariants_hold_through_a_crash_in_a_partition() {
    assert_no_violation(
        "a crash in a partition",
        Budget {
            ticks: 2,
            crashes: 1,
            partitions: 1,
            ..QUIET
        },
    );
}

#[test]
fn each_broken_rule_is_caught() {
    let cases = [
        (
            BrokenRule::PassOverTwo,
            Budget {
                ticks: 5,
                partitions: 1,
                ..QUIET
            },
        ),
        (
            BrokenRule::CommitUnstaged,
            Budget {
                ticks: 3,
                partitions: 1,
                ..QUIET
            },
        ),
        (
            BrokenRule::NeverInDoubt,
            Budget {
                ticks: 4,
                partitions: 1,
                ..QUIET
            },
        ),
        (
            BrokenRule::CurrentReadFirst,
            Budget {
                ticks: 2,
                slow_reads: 1,
                partitions: 1,
                ..QUIET
            },
        ),
    ];
    for (broken_rule, budget) in cases {
        let explored = explore(&World::new(broken_rule, budget));
        println!(
            "{broken_rule:?}: {} states, depth {}",
            explored.states, explored.depth
        );
        let path = explored
            .path
            .unwrap_or_else(|| panic!("{broken_rule:?} was not caught"));
        println!("{}", trace(&path));
    }
}

/// Returns the number of explored states and the path to the nearest state that does not settle
/// after all faults have ended.
fn find_unrecoverable(start: &World) -> (usize, Option<Vec<World>>) {
    let mut states = 0;
    let successors = |world: &World| -> Vec<World> {
        states += 1;
        let steps = world.steps();
        steps.into_iter().map(|step| world.after(step)).collect()
    };
    let path = bfs(start, successors, |world| {
        !world.after_recovery(TICKS_TO_SETTLE).is_settled()
    });
    (states, path)
}

#[test]
fn every_state_can_settle() {
    let budgets = [
        (
            "a race",
            Budget {
                changes: 2,
                ticks: 1,
                ..QUIET
            },
        ),
        (
            "lost answers",
            Budget {
                ticks: 3,
                lost_answers: 1,
                losses: 1,
                ..QUIET
            },
        ),
        (
            "a partition",
            Budget {
                ticks: 2,
                partitions: 1,
                ..QUIET
            },
        ),
        (
            "a store outage",
            Budget {
                ticks: 3,
                outages: 1,
                ..QUIET
            },
        ),
        (
            "a crash",
            Budget {
                ticks: 2,
                crashes: 1,
                ..QUIET
            },
        ),
    ];
    for (faults, budget) in budgets {
        let (states, path) = find_unrecoverable(&World::new(BrokenRule::Nothing, budget));
        println!("{faults}: {states} states");
        if let Some(path) = path {
            panic!("{faults}:\n{}", trace(&path));
        }
    }
}

#[test]
fn a_staged_document_that_nobody_clears_is_caught() {
    let budget = Budget {
        ticks: 1,
        crashes: 1,
        ..QUIET
    };
    let (states, path) = find_unrecoverable(&World::new(BrokenRule::NeverCleared, budget));
    println!("{states} states");
    let path = path.expect("the change that waits for the staged document never ends");
    println!("{}", trace(&path));
}

#[test]
fn a_change_passes_over_a_daemon_that_crashed_just_before_it() {
    let budget = Budget {
        ticks: 1,
        crashes: 1,
        ..QUIET
    };
    let mut world = World::new(BrokenRule::Nothing, budget);
    for step in [Step::Tick, Step::Crash(2), Step::Begin(0)] {
        world = world.after(step);
    }
    let end = world.run_until_settled(TICKS_TO_SETTLE);
    let passed_over = match &end.changes[0].outcome {
        Some(Outcome::Accepted { passed_over, .. }) => passed_over.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(passed_over, [name(2)].into());
}
