//! Placement of gangs, whose tasks start together or not at all.

use model::Mono;

use super::room::RoomIndex;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

impl Scheduler {
    pub(super) fn place_gang(
        &mut self,
        ready: ReadyStep,
        step: &StepSpec,
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
        let mut placements = Vec::new();
        for key in &keys {
            let Some(executor) = self.best_executor(*key, step, room, now) else {
                self.request_advice(ready, *key, now);
                break;
            };
            self.allocate(*key, executor);
            placements.push((*key, executor));
        }
        for (key, executor) in &placements {
            self.deallocate(*key, *executor);
        }
        if placements.len() < keys.len() {
            return 0;
        }
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
}
