//! Exhaustive exploration of the small world for what must always hold.

use std::hash::BuildHasher;

use conf::accept::change::Outcome;
use conf::accept::follower::Serve;
use foldhash::fast::FixedState;
use model::Map;
use pathfinding::directed::bfs::bfs;

use super::world::BOUNDS;
use super::world::Broken;
use super::world::Budget;
use super::world::DAEMONS;
use super::world::Step;
use super::world::World;
use super::world::name;

const QUIET: Budget = Budget {
    changes: 1,
    ticks: 5,
    losses: 0,
    cuts: 0,
    outages: 0,
    crashes: 0,
    lost_answers: 0,
    pauses: 0,
    slow_reads: 0,
};

/// How long everything may take to come to its end once all faults are over: an abandoned staged
/// document is cleared after `stage_hold`, and a change that waits for it goes on after that.
const TICKS_TO_HEAL: u8 = 16;

/// Returns what is wrong with a state, if anything is.
fn violation(world: &World) -> Option<&'static str> {
    if world.fault.is_some() {
        return world.fault;
    }
    let accepted = |index: usize| {
        let op = format!("op-{index}").into();
        world.current.accepted_as(&op).is_some()
    };
    for (index, change) in world.changes.iter().enumerate() {
        match change.outcome {
            None | Some(Outcome::Unknown) => {}
            Some(Outcome::Accepted { .. }) if accepted(index) => {}
            Some(Outcome::Accepted { .. }) => return Some("told accepted, and it was not"),
            Some(_) if accepted(index) => return Some("told not accepted, and it was"),
            Some(_) => {}
        }
    }
    (0..DAEMONS).find_map(|index| stale(world, index))
}

/// Returns what is wrong with a daemon that serves by an older document than the one in force.
fn stale(world: &World, index: usize) -> Option<&'static str> {
    let follower = world.daemons[index].follower.as_ref()?;
    let behind = world.current.version.0 - follower.version().0;
    let overdue = world.now.since(world.committed_at) > BOUNDS.in_doubt;
    match (follower.serve(world.now), behind) {
        (Serve::Nothing, _) | (_, 0) => None,
        (Serve::InForce, _) if overdue => Some("served by an old document past the bound"),
        (_, 1) => None,
        _ => Some("served two documents behind"),
    }
}

struct Explored {
    states: usize,
    depth: usize,
    path: Option<Vec<World>>,
}

/// Explores all that can be reached from `start`, up to the first violation.
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

/// Explores a world to its end and fails on the first violation.
fn assert_holds(faults: &str, budget: Budget) {
    let explored = explore(&World::new(Broken::Nothing, budget));
    println!(
        "{faults}: {} states, depth {}",
        explored.states, explored.depth
    );
    if let Some(path) = explored.path {
        panic!("{faults}:\n{}", trace(&path));
    }
}

#[test]
fn promises_hold_through_races_lost_answers_outages_and_crashes() {
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
        assert_holds(faults, budget);
    }
}

#[test]
fn promises_hold_through_a_cut() {
    assert_holds(
        "a cut",
        Budget {
            ticks: 5,
            cuts: 1,
            ..QUIET
        },
    );
}

#[test]
fn promises_hold_through_slow_reads_in_a_cut() {
    assert_holds(
        "slow reads in a cut",
        Budget {
            ticks: 2,
            slow_reads: 1,
            cuts: 1,
            ..QUIET
        },
    );
}

#[test]
fn promises_hold_through_a_pause() {
    assert_holds(
        "a pause",
        Budget {
            ticks: 4,
            pauses: 1,
            ..QUIET
        },
    );
}

#[test]
fn promises_hold_through_a_crash_in_a_cut() {
    assert_holds(
        "a crash in a cut",
        Budget {
            ticks: 2,
            crashes: 1,
            cuts: 1,
            ..QUIET
        },
    );
}

#[test]
fn each_broken_rule_is_caught() {
    let cases = [
        (
            Broken::PassOverTwo,
            Budget {
                ticks: 5,
                cuts: 1,
                ..QUIET
            },
        ),
        (
            Broken::CommitUnstaged,
            Budget {
                ticks: 3,
                cuts: 1,
                ..QUIET
            },
        ),
        (
            Broken::NeverInDoubt,
            Budget {
                ticks: 4,
                cuts: 1,
                ..QUIET
            },
        ),
        (
            Broken::CurrentReadFirst,
            Budget {
                ticks: 2,
                slow_reads: 1,
                cuts: 1,
                ..QUIET
            },
        ),
    ];
    for (broken, budget) in cases {
        let explored = explore(&World::new(broken, budget));
        println!(
            "{broken:?}: {} states, depth {}",
            explored.states, explored.depth
        );
        let path = explored
            .path
            .unwrap_or_else(|| panic!("{broken:?} was not caught"));
        println!("{}", trace(&path));
    }
}

/// Returns the way to the nearest state from which all faults' end leads to no good end.
fn stuck(start: &World) -> (usize, Option<Vec<World>>) {
    let mut states = 0;
    let successors = |world: &World| -> Vec<World> {
        states += 1;
        let steps = world.steps();
        steps.into_iter().map(|step| world.after(step)).collect()
    };
    let path = bfs(start, successors, |world| {
        !world.healed(TICKS_TO_HEAL).good()
    });
    (states, path)
}

#[test]
fn every_state_can_come_to_a_good_end() {
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
            "a cut",
            Budget {
                ticks: 2,
                cuts: 1,
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
        let (states, path) = stuck(&World::new(Broken::Nothing, budget));
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
    let (states, path) = stuck(&World::new(Broken::NeverCleared, budget));
    println!("{states} states");
    let path = path.expect("the change that waits for it never ends");
    println!("{}", trace(&path));
}

#[test]
fn a_change_passes_over_a_daemon_that_died_just_before_it() {
    let budget = Budget {
        ticks: 1,
        crashes: 1,
        ..QUIET
    };
    let mut world = World::new(Broken::Nothing, budget);
    for step in [Step::Tick, Step::Crash(2), Step::Begin(0)] {
        world = world.after(step);
    }
    let end = world.settled(TICKS_TO_HEAL);
    let passed_over = match &end.changes[0].outcome {
        Some(Outcome::Accepted { passed_over, .. }) => passed_over.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(passed_over, [name(2)].into());
}
