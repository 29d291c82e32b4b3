//! Tasks under which executors crash.
//!
//! A task may crash each executor that starts it, and everything that runs there is lost with it. An
//! executor that crashed tells nothing about the cause, so every run that it had just started is
//! suspected. A run is cleared when its executor went on for a while after the start. A task whose runs
//! are suspected in several crashes in a row is given up. See "Tasks that crash executors" in
//! `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use super::Event;
use super::JobState;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::lease_record::SuspectedRun;
use crate::task::RunKnowledge;
use crate::task::RunNumber;
use crate::task::StartState;

/// How long an executor has to go on after it has started a run, to show that the run does not crash
/// it.
const CLEARED_AFTER: Duration = Duration::from_millis(1_000);
/// How long after the loss of a run a crash of its executor may become known.
const CRASH_KNOWN_WITHIN: Duration = Duration::from_secs(60);
/// The number of crashes after which a task is given up if no other job was suspected of the last.
const MAX_CRASHES_ALONE: u32 = 3;
/// The number of crashes after which a task is given up in any case.
const MAX_CRASHES: u32 = 4;

/// A run that was lost on a silent executor and is suspected if the executor turns out to have
/// crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexplainedLoss {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: RunNumber,
    /// When the run was lost.
    pub lost_at: Mono,
}

impl UnexplainedLoss {
    /// Returns whether the cause of the loss may still become known.
    #[must_use]
    pub fn is_open(&self, now: Mono) -> bool {
        now.since(self.lost_at) < CRASH_KNOWN_WITHIN
    }
}

impl Scheduler {
    /// Returns how many crashes a task is suspected of.
    pub(crate) fn crashes(&self, key: TaskKey) -> u32 {
        self.task(key).map_or(0, |task| task.crashes)
    }

    /// Records that a report that was requested at `sent` shows a run that was confirmed at
    /// `confirmed`.
    pub(super) fn clear_after(&mut self, key: TaskKey, confirmed: Mono, sent: Mono) {
        if sent.since(confirmed) >= CLEARED_AFTER {
            self.clear_of_suspicion(key);
        }
    }

