//! Keeps tasks that may crash executors apart, from each other and from other tasks that have just
//! started.
//!
//! A crash says nothing about its cause if several runs had just started. A task under which
//! executors have crashed therefore starts where few tasks run and none is new, so that a further
//! crash tells whether it was the cause, and so that few others are lost with it.

use crate::fleet::Executor;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// The number of crashes from which a task starts only on an executor where no other run is new, and
/// no other task starts there until the executor has survived it.
pub(crate) const ISOLATED_FROM: u32 = 2;
/// How much worse it is for a suspected task to start beside another new run than beside one that has
/// run for a while.
const NEW_RUN_FACTOR: usize = 1_000;

impl Scheduler {
    /// Returns whether a task has to start alone.
    pub(crate) fn is_isolated(&self, key: TaskKey, step: &StepSpec) -> bool {
        !step.gang && self.crashes(key) >= ISOLATED_FROM
    }

    /// Returns how bad it is for a task to start beside the tasks on an executor, where lower is
    /// better, or `None` if it must not.
    pub(crate) fn exposure(
        &self,
        key: TaskKey,
        step: &StepSpec,
        executor: &Executor,
    ) -> Option<usize> {
        if self.crashes(key) > 0 {
            let new_runs = self.new_runs_on(executor);
            let excluded = new_runs > 0 && self.is_isolated(key, step);
            return (!excluded).then_some(new_runs * NEW_RUN_FACTOR + executor.tasks.len());
        }
        if executor.suspected_tasks == 0 {
            return Some(0);
        }
        let excluded = executor.tasks.iter().any(|other| {
            let step = self.step(*other);
            step.is_some_and(|step| self.is_isolated(*other, step))
        });
        (!excluded).then_some(executor.suspected_tasks as usize)
    }

    /// Returns the number of tasks on an executor that it has not survived yet.
    fn new_runs_on(&self, executor: &Executor) -> usize {
        let tasks = executor.tasks.iter().filter_map(|key| self.task(*key));
        tasks.filter(|task| task.cleared_run != task.run).count()
    }
}
