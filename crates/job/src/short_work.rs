//! Keeps executors for short work where long-running tasks hold the capacity.
//!
//! A long-running task keeps its resources for minutes, and short work gives them back after
//! seconds. Whatever the order of placement, what lasts therefore ends up with everything once
//! capacity is scarce. While short work that can still be in time finds no room, executors are kept
//! for it: the long-running tasks there are stopped, and none is placed there. A whole executor has
//! room for tasks of every size. It is given back once no such work has used it for a while. See
//! "Scarce capacity" in `docs/JOBS.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Size;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::scheduler::Event;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// How long short work finds no room before executors are kept for it. Within this time, room
/// usually becomes free.
const KEEP_AFTER: Duration = Duration::from_millis(200);
/// How long no more executors are looked for after none was suitable, because that takes a scan of all.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The weight of the newest observation in the mean demand of short work is one over this, for one
/// observation each [`Scheduler::tick`].
const DEMAND_SMOOTHING: u64 = 40;
/// Short work is owed its mean demand and half as much again, because its demand varies.
const OWED_PERCENT: u64 = 150;
/// One over this of a service's CPU is free in pieces that are too small for any use.
const FRAGMENTS_DIVISOR: u64 = 32;
/// How long an executor is kept although no work that can be in time has been placed there.
const KEEP_UNUSED: Duration = Duration::from_secs(2);
/// The part of a service's CPU that short work is owed is one over this at most.
const MAX_OWED_DIVISOR: u64 = 5;

/// Short work of a service that can be in time and has found no room in the latest round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shortage {
    /// One of the tasks.
    task: TaskKey,
    /// Since when there is such work in each round.
    since: Mono,
    /// The CPU that it needs, in thousandths of a core.
    cpu_millis: u64,
    /// The largest demand of a task in each resource.
    largest: Size,
}

/// CPU of a service's executors, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCpu {
    /// All of it.
    all: u64,
    /// What long-running tasks hold on executors that are not kept for short work.
    long_running: u64,
    /// What is free on those that are kept, or will be once the long-running tasks there have
    /// stopped.
    coming: u64,
}

/// An executor that can be kept for short work.
#[derive(Clone, Debug)]
struct Candidate {
    executor: ExecutorKey,
    used_cpu_millis: u64,
    /// What short work finds there once the long-running tasks have stopped.
    room: Size,
    /// The long-running tasks that are stopped, and what they free.
    stopped: Vec<TaskKey>,
    freed: Size,
}

/// Short work of a step that became ready.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedShortWork {
    service: Arc<str>,
    cpu_millis: u64,
    /// When it would end if it had started at once.
    until: Mono,
}

/// The mean CPU that short work of a service needs, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShortDemand {
    /// What runs uses.
    used: u64,
    /// What would run if all work started as soon as it is ready. Work that waits counts for as long
    /// as it takes, however long it waits.
    expected: u64,
}

impl ShortDemand {
    /// Less runs while there is no room, and estimates may be too low.
    fn cpu_millis(&self) -> u64 {
        self.used.max(self.expected)
    }
}

/// Returns the mean with one more observation.
const fn smoothed(mean: u64, observed: u64) -> u64 {
    mean - mean / DEMAND_SMOOTHING + observed / DEMAND_SMOOTHING
}

/// The shortages of short work, by service.
pub(crate) type Shortages = Map<Arc<str>, Shortage>;

impl Scheduler {
    /// Adds the tasks of a step that found no room to the shortages of a placement round.
    pub(crate) fn add_shortage(
        &self,
        shortages: &mut Shortages,
        rank: &Rank,
        ready: ReadyStep,
        now: Mono,
    ) {
        if rank.outlook != DeadlineOutlook::InTime {
            return;
        }
        let Some(job) = self.job(ready.job) else {
            return;
        };
        let Some(queue) = self.plan.queue(&job.queue) else {
            return;
        };
        let step = &job.spec.steps[ready.step as usize];
        let slots = ready.first_slot..ready.first_slot + step.count;
        let startable = slots.zip(job.tasks.iter().skip(ready.first_slot as usize));
        let startable = startable.filter(|(_, task)| task.may_start(now));
        // A task that waits for a better place could start elsewhere now, so that no executor is kept
        // for it.
        let startable = startable.filter(|(slot, _)| {
            let (job, slot) = (ready.job, *slot);
            self.locality.wait_of(TaskKey { job, slot }).is_none()
        });
        for (slot, _) in startable {
            let task = TaskKey {
                job: ready.job,
                slot,
            };
            let shortage = shortages.entry(queue.service.clone()).or_insert(Shortage {
                task,
                since: now,
                cpu_millis: 0,
                largest: Size::ZERO,
            });
            shortage.cpu_millis = shortage.cpu_millis.saturating_add(step.size.cpu_millis);
            shortage.largest = shortage.largest.max(&step.allocated_size());
        }
    }

