//! What waits for a service's executors, by queue and size, and the capacity for it.

use std::sync::Arc;

use model::Map;
use model::Mono;
use model::Set;

use crate::fleet::Executor;
use crate::locality::units;
use crate::plan::Queue;
use crate::ranking::LATE_FACTOR;
use crate::ranking::objective_of;
use crate::relaxation::Relaxation;
use crate::scheduler::Job;
use crate::scheduler::Scheduler;
use crate::spec::JobSpec;
use crate::spec::StepSpec;

/// The capacity of a service's executors for one kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    /// The service.
    pub service: Arc<str>,
    /// Whether the work is best-effort, which runs on the CPU that the other work leaves.
    pub best_effort: bool,
}

/// Jobs that are alike: those of a queue in the same size class with the same magnitude.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellKey {
    /// The queue.
    pub queue: Arc<str>,
    /// The size class within the queue; classes take turns while capacity is short.
    pub class: usize,
    /// The base-2 logarithm of the work of a job, rounded down.
    pub magnitude: u32,
}

/// Work of a cell, in thousandths of a core times milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellWork {
    /// The cell.
    pub cell: CellKey,
    /// The priority of its queue.
    pub priority: u32,
    /// Work that waits, of jobs that can be in time.
    pub in_time: u64,
    /// Work that waits, of jobs that will be late and have value.
    pub late: u64,
    /// Work that has arrived since the last summary.
    pub arrived: u64,
}

/// The state of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSummary {
    /// The pool.
    pub key: PoolKey,
    /// The CPU of the executors that accept tasks, in thousandths of a core. What long-running tasks
    /// hold does not count for work that is not best-effort.
    pub cpu_millis: u64,
    /// Work completed since the last summary, in thousandths of a core times milliseconds.
    pub completed: u64,
    /// What waits and what has arrived.
    pub cells: Vec<CellWork>,
}

/// A queue with an objective.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSummary {
    /// The queue.
    pub queue: Arc<str>,
    /// The service whose executors run its tasks.
    pub service: Arc<str>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// The largest work of each of its size classes but the last.
    pub class_limits: Vec<u64>,
}

/// The state of all queues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The pools.
    pub pools: Vec<PoolSummary>,
    /// The queues with an objective.
    pub queues: Vec<QueueSummary>,
}

/// Work that arrived and was completed since it was last taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkFlow {
    /// By cell: ordinary and best-effort work.
    arrived: Map<CellKey, [u64; 2]>,
    /// By queue: ordinary and best-effort work.
    completed: Map<Arc<str>, [u64; 2]>,
}

impl WorkFlow {
    pub(crate) fn add_arrived(&mut self, cell: CellKey, spec: &JobSpec) {
        let arrived = self.arrived.entry(cell).or_default();
        for step in &spec.steps {
            let work = step_work(step, step.count);
            add(&mut arrived[usize::from(step.best_effort)], work);
        }
    }

    pub(crate) fn add_completed(&mut self, queue: &Arc<str>, step: &StepSpec) {
        if step.long_running {
            return;
        }
        if !self.completed.contains_key(queue) {
            self.completed.insert(queue.clone(), [0; 2]);
        }
        if let Some(completed) = self.completed.get_mut(queue) {
            add(
                &mut completed[usize::from(step.best_effort)],
                step_work(step, 1),
            );
        }
    }
}

/// Returns the work of this many tasks of a step. Tasks without CPU count as a thousandth of a core.
fn step_work(step: &StepSpec, tasks: u32) -> u64 {
    u64::from(tasks)
        .saturating_mul(step.size.cpu_millis.max(1))
        .saturating_mul(step.estimate_ms)
}

fn add(sum: &mut u64, work: u64) {
    *sum = sum.saturating_add(work);
}

/// Returns the work of a job, in thousandths of a core times milliseconds.
#[must_use]
pub fn job_work(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    let works = steps.map(|step| step_work(step, step.count));
    works.fold(0, u64::saturating_add)
}

