//! Records changes of free capacity in observed racks, and ends of waits for a place
//! ([`crate::locality`]).

use model::Mono;

use super::Event;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::locality::CapacityChange;
use crate::locality::ChangeKind;
use crate::task::Phase;

impl Scheduler {
    /// Records that a task has been placed on an executor, or has left it. Costs nothing while no rack
    /// is observed.
    pub(super) fn record_capacity_change(
        &mut self,
        key: TaskKey,
        executor: ExecutorKey,
        is_freed: bool,
    ) {
        if self.locality.is_idle() {
            return;
        }
        let now = self.locality.now();
        let Some((step, executor)) = self.step(key).zip(self.fleet.get(executor)) else {
            return;
        };
        if is_freed && !executor.accepts_tasks(now) {
            return;
        }
        let size = step.allocated_size();
        let after = executor.free();
        let before = if is_freed {
            after.saturating_sub(&size)
        } else {
            after + size
        };
        let wants_one_rack = step.gang && step.same_rack;
        let data_rack = step.data_rack.clone();
        let service = executor.listing.service.clone();
        let mut racks = executor.listing.labels.clone();
        racks.extend(executor.rack.clone().filter(|rack| !racks.contains(rack)));
        for rack in racks {
            let kind = if is_freed {
                ChangeKind::Freed
            } else if wants_one_rack || data_rack.as_ref() == Some(&rack) {
                ChangeKind::TakenNear
            } else {
                ChangeKind::TakenByOther
            };
            let change = CapacityChange {
                at: now,
                before,
                after,
                kind,
            };
            self.locality.record(&service, &rack, change);
        }
    }

    /// Ends the wait for a place of a task that starts on an executor.
    pub(super) fn finish_place_wait(&mut self, key: TaskKey, executor: ExecutorKey, now: Mono) {
        let Some(wait) = self.locality.take_wait(key) else {
            return;
        };
        let is_near = self.fleet.get(executor).is_some_and(|executor| {
            executor.has_label(&wait.rack) || executor.rack.as_ref() == Some(&wait.rack)
        });
        let waited = now.since(wait.since);
        self.record_event(Event::PlaceWaitEnded {
            task: key,
            rack: wait.rack,
            is_near,
            waited,
        });
    }

    /// Removes waits of tasks that no longer wait for a start.
    pub(super) fn tidy_place_waits(&mut self, now: Mono) {
        let mut locality = std::mem::take(&mut self.locality);
        locality.tidy(now, |key| {
            let is_open = self.job(key.job).is_some_and(|job| !job.state.is_final());
            let task = self.task(key);
            is_open && task.is_some_and(|task| task.phase == Phase::Waiting)
        });
        self.locality = locality;
    }
}
