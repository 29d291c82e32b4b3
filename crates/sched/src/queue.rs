//! The queue of waiting tasks, divided into lanes of similar tasks, so that a task that does not
//! fit does not block tasks of other sizes.
//!
//! A lane contains the tasks of one team, class, priority and order of magnitude of the declared
//! size, the oldest first. Removed tasks leave their keys behind, which makes a burst of
//! cancellations cheap; a lane is compacted once such keys outnumber the others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use model::Map;
use model::Mono;
use model::Priority;
use model::Size;
use slotmap::SlotMap;

use crate::key::ClassKey;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::TeamKey;

/// A lane is compacted once keys of removed tasks outnumber those of its tasks by more than this.
const COMPACT_THRESHOLD: usize = 16;

/// The properties that the tasks of a lane share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LaneId {
    /// The team of the tasks.
    pub(crate) team: TeamKey,
    /// The class of the tasks.
    pub(crate) class: ClassKey,
    /// The priority of the tasks.
    pub(crate) priority: Priority,
    /// The bit lengths of the declared processors, memory and accelerators.
    magnitude: (u8, u8, u8),
}

impl LaneId {
    /// Returns the lane of a task with these properties.
    pub(crate) const fn new(
        team: TeamKey,
        class: ClassKey,
        priority: Priority,
        declared: &Size,
    ) -> Self {
        let magnitude = (
            bit_length(declared.cpu_millis),
            bit_length(declared.memory_mib),
            bit_length(declared.accelerators),
        );
        Self {
            team,
            class,
            priority,
            magnitude,
        }
    }
}

const fn bit_length(value: u64) -> u8 {
    (u64::BITS - value.leading_zeros()) as u8
}

/// A lane of the queue.
#[derive(Debug)]
pub(crate) struct Lane {
    /// The properties that its tasks share.
    pub(crate) id: LaneId,
    /// The keys of its tasks, and of removed tasks until the lane is compacted.
    tasks: VecDeque<TaskKey>,
    /// The number of its tasks.
    pub(crate) len: usize,
    /// Set when its oldest task could not start: the capacity generation at that time, and the time
    /// of the next attempt if the generation does not change.
    pub(crate) blocked: Option<(u64, Mono)>,
}

/// The waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// The lanes that contain tasks.
    pub(crate) lanes: SlotMap<LaneKey, Lane>,
    by_id: Map<LaneId, LaneKey>,
    /// The lanes of urgent tasks.
    pub(crate) urgent: Vec<LaneKey>,
    delayed: BinaryHeap<Reverse<(Mono, TaskKey)>>,
    /// The number of tasks in all lanes.
    pub(crate) len: usize,
}

impl Queue {
    /// Adds a task at the front or the back of its lane; returns the lane and whether it is new.
    pub(crate) fn push(&mut self, id: LaneId, task: TaskKey, at_front: bool) -> (LaneKey, bool) {
        let known = self.by_id.get(&id).copied();
        let key = known.unwrap_or_else(|| self.add_lane(id));
        let lane = &mut self.lanes[key];
        if at_front {
            lane.tasks.push_front(task);
        } else {
            lane.tasks.push_back(task);
        }
        lane.len += 1;
        lane.blocked = None;
        self.len += 1;
        (key, known.is_none())
    }

    fn add_lane(&mut self, id: LaneId) -> LaneKey {
        let key = self.lanes.insert(Lane {
            id,
            tasks: VecDeque::new(),
            len: 0,
            blocked: None,
        });
        self.by_id.insert(id, key);
        if id.priority == Priority::Urgent {
            self.urgent.push(key);
        }
        key
    }

    /// Removes a task from its lane; returns the team of the lane if the lane is now empty and
    /// removed.
    ///
    /// The key of the task stays in the lane until the lane is compacted; `is_queued` tells which
    /// keys are still valid.
    pub(crate) fn remove(
        &mut self,
        key: LaneKey,
        is_queued: impl Fn(TaskKey) -> bool,
    ) -> Option<TeamKey> {
        let lane = &mut self.lanes[key];
        lane.len -= 1;
        lane.blocked = None;
        self.len -= 1;
        if lane.len == 0 {
            let id = lane.id;
            self.lanes.remove(key);
            self.by_id.remove(&id);
            self.urgent.retain(|urgent| *urgent != key);
            return Some(id.team);
        }
        if lane.tasks.len() > COMPACT_THRESHOLD + 2 * lane.len {
            lane.tasks.retain(|task| is_queued(*task));
        }
        None
    }

    /// Returns the oldest task of a lane, dropping keys of removed tasks before it.
    pub(crate) fn head(
        &mut self,
        key: LaneKey,
        is_queued: impl Fn(TaskKey) -> bool,
    ) -> Option<TaskKey> {
        let lane = self.lanes.get_mut(key)?;
        while let Some(task) = lane.tasks.front().copied() {
            if is_queued(task) {
                return Some(task);
            }
            lane.tasks.pop_front();
        }
        None
    }

    /// Returns the keys in a lane in order, including those of removed tasks.
    pub(crate) fn keys(&self, key: LaneKey) -> impl Iterator<Item = TaskKey> + '_ {
        let lane = self.lanes.get(key);
        lane.into_iter().flat_map(|lane| lane.tasks.iter().copied())
    }

    /// Schedules a task to enter the queue at `until`.
    pub(crate) fn delay(&mut self, task: TaskKey, until: Mono) {
        self.delayed.push(Reverse((until, task)));
    }

    /// Returns the next task whose delay has ended.
    pub(crate) fn pop_delayed(&mut self, now: Mono) -> Option<TaskKey> {
        let Reverse((until, _)) = self.delayed.peek()?;
        if *until > now {
            return None;
        }
        self.delayed.pop().map(|Reverse((_, task))| task)
    }
}
