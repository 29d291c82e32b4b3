//! Gangs: steps whose tasks only work together.

use super::Scheduler;
use super::TaskKey;
use crate::task::Phase;
use crate::task::RunNumber;

impl Scheduler {
    /// Returns all tasks of the step that a task belongs to.
    pub(crate) fn members(&self, key: TaskKey) -> Vec<TaskKey> {
        let Some(job) = self.job(key.job) else {
            return Vec::new();
        };
        let Some((occurrence, step, _)) = job.locate(key.slot) else {
            return Vec::new();
        };
        let first = job.first_slot(occurrence, step);
        let count = job.spec.steps[step as usize].count;
        (first..first + count)
            .map(|slot| TaskKey { job: key.job, slot })
            .collect()
    }

    /// Marks all members of a gang as succeeded, because the success of one member implies that of
    /// the others, even if their own runs were lost.
    pub(super) fn finish_gang(&mut self, key: TaskKey) {
        for member in self.members(key) {
            self.complete(member);
        }
    }

    /// Counts the failure of a run. A run of a gang counts once, however many members fail in it.
    pub(super) fn count_failure(&mut self, key: TaskKey, run: RunNumber) {
        if self.is_failure_counted(key, run) {
            return;
        }
        let is_gang = self.step(key).is_some_and(|step| step.gang);
        if let Some(task) = self.task_mut(key) {
            task.failures += 1;
            if is_gang {
                task.failed_gang_runs.push(run);
            }
        }
    }

    /// Returns whether a member of a gang has already counted the failure of this run.
    pub(super) fn is_failure_counted(&self, key: TaskKey, run: RunNumber) -> bool {
        self.step(key).is_some_and(|step| step.gang)
            && self.members(key).into_iter().any(|member| {
                self.task(member)
                    .is_some_and(|task| task.failed_gang_runs.contains(&run))
            })
    }

    /// Returns the number of failed runs of a task, or of its gang.
    pub(super) fn failures(&self, key: TaskKey) -> u32 {
        if !self.step(key).is_some_and(|step| step.gang) {
            return self.task(key).map_or(0, |task| task.failures);
        }
        self.members(key)
            .into_iter()
            .filter_map(|member| self.task(member))
            .map(|task| task.failures)
            .sum()
    }

    /// Returns whether all members of a gang are waiting, so that they can start together.
    #[must_use]
    pub fn is_gang_waiting(&self, key: TaskKey) -> bool {
        self.members(key).into_iter().all(|member| {
            self.task(member)
                .is_some_and(|task| task.phase == Phase::Waiting)
        })
    }

    /// Assigns all members of a gang with the same run number and checkpoint.
    pub fn assign_gang(
        &mut self,
        placements: &[(TaskKey, crate::fleet::ExecutorKey)],
        now: model::Mono,
    ) {
        let newest = placements
            .iter()
            .filter_map(|(key, _)| self.task(*key))
            .map(|task| task.run)
            .max()
            .unwrap_or(0);
        let checkpoint = placements
            .iter()
            .find_map(|(key, _)| self.task(*key)?.checkpoint.clone());
        for (key, executor) in placements {
            if let Some(task) = self.task_mut(*key) {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.assign_run(*key, *executor, newest + 1, now);
        }
    }
}
