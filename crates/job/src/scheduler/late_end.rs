//! Ends of runs that were abandoned because their lease had expired.
//!
//! Such a run may have ended well before the expiry, and its executor lists that end once it can be
//! reached again. By then the task may have been started elsewhere. An end that is acknowledged
//! counts, so that it must not be acknowledged after a later start of the same task, unless the
//! executor itself reports that the lease expired after the end. See "Late ends" in `docs/JOBS.md`.

use std::sync::Arc;

use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use super::EndedRun;
use super::Event;
use super::Job;
use super::JobState;
use super::Report;
use super::RunOutcome;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::task::Phase;
use crate::task::RunNumber;
use crate::task::StartState;

/// A run whose lease expired while its executor was unreachable, so that its end is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbandonedRun {
    /// The task's index among all tasks of the job.
    #[serde(rename = "n")]
    pub slot: u32,
    /// The number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// The executor that may list the end; `None` in records of earlier releases.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub executor: Option<Arc<str>>,
    /// The incarnation of that executor: its start time in milliseconds since 1970.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub executor_started_unix_ms: Option<u64>,
}

impl AbandonedRun {
    /// Returns whether this is the run of a task with this number.
    #[must_use]
    pub const fn is(&self, slot: u32, run: RunNumber) -> bool {
        self.slot == slot && self.run == run
    }
}

impl Job {
    /// Removes abandoned runs that no later run of their task has followed. Once the job has ended,
    /// their ends have no effect.
    pub(super) fn drop_last_abandoned_runs(&mut self) {
        let tasks = &self.tasks;
        self.abandoned
            .retain(|run| tasks[run.slot as usize].run > run.run);
    }

    /// Returns an abandoned run of a task.
    pub(super) fn abandoned_run(&self, slot: u32, run: RunNumber) -> Option<&AbandonedRun> {
        let mut abandoned = self.abandoned.iter();
        abandoned.find(|abandoned| abandoned.is(slot, run))
    }

    fn is_abandoned(&self, slot: u32, run: RunNumber) -> bool {
        self.abandoned_run(slot, run).is_some()
    }
}

impl Scheduler {
    /// Records that the current run of a task is abandoned. Its executor gets neither tasks nor leases
    /// until it has answered a poll, which may show an end that must not be acknowledged.
    pub(super) fn abandon_run(&mut self, key: TaskKey, now: Mono) {
        let restarts_anyway = self.step(key).is_none_or(|step| step.long_running);
        let Some((run, executor)) = self
            .task(key)
            .and_then(|task| Some((task.run, task.assignment()?.executor)))
        else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(key.job)
            && !job.state.is_final()
            && !restarts_anyway
        {
            let known = self.fleet.get_mut(executor);
            job.abandoned.push(AbandonedRun {
                slot: key.slot,
                run,
                executor: known.as_ref().map(|known| known.listing.id.clone()),
                executor_started_unix_ms: known.as_ref().map(|known| known.listing.started_unix_ms),
            });
            if let Some(known) = known {
                known.abandoned.push((key, run));
                known.report_due_since = Some(now);
            }
        }
    }

    /// Processes the end of a run that is not the current run of its task on the executor.
    pub(super) fn handle_late_end(&mut self, executor: ExecutorKey, end: &EndedRun, now: Mono) {
        let Some(id) = end.task else {
            return;
        };
        let Some(key) = self.task_key(id) else {
            if self.retired.is_abandoned(id, end.run) {
                self.withhold_acknowledgement(executor, end);
            }
            return;
        };
        let job = self.jobs.get(key.job);
        if !job.is_some_and(|job| job.is_abandoned(key.slot, end.run)) {
            return;
        }
        let settled = match end.outcome {
            RunOutcome::Done => self.finish_abandoned(key, end.run),
            RunOutcome::Failed => self.count_abandoned_failure(key, end.run, now),
            RunOutcome::Interrupted | RunOutcome::LeaseExpired => true,
        };
        if settled {
            self.note_unstored_end(key.job, executor, end);
            self.forget_abandoned(key, end.run);
        } else {
            self.withhold_acknowledgement(executor, end);
        }
    }

