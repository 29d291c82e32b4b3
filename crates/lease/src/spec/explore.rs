//! Breadth-first exploration of the state space.

use std::cell::RefCell;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use model::Map;
use pathfinding::directed::bfs::bfs;

use super::budget::BrokenRule;
use super::budget::Budget;
use super::enabled::enabled;
use super::state::ModelState;
use super::step::Step;
use super::step::apply;
use super::step::recovery_step;

/// The maximum number of steps in which a simulated recovery has to reach a final state.
const MAX_RECOVERY_STEPS: usize = 200;

/// The maximum number of states of one exploration.
const MAX_STATES: usize = 400_000;

/// An explored state.
struct Node {
    /// The state itself. It is dropped once its successors are known, unless it has none.
    state: Option<Box<ModelState>>,
    depth: u32,
    violation: Option<String>,
    /// Whether a final state is reachable.
    can_complete: bool,
    successors: Vec<u32>,
    /// The state and the step from which this state was first reached.
    reached_by: Option<(u32, Step)>,
}

/// The explored states, identified by a 64-bit fingerprint. With a million states, the probability
/// of any collision is below one in ten million.
#[derive(Default)]
struct Arena {
    ids: Map<u64, u32>,
    nodes: Vec<Node>,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// The number of states found.
    pub states: usize,
    /// The maximum number of steps from the initial state to any state.
    pub depth: u32,
    /// The number of final states, in which every task has ended and nothing runs.
    pub complete_states: usize,
    /// The violated invariant and the shortest path to it.
    pub violation: Option<(String, Vec<Step>)>,
    /// The number of states from which no final state is reachable.
    pub stuck: usize,
    /// The shortest path to one of the stuck states.
    pub path_to_stuck: Option<Vec<Step>>,
    /// The number of states without successors whose recovery was simulated.
    pub simulated: usize,
}

fn fingerprint(state: &ModelState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

impl Arena {
    fn intern(&mut self, state: ModelState, depth: u32, step: Option<(u32, Step)>) -> u32 {
        let next = u32::try_from(self.nodes.len()).expect("fewer than 2^32 states");
        let id = *self.ids.entry(fingerprint(&state)).or_insert(next);
        if id == next {
            assert!(self.nodes.len() < MAX_STATES, "the scenario is too large");
            self.nodes.push(Node {
                depth,
                violation: state.violation().map(str::to_owned),
                can_complete: state.is_complete(),
                state: Some(Box::new(state)),
                successors: Vec::new(),
                reached_by: step,
            });
        }
        id
    }

    /// Returns the successors of a state. A state without any other successor is kept if it is not
    /// final, so that its recovery can be simulated.
    fn expand(&mut self, id: u32, broken: BrokenRule) -> Vec<u32> {
        let node = &mut self.nodes[id as usize];
        let depth = node.depth + 1;
        let state = node.state.take().expect("a state is expanded once");
        let steps = enabled(&state);
        let successors: Vec<u32> = steps
            .into_iter()
            .map(|step| self.intern(apply(&state, &step, broken), depth, Some((id, step))))
            .collect();
        self.nodes[id as usize].successors.clone_from(&successors);
        let is_terminal = successors.iter().all(|next| *next == id);
        if is_terminal && !self.nodes[id as usize].can_complete {
            self.nodes[id as usize].state = Some(state);
        }
        successors
    }

    /// Marks every state from which a final state is reachable, going backwards from the states
    /// already marked.
    fn mark_backwards(&mut self) {
        let mut predecessors: Vec<Vec<u32>> = vec![Vec::new(); self.nodes.len()];
        for (id, node) in self.nodes.iter().enumerate() {
            for next in &node.successors {
                predecessors[*next as usize].push(u32::try_from(id).expect("interned above"));
            }
        }
        let all = 0..u32::try_from(self.nodes.len()).expect("interned above");
        let mut open: Vec<u32> = all
            .filter(|id| self.nodes[*id as usize].can_complete)
            .collect();
        while let Some(id) = open.pop() {
            for before in std::mem::take(&mut predecessors[id as usize]) {
                if !std::mem::replace(&mut self.nodes[before as usize].can_complete, true) {
                    open.push(before);
                }
            }
        }
    }
}

/// Returns whether a state reaches a final state within [`MAX_RECOVERY_STEPS`] if no further
/// disturbances occur.
fn recovers(state: &ModelState) -> bool {
    let mut state = state.clone();
    for _ in 0..MAX_RECOVERY_STEPS {
        if state.violation().is_some() {
            return false;
        }
        if state.is_complete() {
            return true;
        }
        state = recovery_step(&state);
    }
    false
}

/// Explores all states that can follow the given steps, breadth first, up to the first violation.
///
/// # Panics
///
/// Panics if there are more than 400,000 states: a scenario that has grown too large should fail at
/// once instead of running for hours.
#[must_use]
pub fn explore(steps: &[Step], budget: Budget, broken: BrokenRule) -> Report {
    let start = ModelState::new(budget, broken).after(steps, broken);
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
        Some((rule, path_to(&arena, last)))
    });
    let complete_states = arena.nodes.iter().filter(|node| node.can_complete).count();
    let mut simulated = 0;
    if violation.is_none() {
        for node in &mut arena.nodes {
            let Some(state) = node.state.take() else {
                continue;
            };
            simulated += 1;
            node.can_complete |= recovers(&state);
        }
        arena.mark_backwards();
    }
    let mut ids = 0..u32::try_from(arena.nodes.len()).expect("interned above");
    let stuck = ids.find(|id| !arena.nodes[*id as usize].can_complete);
    Report {
        path_to_stuck: stuck.map(|id| path_to(&arena, id)),
        states: arena.nodes.len(),
        depth: arena.nodes.iter().map(|node| node.depth).max().unwrap_or(0),
        complete_states,
        stuck: arena.nodes.iter().filter(|node| !node.can_complete).count(),
        violation,
        simulated,
    }
}

/// Returns the steps by which a state was first reached.
fn path_to(arena: &Arena, id: u32) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = id;
    while let Some((before, step)) = &arena.nodes[at as usize].reached_by {
        steps.push(step.clone());
        at = *before;
    }
    steps.reverse();
    steps
}
