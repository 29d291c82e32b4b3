//! Restores jobs from the records of a previous owner.

use std::sync::Arc;

use model::Mono;

use super::AbandonedRun;
use super::JobKey;
use super::JobState;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::id::JobId;
use crate::record::JobRecord;
use crate::record::TaskRecord;
use crate::spec::JobSpec;
use crate::task::Assignment;
use crate::task::Phase;
use crate::task::StartState;
use crate::terms::Terms;

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job's identifier.
    pub id: JobId,
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The time since the job arrived, in milliseconds.
    pub age_ms: u64,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The version of the row that records the submission.
    pub row_version: u64,
    /// The terms of the queue when the job was accepted, if they are stored.
    pub terms: Option<Terms>,
}

impl Scheduler {
    /// Adds a job in the state that a previous owner stored. A record of an earlier job under the
    /// same identifier is ignored.
    pub fn restore(&mut self, submission: Submission, record: &JobRecord, now: Mono) {
        if self.find(submission.id).is_some() {
            return;
        }
        if !record.belongs_to(submission.row_version) {
            self.submit(submission, now);
            return;
        }
        let Some(key) = self.submit(submission, now) else {
            return;
        };
        for slot in &record.done {
            self.restore_done(TaskKey {
                job: key,
                slot: *slot,
            });
        }
        for task in &record.tasks {
            self.restore_task(key, task, now);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.state = record.state();
            job.stored_state = job.state;
            job.waiting = u32::try_from(
                job.tasks
                    .iter()
                    .filter(|task| task.phase == Phase::Waiting)
                    .count(),
            )
            .unwrap_or(u32::MAX);
        }
        for run in &record.abandoned {
            self.restore_abandoned(key, run, now);
        }
        self.stop_remaining_tasks(key);
    }

    /// Restores an abandoned run. Its executor has to answer a poll before it gets tasks or leases,
    /// because it may list an end that must not be acknowledged.
    fn restore_abandoned(&mut self, key: JobKey, run: &AbandonedRun, now: Mono) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if run.slot as usize >= job.tasks.len() {
            return;
        }
        job.abandoned.push(run.clone());
        // Records do not tell by which run a task was done: not by this one, or it would be settled.
        let task = &mut job.tasks[run.slot as usize];
        if task.phase == Phase::Done {
            task.run = task.run.max(run.run.saturating_add(1));
        }
        let Some(id) = &run.executor else {
            self.has_unlocated_runs = true;
            return;
        };
        let executor = self.restore_executor(id, run.executor_started_unix_ms, now);
        if let Some(executor) = self.fleet.get_mut(executor) {
            let task = TaskKey {
                job: key,
                slot: run.slot,
            };
            executor.abandoned.push((task, run.run));
            executor.report_due_since = Some(now);
        }
    }

    /// Returns an executor that a record names. Its incarnation is the latest that any record names, because
    /// the runs of earlier ones are over. If the executor list was read before and shows an earlier one, only
    /// a poll tells which incarnation it is.
    fn restore_executor(
        &mut self,
        id: &Arc<str>,
        started_unix_ms: Option<u64>,
        now: Mono,
    ) -> ExecutorKey {
        let key = self.fleet.intern(id);
        if let Some(started_unix_ms) = started_unix_ms
            && let Some(executor) = self.fleet.get_mut(key)
            && executor.listing.started_unix_ms < started_unix_ms
        {
            if executor.listed {
                executor.incarnation_uncertain_since.get_or_insert(now);
            } else {
                executor.listing.started_unix_ms = started_unix_ms;
            }
        }
        key
    }

    /// Marks a task as succeeded. A record that names a task which the job does not have, or names one
    /// twice, must not end the takeover, because it would end each one.
    fn restore_done(&mut self, key: TaskKey) {
        if !self.is_restorable(key) {
            return;
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let Some((occurrence, step, _)) = job.locate(key.slot) else {
            return;
        };
        let group = job.group(occurrence, step);
        job.unfinished[group] = job.unfinished[group].saturating_sub(1);
        job.tasks[key.slot as usize].phase = Phase::Done;
    }

    fn restore_task(&mut self, job: JobKey, record: &TaskRecord, now: Mono) {
        let key = TaskKey {
            job,
            slot: record.slot,
        };
        if !self.is_restorable(key) {
            return;
        }
        let executor = record
            .executor
            .as_ref()
            .map(|id| self.restore_executor(id, record.executor_started_unix_ms, now));
        if let Some(executor) = executor.and_then(|key| self.fleet.get_mut(key))
            && executor.listing.address.is_empty()
            && let Some(address) = &record.address
        {
            executor.listing.address = address.clone();
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.run = record.run;
        task.failures = record.failures;
        task.failed_gang_runs.clone_from(&record.failed_gang_runs);
        task.stalls = record.stalls;
        task.crashes = record.crashes;
        task.checkpoint.clone_from(&record.checkpoint);
        let Some(executor) = executor else {
            self.note_inherited_interruption(key, now);
            return;
        };
        task.phase = Phase::Assigned(Assignment {
            executor,
            entry_started_unix_ms: 0,
            start_state: StartState::Inherited,
            assigned_at: now,
            stopping: false,
            start_unanswered: true,
            cpu_percent: 100,
            cpu_percent_known: false,
            metrics: None,
            relaxed: false,
            is_slow_by_itself: false,
            progress: None,
            throttled_since: None,
        });
        self.allocate(key, executor);
    }

    /// Returns whether a job has the task and nothing was restored for it yet.
    fn is_restorable(&self, key: TaskKey) -> bool {
        let task = self.task(key);
        task.is_some_and(|task| task.phase == Phase::Waiting && task.run == 0)
    }

    /// Stops the tasks of an ended job that are still assigned.
    fn stop_remaining_tasks(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if !job.state.is_final() {
            return;
        }
        if job.state == JobState::Succeeded {
            self.open.retain(|open| *open != key);
        }
        self.retired.schedule_cleanup(key);
        self.stop_all(key);
    }
}
