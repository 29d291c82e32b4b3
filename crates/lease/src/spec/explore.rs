//! The breadth-first search.

use std::cell::RefCell;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use model::Map;
use pathfinding::directed::bfs::bfs;

use super::budget::Broken;
use super::budget::Budget;
use super::step::Step;
use super::step::enabled;
use super::step::recover;
use super::step::take;
use super::world::World;

/// The most steps within which everything has to come to a good end once nothing disturbs it.
const MAX_RECOVERY_STEPS: usize = 200;

/// The most states that one exploration may have.
const MAX_STATES: usize = 400_000;

/// What was found of one state. Its content is dropped once its successors are known.
struct Node {
    world: Option<Box<World>>,
    depth: u32,
    violation: Option<String>,
    good: bool,
    successors: Vec<u32>,
    reached_by: Option<(u32, Step)>,
}

/// The explored states. They are told apart by a 64-bit fingerprint: with a million states the
/// chance that any two share one is below one in ten million.
#[derive(Default)]
struct Arena {
    ids: Map<u64, u32>,
    nodes: Vec<Node>,
}

/// What an exploration has found.
#[derive(Clone, Debug)]
pub struct Report {
    /// How many states there are.
    pub states: usize,
    /// The most steps from the start to a state.
    pub depth: u32,
    /// States in which every task has ended and nothing runs.
    pub good_ends: usize,
    /// The violated rule and the shortest way to it.
    pub violation: Option<(String, Vec<Step>)>,
    /// States from which no good end was found.
    pub stuck: usize,
    /// The shortest way to one of them.
    pub stuck_after: Option<Vec<Step>>,
    /// How many states were shown to recover by being run on.
    pub run_on: usize,
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

impl Arena {
    fn intern(&mut self, world: World, depth: u32, step: Option<(u32, Step)>) -> u32 {
        let next = u32::try_from(self.nodes.len()).expect("fewer than 2^32 states");
        let id = *self.ids.entry(fingerprint(&world)).or_insert(next);
        if id == next {
            assert!(self.nodes.len() < MAX_STATES, "the scenario is too large");
            self.nodes.push(Node {
                depth,
                violation: world.violation().map(str::to_owned),
                good: world.is_good_end(),
                world: Some(Box::new(world)),
                successors: Vec::new(),
                reached_by: step,
            });
        }
        id
    }

    /// The states that follow a state, and whether it may come to a good end only by running on.
    fn expand(&mut self, id: u32, broken: Broken) -> Vec<u32> {
        let node = &mut self.nodes[id as usize];
        let depth = node.depth + 1;
        let world = node.world.take().expect("a state is expanded once");
        let steps = enabled(&world);
        let successors: Vec<u32> = steps
            .into_iter()
            .map(|step| self.intern(take(&world, &step, broken), depth, Some((id, step))))
            .collect();
        self.nodes[id as usize].successors.clone_from(&successors);
        let last = successors.iter().all(|next| *next == id);
        if last && !self.nodes[id as usize].good {
            self.nodes[id as usize].world = Some(world);
        }
        successors
    }

    /// Marks every state from which a good end is reachable, backwards from the good ends.
    fn mark_backwards(&mut self) {
        let mut predecessors: Vec<Vec<u32>> = vec![Vec::new(); self.nodes.len()];
        for (id, node) in self.nodes.iter().enumerate() {
            for next in &node.successors {
                predecessors[*next as usize].push(u32::try_from(id).expect("interned above"));
            }
        }
        let all = 0..u32::try_from(self.nodes.len()).expect("interned above");
        let mut open: Vec<u32> = all.filter(|id| self.nodes[*id as usize].good).collect();
        while let Some(id) = open.pop() {
            for before in std::mem::take(&mut predecessors[id as usize]) {
                if !std::mem::replace(&mut self.nodes[before as usize].good, true) {
                    open.push(before);
                }
            }
        }
    }
}

fn recovers(world: &World) -> bool {
    let mut world = world.clone();
    for _ in 0..MAX_RECOVERY_STEPS {
        if world.violation().is_some() {
            return false;
        }
        if world.is_good_end() {
            return true;
        }
        world = recover(&world);
    }
    false
}

/// Explores everything that can follow the given steps, breadth first, up to the first violation.
///
/// # Panics
///
/// Panics if there are more than 400,000 states: a scenario that has grown too large should fail at
/// once instead of running for hours.
#[must_use]
pub fn explore(steps: &[Step], budget: Budget, broken: Broken) -> Report {
    let start = World::new(budget, broken).after(steps, broken);
    let arena = RefCell::new(Arena::default());
    let first = arena.borrow_mut().intern(start, 0, None);
    let path = bfs(
        &first,
        |id| arena.borrow_mut().expand(*id, broken),
        |id| arena.borrow().nodes[*id as usize].violation.is_some(),
    );
    let mut arena = arena.into_inner();
    let violation = path.and_then(|path| {
        let last = *path.last()?;
        let rule = arena.nodes[last as usize].violation.clone()?;
        Some((rule, way_to(&arena, last)))
    });
    let good_ends = arena.nodes.iter().filter(|node| node.good).count();
    let mut run_on = 0;
    if violation.is_none() {
        for node in &mut arena.nodes {
            let Some(world) = node.world.take() else {
                continue;
            };
            run_on += 1;
            node.good |= recovers(&world);
        }
        arena.mark_backwards();
    }
    let mut ids = 0..u32::try_from(arena.nodes.len()).expect("interned above");
    let stuck = ids.find(|id| !arena.nodes[*id as usize].good);
    Report {
        stuck_after: stuck.map(|id| way_to(&arena, id)),
        states: arena.nodes.len(),
        depth: arena.nodes.iter().map(|node| node.depth).max().unwrap_or(0),
        good_ends,
        stuck: arena.nodes.iter().filter(|node| !node.good).count(),
        violation,
        run_on,
    }
}

/// The steps by which a state was first reached.
fn way_to(arena: &Arena, id: u32) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = id;
    while let Some((before, step)) = &arena.nodes[at as usize].reached_by {
        steps.push(step.clone());
        at = *before;
    }
    steps.reverse();
    steps
}