    /// Records that a task's current run did not crash its executor. A task that crashes executors
    /// crashes each of them, so that earlier suspicions were wrong.
    pub(super) fn clear_of_suspicion(&mut self, key: TaskKey) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.cleared_run = task.run;
        if task.crashes > 0 {
            self.set_crashes(key, 0);
        }
    }

    /// Returns the tasks of an executor whose runs may have crashed it: none if it has announced that
    /// it shuts down.
    pub(super) fn suspects_on(&self, executor: ExecutorKey) -> Vec<TaskKey> {
        let Some(executor) = self.fleet.get(executor) else {
            return Vec::new();
        };
        if executor.announced_departure {
            return Vec::new();
        }
        let tasks = executor.tasks.iter().copied();
        let mut suspects: Vec<TaskKey> = tasks.filter(|key| self.is_suspect(*key)).collect();
        suspects.sort_unstable();
        suspects
    }

    /// Returns the runs on a silent executor that may have crashed it, as stored for a successor.
    pub(super) fn suspected_runs(&self, executor: ExecutorKey) -> Vec<SuspectedRun> {
        let suspects = self.suspects_on(executor).into_iter();
        let runs = suspects.filter_map(|key| {
            Some(SuspectedRun {
                job: self.job(key.job)?.id,
                slot: key.slot,
                run: self.task(key)?.run,
            })
        });
        runs.collect()
    }

    /// Takes over the suspected runs that the previous owner has stored for a silent executor. A run that
    /// is no longer assigned there has been counted, or its lease has expired.
    pub(super) fn inherit_suspects(&mut self, executor: ExecutorKey, suspects: &[SuspectedRun]) {
        for suspect in suspects {
            let Some(job) = self.find(suspect.job) else {
                continue;
            };
            let key = TaskKey {
                job,
                slot: suspect.slot,
            };
            if let Some(task) = self.task_mut(key)
                && task.run == suspect.run
                && task.assignment().is_some_and(|it| it.executor == executor)
            {
                task.suspected_run = suspect.run;
            }
        }
    }

    /// Returns whether a task's current run may have started and is not cleared. A run of a previous
    /// owner may have been cleared by that one, so that it counts only if that owner has stored it as
    /// suspected, or if executors have crashed under the task before.
    pub(super) fn is_suspect(&self, key: TaskKey) -> bool {
        let Some(task) = self.task(key) else {
            return false;
        };
        let Some(assignment) = task.assignment() else {
            return false;
        };
        let may_be_new = assignment.start_state != StartState::Inherited
            || task.crashes > 0
            || task.suspected_run == task.run;
        may_be_new
            && assignment.knowledge() != RunKnowledge::NotStarted
            && task.cleared_run != task.run
    }

    /// Records that the lease of a run has expired on a silent executor, which may have crashed.
    pub(super) fn record_unexplained_loss(&mut self, key: TaskKey, now: Mono) {
        if !self.is_suspect(key) {
            return;
        }
        let Some(task) = self.task(key) else {
            return;
        };
        let run = task.run;
        let executor = task.assignment().map(|assignment| assignment.executor);
        if let Some(executor) = executor.and_then(|executor| self.fleet.get_mut(executor))
            && !executor.announced_departure
        {
            executor.unexplained_losses.push(UnexplainedLoss {
                task: key,
                run,
                lost_at: now,
            });
        }
    }

    /// Returns the tasks whose runs were lost on an executor that is now known to have crashed, and
    /// that have not been cleared since.
    pub(super) fn take_unexplained_losses(&mut self, executor: ExecutorKey) -> Vec<TaskKey> {
        let Some(executor) = self.fleet.get_mut(executor) else {
            return Vec::new();
        };
        let losses = std::mem::take(&mut executor.unexplained_losses);
        let open = losses.into_iter().filter(|loss| {
            self.task(loss.task)
                .is_some_and(|task| task.cleared_run < loss.run)
        });
        open.map(|loss| loss.task).collect()
    }

    /// Counts a crash of an executor under each of the suspected tasks, and gives up those that are
    /// certain enough to have caused it.
    pub(super) fn count_crash(&mut self, executor: ExecutorKey, suspects: &[TaskKey]) {
        if suspects.is_empty() {
            return;
        }
        let open: Vec<TaskKey> = suspects
            .iter()
            .copied()
            .filter(|key| self.is_open(*key))
            .collect();
        for key in &open {
            let crashes = self.crashes(*key);
            self.set_crashes(*key, crashes + 1);
        }
        self.record_event(Event::ExecutorCrashed {
            executor,
            suspects: suspects.len(),
        });
        for key in open {
            if self.is_to_blame(key, suspects) {
                self.give_up(key, executor);
            }
        }
    }

    fn is_open(&self, key: TaskKey) -> bool {
        let job = self.job(key.job);
        job.is_some_and(|job| !job.state.is_final())
    }

    /// Returns whether a task is certain enough to have caused a crash, given the other suspects.
    fn is_to_blame(&self, key: TaskKey, suspects: &[TaskKey]) -> bool {
        let crashes = self.crashes(key);
        let is_alone = suspects.iter().all(|other| other.job == key.job);
        crashes >= MAX_CRASHES || (crashes >= MAX_CRASHES_ALONE && is_alone)
    }

    fn give_up(&mut self, key: TaskKey, executor: ExecutorKey) {
        if !self.is_open(key) {
            return;
        }
        let crashes = self.crashes(key);
        self.record_event(Event::TaskGivenUp {
            task: key,
            executor,
            crashes,
        });
        self.end_job(key.job, JobState::Failed);
    }

    /// Sets the number of crashes under a task, and keeps the count of suspected tasks on its
    /// executor.
    fn set_crashes(&mut self, key: TaskKey, crashes: u32) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let was_suspected = task.crashes > 0;
        task.crashes = crashes;
        let executor = task.assignment().map(|assignment| assignment.executor);
        if let Some(executor) = executor.and_then(|executor| self.fleet.get_mut(executor)) {
            executor.suspected_tasks -= u32::from(was_suspected);
            executor.suspected_tasks += u32::from(crashes > 0);
        }
        self.mark_dirty(key.job);
    }
}