    /// Replaces the shortages by those of the latest round.
    pub(crate) fn set_shortages(&mut self, mut shortages: Shortages) {
        for (service, shortage) in &mut shortages {
            if let Some(earlier) = self.shortages.get(service) {
                shortage.since = earlier.since;
            }
        }
        self.shortages = shortages;
    }

    /// Records that short work that can be in time has been placed on an executor.
    pub(crate) fn record_short_work(&mut self, executor: ExecutorKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(executor)
            && let Some(used_at) = &mut executor.kept_for_short_work
        {
            *used_at = now;
        }
    }

    /// Gives back executors that short work does not use, and keeps others while it finds no room.
    pub(crate) fn keep_executors_for_short_work(&mut self, now: Mono) {
        self.give_back_unused_executors(now);
        self.observe_short_demand(now);
        let shortages: Vec<(Arc<str>, Shortage)> = self
            .shortages
            .iter()
            .filter(|(_, shortage)| now.since(shortage.since) >= KEEP_AFTER)
            .map(|(service, shortage)| (service.clone(), *shortage))
            .collect();
        for (service, shortage) in shortages {
            self.keep_executors_of(&service, shortage, now);
        }
    }

    fn give_back_unused_executors(&mut self, now: Mono) {
        for (_, executor) in self.fleet.iter_mut() {
            let used_at = executor.kept_for_short_work;
            if used_at.is_some_and(|used_at| now.since(used_at) >= KEEP_UNUSED) {
                executor.kept_for_short_work = None;
            }
        }
    }

    fn keep_executors_of(&mut self, service: &str, shortage: Shortage, now: Mono) {
        let mut cpu = self.service_cpu(service, now);
        let demand = self
            .short_demand
            .get(service)
            .map_or(0, ShortDemand::cpu_millis);
        let owed = (demand / 100)
            .saturating_mul(OWED_PERCENT)
            .min(cpu.all / MAX_OWED_DIVISOR);
        let limit = cpu
            .all
            .saturating_sub(owed.saturating_add(cpu.all / FRAGMENTS_DIVISOR));
        let is_met = cpu.coming >= shortage.cpu_millis || cpu.long_running <= limit;
        if is_met || now < self.keep_not_before {
            return;
        }
        let candidates = self.candidates_to_keep(service, shortage, now);
        if candidates.is_empty() {
            self.keep_not_before = now.after(RETRY_AFTER);
        }
        for candidate in candidates {
            if cpu.coming >= shortage.cpu_millis || cpu.long_running <= limit {
                return;
            }
            cpu.coming = cpu.coming.saturating_add(candidate.room.cpu_millis);
            cpu.long_running = cpu.long_running.saturating_sub(candidate.freed.cpu_millis);
            self.keep_executor(candidate, shortage.task, now);
        }
    }

    /// Returns the executors that can be kept for short work, first those where the fewest tasks have
    /// to be stopped.
    fn candidates_to_keep(&self, service: &str, shortage: Shortage, now: Mono) -> Vec<Candidate> {
        let executors = self.fleet.iter().filter(|(_, executor)| {
            &*executor.listing.service == service
                && executor.accepts_tasks(now)
                && !is_kept(executor)
                && executor.reservation.is_none()
        });
        let candidates = executors.map(|(key, executor)| {
            let stopped = self.preemptible_on(executor, shortage.task, now);
            let freed = self.allocated_to(&stopped);
            Candidate {
                executor: key,
                used_cpu_millis: executor.used.cpu_millis,
                room: executor.free() + freed,
                freed,
                stopped,
            }
        });
        let mut candidates: Vec<Candidate> = candidates
            .filter(|candidate| shortage.largest.fits(&candidate.room))
            .collect();
        candidates.sort_by_key(|candidate| (candidate.stopped.len(), candidate.used_cpu_millis));
        candidates
    }

