//! Relaxes the conditions on an executor for best-effort tasks that wait (aging).
//!
//! A best-effort task starts where it disturbs no service and where there is CPU to spare. Nothing
//! else ends these conditions: an estimate of interference changes only while tasks of the image
//! run, and a service may exceed its target for as long as it runs. The conditions are therefore
//! preferences. The longer a step waits, the less they count, until only the resources that are
//! counted against the executor's capacity matter. How many tasks an executor receives in this way
//! is limited, and each of them starts throttled, see [`crate::throttle`]. See "Tasks that fill" in
//! `docs/JOBS.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Size;

use crate::fleet::Executor;
use crate::placement::RoomIndex;
use crate::placement::has_spare_cpu;
use crate::ranking::Rank;
use crate::scheduler::Job;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// How long a step waits before its conditions are relaxed.
const RELAX_AFTER: Duration = Duration::from_secs(4);
/// The time from one level of relaxation to the next.
const LEVEL_INTERVAL: Duration = Duration::from_secs(1);
/// The level at which only resources that are counted against an executor's capacity matter.
const LAST_LEVEL: u32 = 6;
/// The wait counts for a fraction of one over this if another task of the job has an executor, and
/// not at all while jobs without one wait.
const STARTED_JOB_DIVISOR: u32 = 4;
/// A step whose job has no task on an executor has its turn once it has waited for one over this of
/// the longest such wait, so that newer steps do not take each turn.
const TURN_DIVISOR: u32 = 2;
/// The wait counts for a fraction of one over this on executors that are mostly in use, where a
/// wait is expected.
const BUSY_EXECUTOR_DIVISOR: u32 = 4;
/// The minimum time between two tasks that an executor receives under relaxed conditions. It
/// doubles with each such task that is still on the executor.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of doublings of [`MIN_INTERVAL`].
const MAX_INTERVAL_DOUBLINGS: u32 = 10;

/// The factor by which a wait counts if less than half of the service's capacity is allocated: there
/// is room for the step, and only the services beside it are a reason to wait.
const IDLE_SERVICE_FACTOR: u32 = 4;

/// Resources of one or more executors.
#[derive(Clone, Copy, Debug, Default)]
struct Allocation {
    used: Size,
    capacity: Size,
}

/// How long a step has waited for an executor, as far as it counts for relaxation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Wait(Duration);

/// How far the conditions on an executor for a best-effort task are relaxed: 0 if they are not,
/// [`LAST_LEVEL`] if they do not count any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Relaxation(u32);

impl Allocation {
    /// Returns whether at most half of each resource is allocated.
    fn is_below_half(self) -> bool {
        (self.used + self.used).fits(&self.capacity)
    }
}

impl Wait {
    /// No wait that counts.
    pub(crate) const NONE: Self = Self(Duration::ZERO);

    /// A wait after which the conditions do not count.
    const ENDLESS: Self = Self(Duration::MAX);

    /// Returns whether the conditions are relaxed on any executor.
    pub(crate) fn relaxes(self) -> bool {
        self.0 >= RELAX_AFTER
    }

    /// Returns how far the conditions are relaxed on an executor.
    pub(crate) fn relaxation_on(self, executor: &Executor, now: Mono) -> Relaxation {
        if !self.relaxes() || has_recent_relaxation(executor, now) {
            return Relaxation::NONE;
        }
        let divisor = if is_mostly_in_use(executor) {
            BUSY_EXECUTOR_DIVISOR
        } else {
            1
        };
        Relaxation::after(self.0 / divisor)
    }
}

impl Relaxation {
    /// The conditions are not relaxed.
    pub(crate) const NONE: Self = Self(0);
    /// The conditions do not count.
    const COMPLETE: Self = Self(LAST_LEVEL);

    fn after(waited: Duration) -> Self {
        let Some(relaxed_for) = waited.checked_sub(RELAX_AFTER) else {
            return Self::NONE;
        };
        let intervals = model::time::millis(relaxed_for) / model::time::millis(LEVEL_INTERVAL);
        let level = u32::try_from(intervals + 1).unwrap_or(LAST_LEVEL);
        Self(level.min(LAST_LEVEL))
    }

    /// Returns whether the conditions do not count any more.
    pub(crate) const fn is_complete(self) -> bool {
        self.0 >= LAST_LEVEL
    }

    /// Returns the factor by which limits are raised.
    pub(crate) fn limit_factor(self) -> f64 {
        if self.is_complete() {
            f64::INFINITY
        } else {
            f64::from(1_u32 << self.0)
        }
    }
}

impl Scheduler {
    /// Returns how long the step of a task has waited.
    pub(crate) fn counted_wait(&self, key: TaskKey, step: &StepSpec, now: Mono) -> Wait {
        if !step.best_effort {
            return Wait::NONE;
        }
        let Some(job) = self.job(key.job) else {
            return Wait::NONE;
        };
        let waited = self.scaled_wait(job, key.slot, now);
        if waited < RELAX_AFTER {
            return Wait::NONE;
        }
        let longest = self.longest_unstarted_wait(job);
        if !job.has_assigned_tasks() {
            let is_due = waited * TURN_DIVISOR >= longest;
            return if is_due { Wait(waited) } else { Wait::NONE };
        }
        if longest >= RELAX_AFTER {
            return Wait::NONE;
        }
        Wait(waited / STARTED_JOB_DIVISOR)
    }

