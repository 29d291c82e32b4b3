//! The resources that are reserved on workers for tasks, and their release.

use model::Mono;
use model::Size;

use super::Cluster;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::task::Phase;
use crate::task::Run;

/// How many times the memory reservation of a failing task is doubled.
const MAX_MEMORY_DOUBLINGS: u32 = 3;

impl Cluster {
    /// Reserves resources on a worker for a task, which starts there.
    pub(crate) fn reserve(
        &mut self,
        key: TaskKey,
        worker_key: WorkerKey,
        reserved: Size,
        now: Mono,
    ) {
        let task = &mut self.tasks[key];
        task.phase = Phase::Running(Box::new(Run::new(worker_key, reserved, now, task)));
        let class = &mut self.classes[task.class];
        let team = &mut self.teams[task.team];
        let worker = &mut self.workers[worker_key];
        worker.reserved += reserved;
        if !worker.listed {
            self.unlisted += reserved;
        }
        if class.is_service() {
            worker.services += 1;
        } else {
            worker.batch_reserved += reserved;
        }
        worker.tasks.push(key);
        team.used += reserved;
        self.halves[team.half.0].used += reserved;
        *class.tasks_per_rack.entry(worker.rack).or_default() += 1;
    }

    /// Releases the resources of a run and returns the run. The phase of the task is then
    /// [`Phase::Delayed`], for the caller to change.
    pub(crate) fn release(&mut self, key: TaskKey) -> Option<Box<Run>> {
        let task = &mut self.tasks[key];
        let phase = std::mem::replace(&mut task.phase, Phase::Delayed);
        let Phase::Running(run) = phase else {
            task.phase = phase;
            return None;
        };
        let class = &mut self.classes[task.class];
        let team = &mut self.teams[task.team];
        team.used = team.used.saturating_sub(&run.reserved);
        let half = &mut self.halves[team.half.0];
        half.used = half.used.saturating_sub(&run.reserved);
        let worker = &mut self.workers[run.worker];
        worker.reserved = worker.reserved.saturating_sub(&run.reserved);
        if !worker.listed {
            self.unlisted = self.unlisted.saturating_sub(&run.reserved);
        }
        worker.tasks.retain(|task| *task != key);
        if let Some(count) = class.tasks_per_rack.get_mut(&worker.rack) {
            *count = count.saturating_sub(1);
        }
        self.capacity_generation += 1;
        self.recompute_worker(run.worker);
        self.remove_if_idle(run.worker);
        Some(run)
    }

    /// Recomputes services, batch reservations and excess usage of a worker, because the document
    /// may have changed the kind of a class since its task started.
    fn recompute_worker(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.services = 0;
        worker.batch_reserved = Size::ZERO;
        worker.excess = Size::ZERO;
        for task in &worker.tasks {
            let task = &self.tasks[*task];
            let Some(run) = task.run() else { continue };
            if self.classes[task.class].is_service() {
                worker.services += 1;
            } else {
                worker.batch_reserved += run.reserved;
            }
            worker.excess += run
                .usage
                .unwrap_or(Size::ZERO)
                .saturating_sub(&run.reserved);
        }
    }

    /// Recomputes services, batch reservations and excess usage of all workers, or of one.
    pub(crate) fn recompute_workers(&mut self, only: Option<WorkerKey>) {
        let keys: Vec<WorkerKey> = match only {
            Some(key) => vec![key],
            None => self.workers.keys().collect(),
        };
        for key in keys {
            self.recompute_worker(key);
        }
    }

    /// Returns the size to reserve for a task: the learned one if there is one, otherwise the
    /// declared one.
    ///
    /// A run that failed may have run out of memory, which no report shows in time, so each retry
    /// reserves more. Everything beyond the declared size stays within the largest worker.
    pub(crate) fn reservation(&self, key: TaskKey) -> Size {
        let task = &self.tasks[key];
        let class = &self.classes[task.class];
        let (size, learned) = class.sizes.reservation(&task.declared);
        let quota = self.teams[task.team]
            .rules
            .as_ref()
            .map(|rules| rules.quota);
        let base = if learned {
            size.min(&class.max_capacity)
        } else {
            // The minimum reservation must not keep a team from using its whole quota.
            quota.map_or(size, |quota| size.min(&quota.max(&task.declared)))
        };
        let doubled = base
            .memory_mib
            .saturating_mul(1 << task.failures.min(MAX_MEMORY_DOUBLINGS));
        let memory = base
            .memory_mib
            .max(doubled.min(class.max_capacity.memory_mib));
        Size::new(base.cpu_millis, memory, size.accelerators)
    }
}