/// Returns whether admission control applies to a job: its queue has an objective, and it neither
/// runs until it is cancelled nor at set times.
#[must_use]
pub fn is_subject(queue: &Queue, spec: &JobSpec) -> bool {
    !queue.target.is_zero() && spec.repeat.is_none() && !spec.is_long_running()
}

/// Returns whether a job begins with this step.
#[must_use]
pub const fn is_first_step(step: &StepSpec) -> bool {
    step.after.is_empty()
}

/// What the jobs of a cell add to a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    in_time: u64,
    late: u64,
    arrived: u64,
}

type Cells = Map<(bool, CellKey), Sums>;

impl Scheduler {
    /// Summarizes what waits, and what has arrived and was completed since the last call.
    pub fn take_backlog(&mut self, now: Mono) -> Backlog {
        let flow = std::mem::take(&mut self.work_flow);
        let mut cells = Cells::default();
        for (_, job) in self.open_jobs() {
            self.add_waiting_work(&mut cells, job, now);
        }
        for (cell, [ordinary, best_effort]) in flow.arrived {
            let key = |best_effort| (best_effort, cell.clone());
            add(&mut cells.entry(key(false)).or_default().arrived, ordinary);
            add(
                &mut cells.entry(key(true)).or_default().arrived,
                best_effort,
            );
        }
        let mut pools: Map<PoolKey, PoolSummary> = Map::default();
        for (_, executor) in self.fleet.iter() {
            if executor.accepts_tasks(now) {
                add_executor(&mut pools, executor);
            }
        }
        for ((best_effort, cell), sums) in cells {
            let Some(queue) = self.plan.queue(&cell.queue) else {
                continue;
            };
            let Some(pool) = pool_of(&mut pools, queue, best_effort) else {
                continue;
            };
            if sums.in_time == 0 && sums.late == 0 && sums.arrived == 0 {
                continue;
            }
            pool.cells.push(CellWork {
                priority: queue.priority,
                cell,
                in_time: sums.in_time,
                late: sums.late,
                arrived: sums.arrived,
            });
        }
        for (queue, works) in flow.completed {
            let Some(queue) = self.plan.queue(&queue) else {
                continue;
            };
            for best_effort in [false, true] {
                if let Some(pool) = pool_of(&mut pools, queue, best_effort) {
                    add(&mut pool.completed, works[usize::from(best_effort)]);
                }
            }
        }
        Backlog {
            queues: self.queues_with_objective(&pools),
            pools: pools.into_values().collect(),
        }
    }

    /// Returns the queues with an objective that have work, and whose service has work that waits.
    fn queues_with_objective(&self, pools: &Map<PoolKey, PoolSummary>) -> Vec<QueueSummary> {
        let waits = |service: &Arc<str>| {
            let mut of_service = pools.values().filter(|pool| pool.key.service == *service);
            of_service.any(|pool| {
                let mut cells = pool.cells.iter();
                cells.any(|cell| cell.in_time > 0 || cell.late > 0)
            })
        };
        // A document may have thousands of queues, and each one in the summary is estimated.
        let cells = pools.values().flat_map(|pool| &pool.cells);
        let used: Set<&str> = cells.map(|cell| &*cell.cell.queue).collect();
        let queues = self.plan.queues.iter();
        queues
            .filter(|queue| used.contains(&*queue.name))
            .filter(|queue| !queue.target.is_zero() && waits(&queue.service))
            .map(|queue| QueueSummary {
                queue: queue.name.clone(),
                service: queue.service.clone(),
                priority: queue.priority,
                class_limits: self.size_share.class_limits(&queue.name),
            })
            .collect()
    }

