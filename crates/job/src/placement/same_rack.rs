//! Placement of gangs that are slower in more than one rack.

use std::sync::Arc;

use model::Map;
use model::Mono;

use super::place_wait::could_ever_take;
use super::room::RoomIndex;
use crate::fleet::ExecutorKey;
use crate::locality::Decision;
use crate::locality::Place;
use crate::locality::units;
use crate::plan::Queue;
use crate::ranking::Rank;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

impl Scheduler {
    /// Returns whether it matters in how many racks the tasks of a gang are.
    pub(super) fn prefers_one_rack(&self, step: &StepSpec) -> bool {
        self.timing.remote_slowdown > 1.0 && step.gang && step.same_rack && step.count > 1
    }

    /// Returns executors of one rack for all members of a gang, or `None` if no rack has room for all.
    /// The rack of its data goes first, then the one with the most room.
    pub(super) fn placements_in_one_rack(
        &mut self,
        ready: ReadyStep,
        keys: &[TaskKey],
        step: &StepSpec,
        room: &RoomIndex,
        now: Mono,
    ) -> Option<Vec<(TaskKey, ExecutorKey)>> {
        let free = self.free_units_by_rack(*keys.first()?, step, room, now);
        let mut racks: Vec<(Arc<str>, u32)> = free
            .into_iter()
            .filter(|(_, units)| *units >= step.count)
            .collect();
        racks.sort_by_key(|(rack, units)| {
            let is_near = step.data_rack.as_ref() == Some(rack);
            (!is_near, std::cmp::Reverse(*units), rack.clone())
        });
        racks.iter().find_map(|(rack, _)| {
            self.placements_of_gang((ready, keys), step, room, Some(rack), now)
        })
    }

    /// Returns for how many members of a gang each rack has room.
    fn free_units_by_rack(
        &self,
        key: TaskKey,
        step: &StepSpec,
        room: &RoomIndex,
        now: Mono,
    ) -> Map<Arc<str>, u32> {
        let mut free: Map<Arc<str>, u32> = Map::default();
        for (executor, _) in self.candidates_with_room(key, step, room, now) {
            if let Some(executor) = self.fleet.get(executor)
                && let Some(rack) = &executor.rack
            {
                let units = units(&executor.free(), &step.allocated_size());
                let units = step.within_max_per_executor(units);
                *free.entry(rack.clone()).or_default() += units;
            }
        }
        free
    }

    /// Returns whether a gang that fits into several racks only waits for room in one.
    pub(super) fn waits_for_one_rack(
        &mut self,
        (ready, keys): (ReadyStep, &[TaskKey]),
        step: &StepSpec,
        rank: &Rank,
        room: &RoomIndex,
        now: Mono,
    ) -> bool {
        let Some(queue) = self.queue_of(ready) else {
            return false;
        };
        if !self.may_wait_for_place(&queue, step, rank) {
            return false;
        }
        let is_new = |key: &TaskKey| {
            let checkpoint = self.task(*key).and_then(|task| task.checkpoint.as_ref());
            checkpoint.is_none() && self.is_interchangeable(*key)
        };
        let (Some(first), true) = (keys.first(), keys.iter().all(is_new)) else {
            return false;
        };
        let best = self.best_rack(*first, step, &queue, rank, room, now);
        let decision = best.map(|(rack, place)| ((self.locality.rule)(&place), rack));
        if let Some((Decision::Wait(at_most), rack)) = decision {
            for key in keys {
                self.locality.wait(*key, &rack, at_most, now);
            }
            return true;
        }
        for key in keys {
            self.locality.end_wait(*key);
        }
        false
    }

    /// Returns the queue of a step.
    fn queue_of(&self, ready: ReadyStep) -> Option<Queue> {
        let job = self.job(ready.job)?;
        self.plan.queue(&job.queue).cloned()
    }

    /// Returns the rack that is expected to have room for a whole gang first, with what is known of
    /// the wait for it, or `None` if the gang must not wait.
    fn best_rack(
        &mut self,
        key: TaskKey,
        step: &StepSpec,
        queue: &Queue,
        rank: &Rank,
        room: &RoomIndex,
        now: Mono,
    ) -> Option<(Arc<str>, Place)> {
        let waited = self.locality.waited(key, now)?;
        let size = step.allocated_size();
        let mut possible: Map<Arc<str>, u32> = Map::default();
        for (_, executor) in self.fleet.iter() {
            if let Some(rack) = &executor.rack
                && could_ever_take(executor, &queue.service, step, now)
            {
                let units = units(&executor.listing.capacity, &size);
                let units = step.within_max_per_executor(units);
                *possible.entry(rack.clone()).or_default() += units;
            }
        }
        possible.retain(|_, units| *units >= step.count);
        let free = self.free_units_by_rack(key, step, room, now);
        let timing = self.place_timing(&queue.name, step, rank);
        let mut best: Option<(Arc<str>, Place)> = None;
        for rack in possible.into_keys() {
            if !self.locality.keep_observing(&queue.service, &rack, now) {
                self.locality.observe(&queue.service, &rack, now);
            }
            let free = free.get(&rack).copied().unwrap_or(0);
            let place = Place {
                task: key,
                run: timing.run,
                gain: timing.gain,
                needed: step.count.saturating_sub(free).max(1),
                openings: self.locality.openings(&queue.service, &rack, &size, now),
                slack: timing.slack,
                waited,
            };
            let wait = |place: &Place| place.openings.expected_wait(place.needed);
            let is_better = best.as_ref().is_none_or(|(name, best)| {
                let (earlier, later) = (wait(&place), wait(best));
                match (earlier, later) {
                    (Some(one), Some(other)) => (one, &rack) < (other, name),
                    (one, other) => one.is_some() && other.is_none(),
                }
            });
            if is_better {
                best = Some((rack, place));
            }
        }
        best
    }
}
