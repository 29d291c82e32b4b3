//! Which long-running tasks may be stopped so that other work finds room.
//!
//! A long-running task loses little when it is stopped: it has no progress, and its service goes on
//! with the other tasks of the step. See "Scarce capacity" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use crate::fleet::Executor;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::task::Phase;
use crate::task::StartState;
use crate::task::Task;

/// A task that began to run more recently than this may still be starting up, and counts as
/// unavailable.
const STARTUP: Duration = Duration::from_secs(8);

impl Scheduler {
    /// Returns the tasks on an executor that may be stopped together for the task `for_task`.
    pub(crate) fn preemptible_on(
        &self,
        executor: &Executor,
        for_task: TaskKey,
        now: Mono,
    ) -> Vec<TaskKey> {
        let mut tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        tasks.sort();
        let mut preemptible = Vec::new();
        for key in tasks {
            if self.is_preemptible(key, for_task, now)
                && self.may_be_unavailable(key, &preemptible, now)
            {
                preemptible.push(key);
            }
        }
        preemptible
    }

    /// Returns whether a task is long-running, belongs to a queue of no higher priority than
    /// `for_task`, and may be unavailable for a while.
    pub(crate) fn is_preemptible(&self, key: TaskKey, for_task: TaskKey, now: Mono) -> bool {
        self.is_long_running(key)
            && !self.step(key).is_some_and(|step| step.gang)
            && self.running_since(key).is_some()
            && self.priority_of(key) >= self.priority_of(for_task)
            && self.may_be_unavailable(key, &[], now)
    }

    /// Returns since when a task is known to run, unless it is being stopped.
    pub(crate) fn running_since(&self, key: TaskKey) -> Option<Mono> {
        let assignment = self.task(key)?.assignment()?;
        match assignment.start_state {
            StartState::Confirmed(since) if !assignment.stopping => Some(since),
            _ => None,
        }
    }

    /// Returns the priority of a task's queue, where 0 is the highest.
    fn priority_of(&self, key: TaskKey) -> u32 {
        let terms = self.job(key.job).and_then(|job| self.terms(job));
        terms.map_or(u32::MAX, |terms| terms.priority)
    }

    /// Returns whether the step of a task allows that it is unavailable as well as those of its tasks
    /// that are among `others`.
    pub(crate) fn may_be_unavailable(&self, key: TaskKey, others: &[TaskKey], now: Mono) -> bool {
        let limit = self.step(key).and_then(|step| step.max_unavailable);
        let Some(limit) = limit else {
            return true;
        };
        let is_unavailable = |member: &TaskKey| {
            let since = self.running_since(*member);
            since.is_none_or(|since| now.since(since) < STARTUP) || others.contains(member)
        };
        let members = self.members(key).into_iter();
        let unavailable = members.filter(is_unavailable).count();
        unavailable < limit as usize
    }

    /// Returns whether a task is long-running, waits and had a run before.
    pub(crate) fn is_interrupted_service(&self, key: TaskKey) -> bool {
        let has_run = |task: &Task| task.phase == Phase::Waiting && task.last_possible_run() > 0;
        self.is_long_running(key) && self.task(key).is_some_and(has_run)
    }

    /// Returns whether a task is long-running.
    pub(crate) fn is_long_running(&self, key: TaskKey) -> bool {
        self.step(key).is_some_and(|step| step.long_running)
    }
}