    /// Keeps an executor for short work and stops the long-running tasks there.
    fn keep_executor(&mut self, candidate: Candidate, for_task: TaskKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(candidate.executor) {
            executor.kept_for_short_work = Some(now);
        }
        let mut stopped = 0;
        for task in candidate.stopped {
            // A step may have lost tasks on an executor that was kept just before.
            if self.is_preemptible(task, for_task, now) {
                self.stop(task);
                stopped += 1;
            }
        }
        self.record_event(Event::KeptForShortWork {
            executor: candidate.executor,
            stopped,
        });
    }

    /// Returns how much of a service's CPU long-running tasks hold, and how much short work finds.
    fn service_cpu(&self, service: &str, now: Mono) -> ServiceCpu {
        let mut cpu = ServiceCpu::default();
        let executors = self.fleet.iter().map(|(_, executor)| executor);
        let executors = executors.filter(|executor| &*executor.listing.service == service);
        for executor in executors.filter(|executor| executor.accepts_tasks(now)) {
            let long_running = executor.long_running_cpu_millis;
            cpu.all = cpu.all.saturating_add(executor.listing.capacity.cpu_millis);
            if is_kept(executor) {
                let coming = executor.free().cpu_millis.saturating_add(long_running);
                cpu.coming = cpu.coming.saturating_add(coming);
            } else {
                cpu.long_running = cpu.long_running.saturating_add(long_running);
            }
        }
        cpu
    }

    /// Counts the tasks of a step that can be in time, if the step is ready for the first time.
    pub(crate) fn expect_short_work(&mut self, ready: ReadyStep, rank: &Rank, now: Mono) {
        if rank.outlook != DeadlineOutlook::InTime {
            return;
        }
        let Some(job) = self.job_mut(ready.job) else {
            return;
        };
        if !job.begin_wait(ready.first_slot, now) {
            return;
        }
        let (spec, queue) = (job.spec.clone(), job.queue.clone());
        let Some(queue) = self.plan.queue(&queue) else {
            return;
        };
        let service = queue.service.clone();
        let step = &spec.steps[ready.step as usize];
        let slots = ready.first_slot..ready.first_slot + step.count;
        let keys = slots.map(|slot| TaskKey {
            job: ready.job,
            slot,
        });
        let tasks = keys.filter(|key| self.may_start(*key, now)).count();
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        self.expected_short_work.push(ExpectedShortWork {
            service,
            cpu_millis: tasks.saturating_mul(step.size.cpu_millis),
            until: now.after(Duration::from_millis(step.estimate_ms)),
        });
    }

    /// Updates the mean demand of short work.
    fn observe_short_demand(&mut self, now: Mono) {
        let used = self
            .fleet
            .sum_by_service(|demand: &mut ShortDemand, executor| {
                demand.used = demand.used.saturating_add(executor.batch_cpu_millis);
            });
        let mut observed: Map<Arc<str>, ShortDemand> = used.into_iter().collect();
        self.expected_short_work.retain(|work| now < work.until);
        for work in &self.expected_short_work {
            let demand = observed.entry(work.service.clone()).or_default();
            demand.expected = demand.expected.saturating_add(work.cpu_millis);
        }
        for (service, observed) in observed {
            let mean = self.short_demand.entry(service).or_default();
            mean.used = smoothed(mean.used, observed.used);
            mean.expected = smoothed(mean.expected, observed.expected);
        }
    }

    /// Returns the resources that are allocated to tasks.
    pub(crate) fn allocated_to(&self, tasks: &[TaskKey]) -> Size {
        let steps = tasks.iter().filter_map(|key| self.step(*key));
        steps.fold(Size::ZERO, |sum, step| sum + step.allocated_size())
    }
}

/// Returns whether an executor is kept for short work.
pub(crate) const fn is_kept(executor: &Executor) -> bool {
    executor.kept_for_short_work.is_some()
}
