//! Placement of gangs, whose tasks start together or not at all.

use model::Mono;

use super::room::RoomIndex;
use crate::fleet::ExecutorKey;
use crate::ranking::Rank;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

impl Scheduler {
    pub(super) fn place_gang(
        &mut self,
        ready: ReadyStep,
        step: &StepSpec,
        rank: &Rank,
        room: &RoomIndex,
        now: Mono,
    ) -> usize {
        let keys: Vec<TaskKey> = (ready.first_slot..ready.first_slot + step.count)
            .map(|slot| TaskKey {
                job: ready.job,
                slot,
            })
            .collect();
        if keys.iter().any(|key| !self.may_start(*key, now)) {
            return 0;
        }
        if let Some(first) = keys.first() {
            self.begin_wait(*first, step, now);
        }
        let Some(placements) = self.choose_gang_placements((ready, &keys), step, rank, room, now)
        else {
            return 0;
        };
        let relaxed: Vec<bool> = placements
            .iter()
            .map(|(_, executor)| self.needs_relaxation(*executor, step))
            .collect();
        self.assign_gang(&placements, now);
        for ((key, _), relaxed) in placements.iter().zip(relaxed) {
            self.record_relaxation(*key, step, relaxed, now);
        }
        placements.len()
    }

    /// Returns the executors for all members of a gang, or `None` if it does not start now.
    fn choose_gang_placements(
        &mut self,
        (ready, keys): (ReadyStep, &[TaskKey]),
        step: &StepSpec,
        rank: &Rank,
        room: &RoomIndex,
        now: Mono,
    ) -> Option<Vec<(TaskKey, ExecutorKey)>> {
        let prefers_one_rack = self.prefers_one_rack(step);
        if prefers_one_rack
            && let Some(placements) = self.placements_in_one_rack(ready, keys, step, room, now)
        {
            return Some(placements);
        }
        let placements = self.placements_of_gang((ready, keys), step, room, None, now)?;
        if prefers_one_rack && self.waits_for_one_rack((ready, keys), step, rank, room, now) {
            return None;
        }
        Some(placements)
    }

    /// Returns executors for all members of a gang, in one rack if it is given, or `None` if not all
    /// find one.
    pub(super) fn placements_of_gang(
        &mut self,
        (ready, keys): (ReadyStep, &[TaskKey]),
        step: &StepSpec,
        room: &RoomIndex,
        rack: Option<&str>,
        now: Mono,
    ) -> Option<Vec<(TaskKey, ExecutorKey)>> {
        let mut placements = Vec::new();
        for key in keys {
            let Some(executor) = self.best_executor(*key, step, room, rack, now) else {
                if rack.is_none() {
                    self.request_advice(ready, *key, now);
                }
                break;
            };
            self.allocate(*key, executor);
            placements.push((*key, executor));
        }
        for (key, executor) in &placements {
            self.deallocate(*key, *executor);
        }
        (placements.len() == keys.len()).then_some(placements)
    }
}
