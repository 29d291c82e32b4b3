//! Selects which waiting tasks start next, and on which executors.

mod best_effort;
mod constraints;
mod gang;
mod isolation;
mod order;
mod place_wait;
mod pool;
mod room;
mod round;
mod same_rack;
mod score;
mod step;

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::sync::Arc;

use model::Mono;

pub(crate) use self::best_effort::MAX_CAUSED_LOG;
pub(crate) use self::best_effort::caused_log;
pub(crate) use self::best_effort::has_spare_cpu;
pub(crate) use self::best_effort::spare_cpu;
pub(crate) use self::constraints::near_data;
pub(crate) use self::room::RoomIndex;
pub(crate) use self::round::Round;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::ranking::DeadlineOutlook;
use crate::relaxation::Relaxation;
use crate::relaxation::Wait;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::short_work::Shortages;
use crate::spec::StepSpec;

/// A round ends after the step with which it has assigned at least this many tasks, so that a round
/// stays short.
const MAX_TASKS_PER_ROUND: usize = 200;

/// A number of tasks that are assigned in a round. A round ends after the step with which it
/// reaches one of the limits, because gangs and steps are not divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundBudget {
    /// All tasks.
    pub tasks: usize,
    /// Those of them whose step can wait, see [`DeadlineOutlook::can_wait`].
    pub tasks_that_can_wait: usize,
}

/// How well an executor suits a task. The fields are compared in order of declaration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Preference {
    /// Whether the executor is not recovering, or the task loses little if its run ends with the
    /// expiry of the lease that the recovery needs ([`crate::ack_recovery`]).
    avoids_costly_expiry: bool,
    /// Whether the task's latest failed or stalled run was not on this executor.
    not_failed_here: bool,
    /// How bad it is to start the task beside those on the executor, if one of them may crash it.
    exposure: Reverse<usize>,
    /// Whether no task has stalled or failed on the executor a moment ago.
    not_suspected: bool,
    /// Whether the executor is suitable without relaxed conditions.
    unrelaxed: bool,
    /// Whether the executor is not slow after its start.
    warm: bool,
    /// Whether the executor is in the rack of the step's data, or the step names no rack.
    near_data: bool,
    /// How well the task fits the executor; higher is better.
    score: f64,
}

impl Preference {
    /// Returns whether only a higher score could make another executor better.
    fn is_limited_by_score_only(&self) -> bool {
        self.avoids_costly_expiry
            && self.not_failed_here
            && self.not_suspected
            && self.exposure.0 == 0
            && self.unrelaxed
            && self.warm
            && self.near_data
    }

    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        self.avoids_costly_expiry
            .cmp(&other.avoids_costly_expiry)
            .then(self.not_failed_here.cmp(&other.not_failed_here))
            .then(self.exposure.cmp(&other.exposure))
            .then(self.not_suspected.cmp(&other.not_suspected))
            .then(self.unrelaxed.cmp(&other.unrelaxed))
            .then(self.warm.cmp(&other.warm))
            .then(self.near_data.cmp(&other.near_data))
            .then(self.score.total_cmp(&other.score))
    }
}

/// Returns whether a run has stalled or failed on an executor a moment ago, for which the executor may
/// be at fault.
fn is_suspected(executor: &Executor, now: Mono) -> bool {
    executor.stalls.is_suspected(now) || executor.failures.has_just_failed(now)
}

impl Scheduler {
    /// Assigns waiting tasks to executors in the order of their rank. Returns the number of tasks
    /// assigned.
    pub fn place(&mut self, now: Mono, unix_ms: u64) -> usize {
        self.place_up_to(MAX_TASKS_PER_ROUND, now, unix_ms)
    }

    /// Like [`Self::place`], but ends after the step with which it has assigned at least `limit`
    /// tasks. Gangs and steps are not divided, so that slightly more may be assigned.
    pub fn place_up_to(&mut self, limit: usize, now: Mono, unix_ms: u64) -> usize {
        let budget = RoundBudget {
            tasks: limit,
            tasks_that_can_wait: limit,
        };
        self.place_within(budget, now, unix_ms).tasks
    }