    /// Returns how long the step of a task has waited, several times as long if most of its service's
    /// capacity is free.
    fn scaled_wait(&self, job: &Job, slot: u32, now: Mono) -> Duration {
        let waited = job.waited(slot, now);
        let queue = self.plan.queue(&job.queue);
        if queue.is_some_and(|queue| self.idle_services.contains(&queue.service)) {
            waited * IDLE_SERVICE_FACTOR
        } else {
            waited
        }
    }

    /// Records the services of whose executors' capacity less than half is allocated.
    pub(crate) fn find_idle_services(&mut self) {
        let totals = self
            .fleet
            .sum_by_service(|total: &mut Allocation, executor| {
                // What is free in an evacuated data centre cannot be used.
                if !executor.evacuated {
                    total.used += executor.used;
                    total.capacity += executor.listing.capacity;
                }
            });
        let idle = totals
            .into_iter()
            .filter(|(_, total)| total.capacity != Size::ZERO && total.is_below_half());
        self.idle_services = idle.map(|(service, _)| service).collect();
    }

    /// Returns the longest wait of a job without a task on an executor in the service of this job.
    fn longest_unstarted_wait(&self, job: &Job) -> Duration {
        let queue = self.plan.queue(&job.queue);
        let longest = queue.and_then(|queue| self.unstarted_waits.get(&queue.service));
        longest.copied().unwrap_or(Duration::ZERO)
    }

    /// Records for each service how long the best-effort step has waited that has waited longest of
    /// those whose job has no task on an executor. Such jobs go first, because executors receive few
    /// tasks under relaxed conditions. A step that no executor has room for keeps none waiting.
    pub(crate) fn find_unstarted_jobs(
        &mut self,
        steps: &[(Rank, ReadyStep)],
        room: &RoomIndex,
        now: Mono,
    ) {
        let mut longest: Map<Arc<str>, Duration> = Map::default();
        for (_, ready) in steps {
            let Some((service, waited)) = self.unstarted_wait(*ready, now) else {
                continue;
            };
            let known = longest.get(&service).copied().unwrap_or(Duration::ZERO);
            if waited > known && self.has_room_for(*ready, &service, room, now) {
                longest.insert(service, waited);
            }
        }
        self.unstarted_waits = longest;
    }

    /// Returns the service of a best-effort step and how long it has waited, if its job has no task
    /// on an executor.
    fn unstarted_wait(&self, ready: ReadyStep, now: Mono) -> Option<(Arc<str>, Duration)> {
        let job = self.job(ready.job)?;
        let step = job.spec.steps.get(ready.step as usize)?;
        if !step.best_effort || job.has_assigned_tasks() {
            return None;
        }
        let queue = self.plan.queue(&job.queue)?;
        let waited = self.scaled_wait(job, ready.first_slot, now);
        Some((queue.service.clone(), waited))
    }

    /// Returns whether enough executors of a service have room for a best-effort step, whatever it
    /// disturbs there: one, or as many as a gang needs.
    fn has_room_for(&self, ready: ReadyStep, service: &str, room: &RoomIndex, now: Mono) -> bool {
        let Some(job) = self.job(ready.job) else {
            return false;
        };
        let step = &job.spec.steps[ready.step as usize];
        let key = TaskKey {
            job: ready.job,
            slot: ready.first_slot,
        };
        let needed = if step.gang && step.max_per_executor > 0 {
            step.count.div_ceil(step.max_per_executor) as usize
        } else {
            1
        };
        let executors = room.with_room(&self.fleet, service, (step, Wait::ENDLESS), now);
        let executors = executors.iter().filter(|executor_key| {
            self.fleet.get(**executor_key).is_some_and(|executor| {
                executor.accepts_tasks(now)
                    && has_spare_cpu(executor, step, Relaxation::COMPLETE)
                    && self.is_feasible(**executor_key, executor, job, key, step)
            })
        });
        executors.take(needed).count() == needed
    }
}

/// Returns whether an executor has received a task under relaxed conditions too recently for
/// another one.
fn has_recent_relaxation(executor: &Executor, now: Mono) -> bool {
    let doublings = executor.relaxed_tasks.min(MAX_INTERVAL_DOUBLINGS);
    let interval = MIN_INTERVAL * (1 << doublings);
    executor
        .relaxed_at
        .is_some_and(|relaxed_at| now.since(relaxed_at) < interval)
}

/// Returns whether more than half of a resource of an executor is allocated.
fn is_mostly_in_use(executor: &Executor) -> bool {
    let allocation = Allocation {
        used: executor.used,
        capacity: executor.listing.capacity,
    };
    !allocation.is_below_half()
}
