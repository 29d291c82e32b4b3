//! Reserves executors for tasks that find no free resources.
//!
//! Without reservations, a continuous stream of small short tasks takes each fragment of capacity as
//! soon as it is freed. A larger task then starves for as long as the load lasts, although
//! many times the resources that it needs become free every second. While an executor is reserved
//! for such a task, no other task starts there.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::Size;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::placement::Round;
use crate::ranking::DeadlineOutlook;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;
use crate::task::Phase;

/// How long a task waits before an executor is reserved for it. Until then, resources usually
/// become free without a reservation.
const RESERVE_AFTER: Duration = Duration::from_millis(1_000);
/// How long a reservation lasts. After that, another executor may be a better choice.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum percentage of executors that are reserved at the same time; one is always allowed.
const MAX_RESERVED_PERCENT: usize = 1;

/// A reservation of an executor for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The task that the executor is reserved for.
    pub task: TaskKey,
    /// When the reservation ends if the task has not started.
    pub until: Mono,
}

impl Scheduler {
    /// Removes reservations that have expired or whose task or executor no longer qualifies. Returns
    /// the tasks for which an executor is still reserved, with their executors.
    pub(crate) fn release_stale_reservations(&mut self, now: Mono) -> Map<TaskKey, ExecutorKey> {
        let executors = self.fleet.iter();
        let reservations: Vec<(ExecutorKey, Reservation)> = executors
            .filter_map(|(key, executor)| Some((key, executor.reservation?)))
            .collect();
        let mut reserved = Map::default();
        for (key, reservation) in reservations {
            if !self.is_stale(key, reservation, now) {
                reserved.insert(reservation.task, key);
            } else if let Some(executor) = self.fleet.get_mut(key) {
                executor.reservation = None;
            }
        }
        reserved
    }

    /// Returns whether a reservation has expired or its task or executor no longer qualifies.
    fn is_stale(&self, executor: ExecutorKey, reservation: Reservation, now: Mono) -> bool {
        let is_waiting = self
            .task(reservation.task)
            .is_some_and(|task| task.phase == Phase::Waiting);
        let open = self
            .job(reservation.task.job)
            .is_some_and(|job| !job.state.is_final());
        let accepts_tasks = self
            .fleet
            .get(executor)
            .is_some_and(|executor| executor.accepts_tasks(now));
        now >= reservation.until || !is_waiting || !open || !accepts_tasks
    }

    /// Reserves an executor for a task that has waited too long for one: a long-running task, or a
    /// short one that has value, for free resources; an isolated one for an executor where no other
    /// task is new. The executor that lacks least is chosen.
    pub(crate) fn reserve_executor_for(
        &mut self,
        key: TaskKey,
        step: &StepSpec,
        outlook: DeadlineOutlook,
        round: &mut Round,
        now: Mono,
    ) {
        let waits_for_others = self.has_interrupted_services() && !self.is_interrupted_service(key);
        let is_short = matches!(outlook, DeadlineOutlook::InTime | DeadlineOutlook::Late)
            && !step.best_effort
            && !round.has_reserved_for_short_work;
        let qualifies =
            is_short || (step.long_running && !waits_for_others) || self.is_isolated(key, step);
        if !qualifies || step.gang || self.waited(key, now) < RESERVE_AFTER {
            return;
        }
        let limit = (self.fleet.len_without_evacuated() * MAX_RESERVED_PERCENT / 100).max(1);
        if round.reserved.contains_key(&key) || round.reserved.len() >= limit {
            return;
        }
        round.has_reserved_for_short_work |= is_short;
        let best = self
            .fleet
            .iter()
            .filter(|(executor_key, executor)| {
                self.is_reservable(key, step, *executor_key, executor, now)
            })
            .min_by_key(|(_, executor)| shortage(&step.allocated_size(), executor))
            .map(|(executor_key, _)| executor_key);
        if let Some((executor_key, executor)) =
            best.and_then(|key| Some((key, self.fleet.get_mut(key)?)))
        {
            executor.reservation = Some(Reservation {
                task: key,
                until: now.after(RESERVATION_TIMEOUT),
            });
            round.reserved.insert(key, executor_key);
        }
    }

    /// Returns the time since the task's job arrived or its latest backoff ended.
    fn waited(&self, key: TaskKey, now: Mono) -> Duration {
        let age = self.job(key.job).map_or(Duration::MAX, |job| job.age(now));
        let backoff_end = self.task(key).map_or(Mono::ZERO, |task| task.not_before);
        if backoff_end == Mono::ZERO {
            return age;
        }
        age.min(now.since(backoff_end))
    }

    /// Returns whether a task would fit on an executor once the short tasks there have ended.
    fn is_reservable(
        &self,
        key: TaskKey,
        step: &StepSpec,
        executor_key: ExecutorKey,
        executor: &Executor,
        now: Mono,
    ) -> bool {
        let job = self.job(key.job);
        let queue = job.and_then(|job| self.plan.queue(&job.queue));
        let Some((job, queue)) = job.zip(queue) else {
            return false;
        };
        // A cold executor may refuse a task although it has room, which a reservation does not change.
        executor.reservation.is_none()
            && executor.accepts_tasks(now)
            && !executor.is_cold(now)
            && !self.has_just_stalled_on(key, executor_key, now)
            && executor.listing.service == queue.service
            && self.meets_constraints(executor_key, executor, job, key, step)
            && (self.long_running_size_on(executor) + step.allocated_size())
                .fits(&executor.listing.capacity)
    }

    /// Returns the resources allocated to long-running tasks on an executor.
    fn long_running_size_on(&self, executor: &Executor) -> Size {
        let steps = executor.tasks.iter().filter_map(|task| self.step(*task));
        steps
            .filter(|step| step.long_running)
            .fold(Size::ZERO, |sum, step| sum + step.allocated_size())
    }
}

/// Returns the largest shortage of a resource on an executor, in thousandths of what the task
/// needs.
fn shortage(needed: &Size, executor: &Executor) -> u64 {
    let missing = needed.saturating_sub(&executor.free());
    let thousandths = |missing: u64, needed: u64| {
        missing
            .saturating_mul(1_000)
            .checked_div(needed)
            .unwrap_or(0)
    };
    thousandths(missing.cpu_millis, needed.cpu_millis)
        .max(thousandths(missing.memory_mib, needed.memory_mib))
        .max(thousandths(missing.accelerators, needed.accelerators))
}