    /// Assigns waiting tasks to executors in the order of their rank within a budget. Returns how
    /// much of it was used, which may be slightly more.
    pub fn place_within(&mut self, budget: RoundBudget, now: Mono, unix_ms: u64) -> RoundBudget {
        self.locality.advance(now);
        let limit = budget.tasks.min(MAX_TASKS_PER_ROUND);
        let mut used = RoundBudget::default();
        if limit == 0 {
            return used;
        }
        let mut round = Round::new(self.release_stale_reservations(now));
        if budget.tasks_that_can_wait > 0 {
            self.rounds += 1;
        }
        let mut shortages = Shortages::default();
        let steps = self.steps_in_order(now, unix_ms);
        self.find_unstarted_jobs(&steps, &round.room, now);
        let mut is_short = false;
        let mut untried = steps.len();
        for (rank, ready) in steps {
            let can_wait = rank.outlook.can_wait();
            untried -= 1;
            if can_wait && used.tasks_that_can_wait >= budget.tasks_that_can_wait {
                is_short = true;
                continue;
            }
            self.set_urgent(ready.job, rank.outlook == DeadlineOutlook::InTime);
            self.expect_short_work(ready, &rank, now);
            let tasks = self.place_step(ready, &rank, &mut round, now);
            self.add_shortage(&mut shortages, &rank, ready, now);
            self.charge_size_class(ready, &rank, tasks);
            is_short = is_short || self.is_short_of(ready, &rank, now);
            if tasks > 0 {
                self.record_event(Event::Placed {
                    job: ready.job,
                    step: ready.step,
                    tasks,
                    rank,
                });
            }
            used.tasks += tasks;
            if can_wait {
                used.tasks_that_can_wait += tasks;
            }
            if used.tasks >= limit {
                break;
            }
        }
        self.set_short(is_short || untried > 0);
        self.record_exhaustion(used.tasks >= limit);
        self.set_shortages(shortages);
        used
    }

    /// Returns whether a task suits every executor as well as the other tasks of its step do.
    fn is_interchangeable(&self, key: TaskKey) -> bool {
        let is_special = self
            .task(key)
            .is_some_and(|task| task.failed_on.is_some() || task.crashes > 0);
        !is_special
    }

    /// Returns whether a task waits for nothing but an executor.
    pub(crate) fn may_start(&self, key: TaskKey, now: Mono) -> bool {
        self.task(key).is_some_and(|task| task.may_start(now))
    }

    fn best_executor(
        &self,
        key: TaskKey,
        step: &StepSpec,
        room: &RoomIndex,
        rack: Option<&str>,
        now: Mono,
    ) -> Option<ExecutorKey> {
        let job = self.job(key.job)?;
        let has_advisor = self.plan.queue(&job.queue)?.advisor.is_some();
        let candidates = self.candidates_with_room(key, step, room, now).into_iter();
        candidates
            .filter(|(executor_key, _)| {
                rack.is_none_or(|rack| self.is_in_rack(*executor_key, rack))
            })
            .filter(|(executor_key, _)| {
                !has_advisor || self.ticket(key, *executor_key, now).is_some()
            })
            .max_by(|(left_key, left), (right_key, right)| {
                left.compare(right).then(left_key.cmp(right_key))
            })
            .map(|(executor_key, _)| executor_key)
    }

    fn is_in_rack(&self, key: ExecutorKey, rack: &str) -> bool {
        let executor = self.fleet.get(key);
        executor.is_some_and(|executor| executor.rack.as_deref() == Some(rack))
    }

