//! Which executors a task may be placed on at all.

use model::Size;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::scheduler::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::short_work::is_kept;
use crate::spec::StepSpec;

impl Scheduler {
    pub(crate) fn is_feasible(
        &self,
        executor_key: ExecutorKey,
        executor: &Executor,
        job: &Job,
        key: TaskKey,
        step: &StepSpec,
    ) -> bool {
        step.allocated_size().fits(&executor.free())
            && !(step.long_running && is_kept(executor))
            && self.admits_beside_reservation(executor, key, step)
            && self.meets_constraints(executor_key, executor, job, key, step)
    }

    /// Returns whether a task leaves enough to the task that an executor is reserved for: it is that
    /// task, or a best-effort task that takes none of the memory that is needed.
    pub(crate) fn admits_beside_reservation(
        &self,
        executor: &Executor,
        key: TaskKey,
        step: &StepSpec,
    ) -> bool {
        let Some(reservation) = executor.reservation else {
            return true;
        };
        if reservation.task == key {
            return true;
        }
        let reserved = self.step(reservation.task);
        let needed = reserved.map_or(Size::ZERO, StepSpec::allocated_size) + step.allocated_size();
        step.best_effort
            && needed.memory_mib <= executor.free().memory_mib
            && needed.accelerators <= executor.free().accelerators
    }

    /// Returns whether an executor satisfies the step's placement constraints, regardless of its
    /// free resources.
    pub(crate) fn meets_constraints(
        &self,
        executor_key: ExecutorKey,
        executor: &Executor,
        job: &Job,
        key: TaskKey,
        step: &StepSpec,
    ) -> bool {
        let label = step.label.as_ref();
        label.is_none_or(|label| executor.has_label(label))
            && self.within_max_per_executor(executor_key, job, key, step)
    }

    pub(crate) fn within_max_per_executor(
        &self,
        executor_key: ExecutorKey,
        job: &Job,
        key: TaskKey,
        step: &StepSpec,
    ) -> bool {
        step.max_per_executor == 0
            || self.step_tasks_on(executor_key, job, key) < step.max_per_executor
    }

    /// Returns how many tasks of the same step and occurrence are on an executor.
    fn step_tasks_on(&self, executor_key: ExecutorKey, job: &Job, key: TaskKey) -> u32 {
        let Some(location) = job.locate(key.slot) else {
            return 0;
        };
        let Some(executor) = self.fleet.get(executor_key) else {
            return 0;
        };
        let same_step = executor
            .tasks
            .iter()
            .filter(|other| other.job == key.job)
            .filter_map(|other| job.locate(other.slot))
            .filter(|other| (other.0, other.1) == (location.0, location.1))
            .count();
        u32::try_from(same_step).unwrap_or(u32::MAX)
    }
}

/// Returns whether an executor is in the rack of a step's data, or the step names none.
pub(crate) fn near_data(executor: &Executor, step: &StepSpec) -> bool {
    step.data_rack
        .as_ref()
        .is_none_or(|rack| executor.has_label(rack))
}