    fn add_waiting_work(&self, cells: &mut Cells, job: &Job, now: Mono) {
        if !job.has_waiting_tasks() || job.spec.is_long_running() || job.spec.repeat.is_some() {
            return;
        }
        let Some(queue) = self.plan.queue(&job.queue) else {
            return;
        };
        let Some(first) = job.first_unfinished_step() else {
            return;
        };
        let objective_ms = model::time::millis(objective_of(queue, &job.spec));
        let ends_ms =
            model::time::millis(job.age(now)).saturating_add(job.critical_path_from(first));
        if ends_ms > objective_ms.saturating_mul(u64::from(LATE_FACTOR)) {
            return;
        }
        let cell = self.cell_of(&job.queue, job.work);
        for (step, waiting) in job.waiting_tasks_by_step() {
            let sums = cells.entry((step.best_effort, cell.clone())).or_default();
            let sum = if ends_ms <= objective_ms {
                &mut sums.in_time
            } else {
                &mut sums.late
            };
            add(sum, step_work(step, waiting));
        }
    }

    /// Returns the cell of a job of this queue with this work.
    pub(crate) fn cell_of(&self, queue: &Arc<str>, work: u64) -> CellKey {
        CellKey {
            queue: queue.clone(),
            class: self.size_share.class_of(queue, work),
            magnitude: work.max(1).ilog2(),
        }
    }

    /// Returns whether all tasks with which a job begins fit into the capacity that is free now.
    #[must_use]
    pub fn has_room_to_begin<'s>(
        &self,
        service: &str,
        steps: impl IntoIterator<Item = &'s StepSpec>,
        now: Mono,
    ) -> bool {
        steps
            .into_iter()
            .all(|step| self.has_room_for_step(service, step, now))
    }

    fn has_room_for_step(&self, service: &str, step: &StepSpec, now: Mono) -> bool {
        let executors = self.fleet.iter().filter(|(_, executor)| {
            &*executor.listing.service == service
                && executor.accepts_tasks(now)
                && step
                    .label
                    .as_ref()
                    .is_none_or(|label| executor.has_label(label))
        });
        let fitting = executors.map(|(_, executor)| {
            let fitting = self.fitting_tasks(executor, step);
            u64::from(step.within_max_per_executor(fitting))
        });
        fitting.fold(0, u64::saturating_add) >= u64::from(step.count)
    }

    /// Returns how many tasks of a step fit into what is free on an executor.
    fn fitting_tasks(&self, executor: &Executor, step: &StepSpec) -> u32 {
        let fitting = units(&executor.free(), &step.allocated_size());
        if !step.best_effort {
            return fitting;
        }
        let suits = self.score(executor, step, Relaxation::NONE).is_some();
        let spare = crate::placement::spare_cpu(executor);
        let spare = spare.checked_div(step.size.cpu_millis).unwrap_or(u64::MAX);
        let spare = u32::try_from(spare).unwrap_or(u32::MAX);
        if suits { fitting.min(spare) } else { 0 }
    }
}

fn add_executor(pools: &mut Map<PoolKey, PoolSummary>, executor: &Executor) {
    let all = executor.listing.capacity.cpu_millis;
    for best_effort in [false, true] {
        let key = PoolKey {
            service: executor.listing.service.clone(),
            best_effort,
        };
        let held = if best_effort {
            0
        } else {
            executor.long_running_cpu_millis
        };
        let pool = pools.entry(key.clone()).or_insert_with(|| PoolSummary {
            key,
            cpu_millis: 0,
            completed: 0,
            cells: Vec::new(),
        });
        pool.cpu_millis = pool.cpu_millis.saturating_add(all.saturating_sub(held));
    }
}

/// Returns the pool of a queue's work, if the service has executors that accept tasks.
fn pool_of<'p>(
    pools: &'p mut Map<PoolKey, PoolSummary>,
    queue: &Queue,
    best_effort: bool,
) -> Option<&'p mut PoolSummary> {
    pools.get_mut(&PoolKey {
        service: queue.service.clone(),
        best_effort,
    })
}