    /// Returns the executors that can take a task now, each with its preference.
    pub(crate) fn candidates(
        &self,
        key: TaskKey,
        step: &StepSpec,
        now: Mono,
    ) -> Vec<(ExecutorKey, Preference)> {
        let Some(service) = self.service_of(key) else {
            return Vec::new();
        };
        let wait = self.counted_wait(key, step, now);
        let executors = self.fleet.iter();
        executors
            .filter_map(|(executor_key, executor)| {
                let relaxation = wait.relaxation_on(executor, now);
                let executor = (executor_key, executor);
                let preference =
                    self.preference(executor, &service, (key, step), relaxation, now)?;
                Some((executor_key, preference))
            })
            .collect()
    }

    /// Like [`Self::candidates`], in a placement round.
    fn candidates_with_room(
        &self,
        key: TaskKey,
        step: &StepSpec,
        room: &RoomIndex,
        now: Mono,
    ) -> Vec<(ExecutorKey, Preference)> {
        let Some(service) = self.service_of(key) else {
            return Vec::new();
        };
        let wait = self.counted_wait(key, step, now);
        let executors = room.with_room(&self.fleet, &service, (step, wait), now);
        executors
            .into_iter()
            .filter_map(|executor_key| {
                let executor = self.fleet.get(executor_key)?;
                let relaxation = wait.relaxation_on(executor, now);
                let executor = (executor_key, executor);
                let preference =
                    self.preference(executor, &service, (key, step), relaxation, now)?;
                Some((executor_key, preference))
            })
            .collect()
    }

    /// Returns the service whose executors run the queue of a task.
    fn service_of(&self, key: TaskKey) -> Option<Arc<str>> {
        let queue = self.plan.queue(&self.job(key.job)?.queue)?;
        Some(queue.service.clone())
    }

    /// Returns how well a task suits an executor now, or `None` if the executor cannot take it.
    fn assess(
        &self,
        executor_key: ExecutorKey,
        service: &str,
        key: TaskKey,
        step: &StepSpec,
        now: Mono,
    ) -> Option<Preference> {
        let wait = self.counted_wait(key, step, now);
        self.assess_after(wait, executor_key, service, (key, step), now)
    }

    /// Like [`Self::assess`], for a step that has waited that long.
    fn assess_after(
        &self,
        wait: Wait,
        executor_key: ExecutorKey,
        service: &str,
        (key, step): (TaskKey, &StepSpec),
        now: Mono,
    ) -> Option<Preference> {
        let executor = self.fleet.get(executor_key)?;
        let relaxation = wait.relaxation_on(executor, now);
        self.preference(
            (executor_key, executor),
            service,
            (key, step),
            relaxation,
            now,
        )
    }

    fn preference(
        &self,
        (executor_key, executor): (ExecutorKey, &Executor),
        service: &str,
        (key, step): (TaskKey, &StepSpec),
        relaxation: Relaxation,
        now: Mono,
    ) -> Option<Preference> {
        // Most executors are full under load, so that this comes first.
        if !step.allocated_size().fits(&executor.free()) {
            return None;
        }
        let job = self.job(key.job)?;
        let suitable = &*executor.listing.service == service
            && executor.accepts_tasks(now)
            && self.admits_when_cold(executor, now)
            && self.knows_capacity(service, now)
            && (!step.best_effort || has_spare_cpu(executor, step, relaxation))
            && self.is_feasible(executor_key, executor, job, key, step);
        if !suitable {
            return None;
        }
        if self.has_just_stalled_on(key, executor_key, now) {
            return None;
        }
        let failed_on = self.task(key).and_then(|task| task.failed_on);
        let loses_much = step.long_running || step.gang;
        Some(Preference {
            avoids_costly_expiry: executor.recovery.is_none() || !loses_much,
            not_failed_here: Some(executor_key) != failed_on,
            exposure: Reverse(self.exposure(key, step, executor)?),
            not_suspected: !is_suspected(executor, now),
            unrelaxed: relaxation == Relaxation::NONE || self.is_undisturbed(executor, step),
            warm: !executor.is_cold(now),
            near_data: near_data(executor, step),
            score: self.score(executor, step, relaxation)?,
        })
    }
}
