//! The queue: lanes of like tasks, so that one that does not fit blocks none of another size.
//!
//! A lane holds the tasks of one team, class, priority and magnitude of declared size, the oldest
//! first. Cancelled tasks leave their keys behind, which is why a burst of cancellations is cheap;
//! a lane is swept once such keys outnumber the others.

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

/// Lanes shorter than this are not swept.
const COMPACT_THRESHOLD: usize = 16;

/// What the tasks of a lane have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LaneId {
    /// Their team.
    pub(crate) team: TeamKey,
    /// Their class.
    pub(crate) class: ClassKey,
    /// Their priority.
    pub(crate) priority: Priority,
    /// The binary magnitudes of their declared size.
    magnitude: (u8, u8, u8),
}

impl LaneId {
    /// Returns the lane of a task.
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

/// One lane.
#[derive(Debug)]
pub(crate) struct Lane {
    /// What its tasks have in common.
    pub(crate) id: LaneId,
    /// Its tasks, and keys of tasks that have left.
    tasks: VecDeque<TaskKey>,
    /// How many tasks it holds.
    pub(crate) len: usize,
    /// The state of the room when its head last found none, and when to look again anyway.
    pub(crate) blocked: Option<(u64, Mono)>,
}

/// All lanes.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// The lanes that hold tasks.
    pub(crate) lanes: SlotMap<LaneKey, Lane>,
    by_id: Map<LaneId, LaneKey>,
    /// The lanes of urgent tasks.
    pub(crate) urgent: Vec<LaneKey>,
    delayed: BinaryHeap<Reverse<(Mono, TaskKey)>>,
    /// How many tasks all lanes hold.
    pub(crate) len: usize,
}

impl Queue {
    /// Adds a task at the end of its lane, or at its head; returns the lane and whether it is new.
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

    /// Notes that a task has left its lane; returns the team of a lane that is gone with it.
    ///
    /// The task's key stays behind until the lane is swept by `is_there`.
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

    /// Returns the oldest task of a lane, dropping the keys of tasks that have left before it.
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

    /// Returns the keys in a lane in order, those of tasks that have left included.
    pub(crate) fn keys(&self, key: LaneKey) -> impl Iterator<Item = TaskKey> + '_ {
        let lane = self.lanes.get(key);
        lane.into_iter().flat_map(|lane| lane.tasks.iter().copied())
    }

    /// Keeps a task out of the queue until `until`.
    pub(crate) fn delay(&mut self, task: TaskKey, until: Mono) {
        self.delayed.push(Reverse((until, task)));
    }

    /// Returns the next task whose delay is over.
    pub(crate) fn pop_delayed(&mut self, now: Mono) -> Option<TaskKey> {
        let Reverse((until, _)) = self.delayed.peek()?;
        if *until > now {
            return None;
        }
        self.delayed.pop().map(|Reverse((_, task))| task)
    }
}
