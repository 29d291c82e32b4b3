//! Keeps executors for tasks that last and find no room.
//!
//! The load pattern that this answers: short work comes without end, and each bit of room that it
//! leaves is taken by the next of it, so that a larger task that lasts waits for as long as the load
//! does, though many times its room becomes free every second. An executor is kept for it: nothing
//! else begins there until the task does.

use std::time::Duration;

use model::Mono;
use model::Size;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;
use crate::task::Phase;

/// How long a task waits before an executor is kept for it; until then room mostly comes by itself.
const RESERVE_AFTER: Duration = Duration::from_millis(1_000);
/// How long an executor is kept; after that another one may do better.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// How many executors of a hundred may be kept at the same time, and at least one.
const MAX_RESERVED_PERCENT: usize = 1;

/// For whom an executor is kept, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The task.
    pub task: TaskKey,
    /// Until when.
    pub until: Mono,
}

impl Scheduler {
    /// Gives up executors that are kept in vain.
    pub(crate) fn release_stale_reservations(&mut self, now: Mono) {
        let stale: Vec<ExecutorKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| {
                executor.reservation.is_some_and(|reservation| {
                    let waits = self
                        .task(reservation.task)
                        .is_some_and(|task| task.phase == Phase::Waiting);
                    let open = self
                        .job(reservation.task.job)
                        .is_some_and(|job| !job.state.is_final());
                    now >= reservation.until || !waits || !open || !executor.accepts_tasks(now)
                })
            })
            .map(|(key, _)| key)
            .collect();
        for key in stale {
            if let Some(executor) = self.fleet.get_mut(key) {
                executor.reservation = None;
            }
        }
    }

    /// Keeps an executor for a task that lasts and has waited for long without finding room.
    pub(crate) fn reserve_executor_for(&mut self, key: TaskKey, step: &StepSpec, now: Mono) {
        if !step.long_running || step.gang || now.since(self.waiting_since(key)) < RESERVE_AFTER {
            return;
        }
        let executors = self.fleet.iter().count();
        let reserved: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter_map(|(_, executor)| Some(executor.reservation?.task))
            .collect();
        let limit = (executors * MAX_RESERVED_PERCENT / 100).max(1);
        if reserved.contains(&key) || reserved.len() >= limit {
            return;
        }
        let nearest = self
            .fleet
            .iter()
            .filter(|(at, executor)| self.is_reservable(key, step, *at, executor, now))
            .min_by_key(|(_, executor)| shortage(&step.allocated_size(), executor))
            .map(|(at, _)| at);
        if let Some(executor) = nearest.and_then(|at| self.fleet.get_mut(at)) {
            executor.reservation = Some(Reservation {
                task: key,
                until: now.after(RESERVATION_TIMEOUT),
            });
        }
    }

    fn waiting_since(&self, key: TaskKey) -> Mono {
        let arrived = self.job(key.job).map_or(Mono::ZERO, |job| job.arrived);
        let rested = self.task(key).map_or(Mono::ZERO, |task| task.not_before);
        arrived.max(rested)
    }

    /// Returns whether a task would have room on an executor once the short work there has ended.
    fn is_reservable(
        &self,
        key: TaskKey,
        step: &StepSpec,
        at: ExecutorKey,
        executor: &Executor,
        now: Mono,
    ) -> bool {
        let job = self.job(key.job);
        let queue = job.and_then(|job| self.plan.queue(&job.queue));
        let Some((job, queue)) = job.zip(queue) else {
            return false;
        };
        executor.reservation.is_none()
            && executor.accepts_tasks(now)
            && executor.listing.service == queue.service
            && self.meets_constraints(at, executor, job, key, step)
            && (self.long_running_size_on(executor) + step.allocated_size())
                .fits(&executor.listing.capacity)
    }

    /// Returns what tasks that last have reserved on an executor.
    fn long_running_size_on(&self, executor: &Executor) -> Size {
        let steps = executor.tasks.iter().filter_map(|task| self.step(*task));
        steps
            .filter(|step| step.long_running)
            .fold(Size::ZERO, |sum, step| sum + step.allocated_size())
    }
}

/// Returns how much an executor lacks for a task, in thousandths of what the task needs.
fn shortage(needed: &Size, executor: &Executor) -> u64 {
    let lacks = needed.saturating_sub(&executor.free());
    let part = |lacks: u64, needed: u64| (lacks * 1_000).checked_div(needed).unwrap_or(0);
    part(lacks.cpu_millis, needed.cpu_millis)
        .max(part(lacks.memory_mib, needed.memory_mib))
        .max(part(lacks.accelerators, needed.accelerators))
}
