//! Who holds the resources of a service's executors, and who waits for them.
//!
//! A wait reason says that nothing fits, but neither who holds what is missing nor whether it is
//! free in pieces that are too small. This module makes no scheduling decisions.

use std::sync::Arc;

use model::Map;
use model::Mono;
use model::Size;

use crate::fleet::Executor;
use crate::ranking::DeadlineOutlook;
use crate::ranking::rank;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::short_work::is_kept;
use crate::spec::StepSpec;

/// The resources of a service's executors that accept tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// The number of executors that accept tasks.
    pub executors: usize,
    /// Their total resources.
    pub capacity: Size,
    /// What is not allocated.
    pub free: Size,
    /// CPU in thousandths of a core allocated to long-running tasks.
    pub long_running_cpu_millis: u64,
    /// CPU in thousandths of a core allocated to short tasks that are not best-effort.
    pub batch_cpu_millis: u64,
    /// CPU in thousandths of a core of the executors that are kept for short work.
    pub kept_cpu_millis: u64,
    /// The part of it that is not allocated.
    pub kept_free_cpu_millis: u64,
    /// Short tasks that wait and can be in time.
    pub in_time: WaitingDemand,
    /// Short tasks that wait and will be late, or no longer have any value.
    pub late: WaitingDemand,
    /// Long-running tasks that wait.
    pub long_running: WaitingDemand,
}

/// Tasks that wait for an executor. Best-effort tasks, which take no CPU from others, do not count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingDemand {
    /// The number of tasks.
    pub tasks: u64,
    /// The CPU that they need together, in thousandths of a core.
    pub cpu_millis: u64,
    /// The number of executors with enough free resources for the smallest of them.
    pub fitting_executors: usize,
    smallest: Option<Size>,
}

/// Adds to a sum, with the highest number as the upper bound.
const fn add(sum: &mut u64, cpu_millis: u64) {
    *sum = sum.saturating_add(cpu_millis);
}

impl WaitingDemand {
    fn add(&mut self, step: &StepSpec, tasks: u64) {
        let size = step.allocated_size();
        self.tasks += tasks;
        let cpu_millis = tasks.saturating_mul(size.cpu_millis);
        self.cpu_millis = self.cpu_millis.saturating_add(cpu_millis);
        let is_smaller = |smallest: &Size| size.cpu_millis < smallest.cpu_millis;
        if self.smallest.as_ref().is_none_or(is_smaller) {
            self.smallest = Some(size);
        }
    }

    fn count_if_fitting(&mut self, executor: &Executor) {
        let fits = |size: &Size| size.fits(&executor.free());
        self.fitting_executors += usize::from(self.smallest.as_ref().is_some_and(fits));
    }
}

impl ServiceUsage {
    fn add_executor(&mut self, executor: &Executor) {
        self.executors += 1;
        self.capacity += executor.listing.capacity;
        self.free += executor.free();
        add(
            &mut self.long_running_cpu_millis,
            executor.long_running_cpu_millis,
        );
        add(&mut self.batch_cpu_millis, executor.batch_cpu_millis);
        if is_kept(executor) {
            let capacity = executor.listing.capacity.cpu_millis;
            add(&mut self.kept_cpu_millis, capacity);
            add(&mut self.kept_free_cpu_millis, executor.free().cpu_millis);
        }
        for waiting in [&mut self.in_time, &mut self.late, &mut self.long_running] {
            waiting.count_if_fitting(executor);
        }
    }
}

impl Scheduler {
    /// Returns who holds the resources of each service's executors and who waits for them.
    #[must_use]
    pub fn usage(&self, now: Mono, unix_ms: u64) -> Map<Arc<str>, ServiceUsage> {
        let mut usage: Map<Arc<str>, ServiceUsage> = Map::default();
        for ready in self.ready_steps(unix_ms) {
            self.add_waiting(&mut usage, ready, now, unix_ms);
        }
        let executors = self.fleet.iter().map(|(_, executor)| executor);
        for executor in executors.filter(|executor| executor.accepts_tasks(now)) {
            let service = usage.entry(executor.listing.service.clone()).or_default();
            service.add_executor(executor);
        }
        usage
    }

    fn add_waiting(
        &self,
        usage: &mut Map<Arc<str>, ServiceUsage>,
        ready: ReadyStep,
        now: Mono,
        unix_ms: u64,
    ) {
        let Some(job) = self.job(ready.job) else {
            return;
        };
        let Some(queue) = self.plan.queue(&job.queue) else {
            return;
        };
        let step = &job.spec.steps[ready.step as usize];
        if step.best_effort {
            return;
        }
        let tasks = self.startable_tasks(ready, now);
        if tasks == 0 {
            return;
        }
        let service = usage.entry(queue.service.clone()).or_default();
        let waiting = match rank(self, job, ready, now, unix_ms).outlook {
            DeadlineOutlook::LongRunning => &mut service.long_running,
            DeadlineOutlook::InTime | DeadlineOutlook::InTimeBestEffort => &mut service.in_time,
            DeadlineOutlook::Late | DeadlineOutlook::TooLate => &mut service.late,
        };
        waiting.add(step, tasks);
    }

    /// Returns how many tasks of a step wait for nothing but an executor.
    fn startable_tasks(&self, ready: ReadyStep, now: Mono) -> u64 {
        let count = self.job(ready.job).map_or(0, |job| {
            let step = job.spec.steps.get(ready.step as usize);
            step.map_or(0, |step| step.count)
        });
        let slots = ready.first_slot..ready.first_slot + count;
        let startable = slots.filter(|slot| {
            let key = TaskKey {
                job: ready.job,
                slot: *slot,
            };
            self.may_start(key, now)
        });
        startable.map(|_| 1).sum()
    }
}