    /// Marks a task as succeeded whose abandoned run has succeeded, provided that no later run was
    /// started. Returns whether it did.
    fn finish_abandoned(&mut self, key: TaskKey, run: RunNumber) -> bool {
        if !self.may_accept_late_end(key, run) {
            return false;
        }
        if self.step(key).is_some_and(|step| step.gang) {
            self.finish_gang(key);
        } else {
            self.complete(key);
        }
        true
    }

    /// Counts a failure of an abandoned run. Returns `false` if a later run was started that would
    /// not have been with this failure.
    fn count_abandoned_failure(&mut self, key: TaskKey, run: RunNumber, now: Mono) -> bool {
        let is_new = !self.is_failure_counted(key, run);
        let failures = self.failures(key) + u32::from(is_new);
        let exhausted = self
            .attempts(key)
            .is_some_and(|attempts| failures >= attempts);
        let accepted = self.may_accept_late_end(key, run);
        if exhausted && !accepted {
            return false;
        }
        self.count_failure(key, run);
        self.mark_dirty(key.job);
        if exhausted {
            self.release(key, now);
            self.end_job(key.job, JobState::Failed);
        }
        true
    }

    /// Returns whether no run after `run` can have been started, neither of the task nor of another
    /// member of its gang.
    fn may_accept_late_end(&self, key: TaskKey, run: RunNumber) -> bool {
        let is_open = self.job(key.job).is_some_and(|job| !job.state.is_final());
        let is_gang = self.step(key).is_some_and(|step| step.gang);
        let affected = if is_gang {
            self.members(key)
        } else {
            vec![key]
        };
        is_open
            && affected.into_iter().all(|key| {
                self.task(key).is_some_and(|task| match &task.phase {
                    Phase::Waiting => task.last_possible_run() == run,
                    Phase::Assigned(assignment)
                        if assignment.start_state == StartState::Storing =>
                    {
                        task.last_possible_run() == run + 1
                    }
                    Phase::Assigned(_) => task.run == run && is_gang,
                    Phase::Done => false,
                })
            })
    }

    /// Returns the ends of an executor that must not be acknowledged.
    pub(super) fn withheld_ends(&self, executor: ExecutorKey) -> Vec<u64> {
        let executor = self.fleet.get(executor);
        executor.map_or_else(Vec::new, |executor| executor.withheld_ends.clone())
    }

    /// Removes runs from an executor's list of abandoned ones that are settled, or whose job is gone.
    pub(super) fn prune_abandoned(&mut self, key: ExecutorKey) {
        let jobs = &self.jobs;
        if let Some(executor) = self.fleet.get_mut(key) {
            executor.abandoned.retain(|(task, run)| {
                let job = jobs.get(task.job);
                job.is_some_and(|job| job.is_abandoned(task.slot, *run))
            });
        }
    }

    /// Forgets the abandoned runs whose ends were withheld and may be acknowledged now.
    pub(super) fn forget_withheld(&mut self, withheld: &[u64], report: &Report) {
        let ends = report.ended.iter();
        for end in ends.filter(|end| withheld.contains(&end.sequence)) {
            if let Some(key) = end.task.and_then(|task| self.task_key(task)) {
                self.forget_abandoned(key, end.run);
            }
        }
    }

    pub(super) fn forget_abandoned(&mut self, key: TaskKey, run: RunNumber) {
        let slot = key.slot;
        let job = self.jobs.get(key.job);
        if !job.is_some_and(|job| job.is_abandoned(slot, run)) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(key.job) {
            job.abandoned.retain(|abandoned| !abandoned.is(slot, run));
        }
        self.mark_dirty(key.job);
    }

    /// Withholds the acknowledgement of an end, and with it those of all later ends on the
    /// executor.
    fn withhold_acknowledgement(&mut self, executor: ExecutorKey, end: &EndedRun) {
        if !matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            return;
        }
        if let Some(known) = self.fleet.get_mut(executor) {
            known.withheld_ends.push(end.sequence);
        }
        if let Some(task) = end.task {
            self.record_event(Event::EndWithheld {
                task,
                run: end.run,
                executor,
                outcome: end.outcome,
            });
        }
    }
}
