//! State changes of tasks and jobs: a task is assigned, released or completed, and a job starts or
//! ends.

use std::time::Duration;

use model::Mono;

use super::Event;
use super::JobKey;
use super::JobState;
use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::task::Assignment;
use crate::task::Phase;
use crate::task::RunNumber;
use crate::task::StartState;
use crate::task::Task;

impl Scheduler {
    /// Records the loss of a run and releases its task.
    pub(super) fn lose_run(&mut self, key: TaskKey, reason: LossReason, not_before: Mono) {
        let current = self
            .task(key)
            .and_then(|task| Some((task.run, task.assignment()?.executor)));
        if let Some((run, executor)) = current {
            let seen = self.seen_active(key);
            self.record_event(Event::RunLost {
                task: key,
                run,
                executor,
                reason,
                seen_ms: model::time::millis(seen),
            });
        }
        match reason {
            LossReason::Refused => self.release_unstarted(key, not_before),
            LossReason::LeaseExpired => {
                self.abandon_run(key, not_before);
                self.release(key, not_before);
            }
            _ => self.release(key, not_before),
        }
    }

    /// Returns the time from the confirmation of a task's run to the latest answer of its executor.
    fn seen_active(&self, key: TaskKey) -> Duration {
        let Some(assignment) = self.task(key).and_then(Task::assignment) else {
            return Duration::ZERO;
        };
        let executor = self.fleet.get(assignment.executor);
        match (assignment.start_state, executor) {
            (StartState::Confirmed(since), Some(executor)) => executor.answered_at.since(since),
            _ => Duration::ZERO,
        }
    }

    /// Returns the assignment of a task for modification.
    pub fn assignment_mut(&mut self, key: TaskKey) -> Option<&mut Assignment> {
        self.task_mut(key)?.assignment_mut()
    }

    /// Records an executor that should be avoided when the task starts again.
    pub(crate) fn set_failed_on(&mut self, key: TaskKey, executor: ExecutorKey) {
        if let Some(task) = self.task_mut(key) {
            task.failed_on = Some(executor);
        }
    }

    /// Counts a stop of a task because its progress has stalled, and keeps the task from its executor
    /// until a time. Returns how many stops there were.
    pub(crate) fn count_stall(&mut self, key: TaskKey, until: Mono) -> u32 {
        let Some(task) = self.task_mut(key) else {
            return 0;
        };
        task.stalls += 1;
        task.stalled_until = until;
        let stalls = task.stalls;
        self.mark_dirty(key.job);
        stalls
    }

    /// Allocates resources and assigns a task to an executor. The start command is sent once the
    /// row is stored.
    pub fn assign(&mut self, key: TaskKey, executor: ExecutorKey, now: Mono) {
        let run = self.task(key).map_or(1, |task| task.run + 1);
        self.assign_run(key, executor, run, now);
    }

    pub(super) fn assign_run(
        &mut self,
        key: TaskKey,
        executor: ExecutorKey,
        run: RunNumber,
        now: Mono,
    ) {
        let entry = self.fleet.get(executor);
        let entry_started_unix_ms = entry.map_or(0, |entry| entry.entry_started_unix_ms);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.run = run;
        task.phase = Phase::Assigned(Assignment {
            executor,
            entry_started_unix_ms,
            start_state: StartState::Storing,
            assigned_at: now,
            stopping: false,
            start_unanswered: false,
            cpu_percent: 100,
            cpu_percent_known: true,
            relaxed: false,
            throttled_since: None,
            metrics: None,
            is_slow_by_itself: false,
            progress: None,
        });
        self.allocate(key, executor);
        self.note_probe(executor);
        self.record_new_task(executor, now);
        self.record_capacity_change(key, executor, false);
        self.finish_place_wait(key, executor, now);
        if let Some(job) = self.jobs.get_mut(key.job) {
            job.waiting = job.waiting.saturating_sub(1);
        }
        self.mark_dirty(key.job);
    }

    /// Frees the resources of a task. Returns whether it was assigned.
    pub(super) fn unassign(&mut self, key: TaskKey) -> bool {
        let assignment = self.task(key).and_then(Task::assignment);
        let Some(executor) = assignment.map(|assignment| assignment.executor) else {
            return false;
        };
        self.deallocate(key, executor);
        self.record_capacity_change(key, executor, true);
        true
    }

    /// Removes the assignment of a task, which then waits for another start unless its job has
    /// ended.
    pub(super) fn release(&mut self, key: TaskKey, not_before: Mono) {
        if !self.unassign(key) {
            return;
        }
        if let Some(task) = self.task_mut(key) {
            task.phase = Phase::Waiting;
            task.not_before = not_before;
            task.unstarted_runs = 0;
        }
        if let Some(job) = self.jobs.get_mut(key.job) {
            job.waiting += 1;
            job.end_wait(key.slot);
        }
        self.mark_dirty(key.job);
    }

    /// Removes the assignment of a task whose current run has certainly never started.
    pub(super) fn release_unstarted(&mut self, key: TaskKey, not_before: Mono) {
        let earlier = self.task(key).map_or(0, |task| task.unstarted_runs);
        self.release(key, not_before);
        if let Some(task) = self.task_mut(key) {
            task.unstarted_runs = earlier + 1;
        }
    }

    /// Marks a task as succeeded, assigned or waiting, and its job if it was the last one.
    pub(super) fn complete(&mut self, key: TaskKey) {
        if self.task(key).is_none_or(|task| task.phase == Phase::Done) {
            return;
        }
        if !self.unassign(key)
            && let Some(job) = self.jobs.get_mut(key.job)
        {
            job.waiting = job.waiting.saturating_sub(1);
        }
        if let Some(task) = self.task_mut(key) {
            task.phase = Phase::Done;
            task.checkpoint = None;
        }
        self.mark_dirty(key.job);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        if let Some((occurrence, step, _)) = job.locate(key.slot) {
            let group = job.group(occurrence, step);
            job.unfinished[group] = job.unfinished[group].saturating_sub(1);
            if let Some(step) = job.spec.steps.get(step as usize) {
                self.work_flow.add_completed(&job.queue, step);
            }
        }
        if !job.state.is_final() && job.unfinished.iter().all(|unfinished| *unfinished == 0) {
            self.end_job(key.job, JobState::Succeeded);
        }
    }

    /// Marks a job as running, as one of its tasks has started.
    pub(super) fn mark_job_started(&mut self, key: JobKey, now: Mono) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state != JobState::Queued {
            return;
        }
        job.state = JobState::Running;
        let after_ms = model::time::millis(job.age(now));
        self.record_event(Event::JobStarted { job: key, after_ms });
    }

    pub(super) fn end_job(&mut self, key: JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = state;
        job.drop_last_abandoned_runs();
        self.mark_dirty(key);
        self.stop_all(key);
    }

    /// Stops all assigned tasks of a job.
    pub(super) fn stop_all(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let assigned: Vec<u32> = (0_u32..)
            .zip(&job.tasks)
            .filter(|(_, task)| task.assignment().is_some())
            .map(|(slot, _)| slot)
            .collect();
        for slot in assigned {
            self.stop(TaskKey { job: key, slot });
        }
    }

    /// Records whether a job can be in time, which decides when its changes are stored.
    pub(crate) fn set_urgent(&mut self, key: JobKey, is_urgent: bool) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.is_urgent = is_urgent;
        }
    }

    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.dirty = true;
            // The record of an ended job is small, so that it is tried again at once.
            job.set_aside &= !job.state.is_final();
            if job.set_aside {
                return;
            }
            self.dirty.add(key, job.is_urgent, &mut job.store_place);
        }
    }
}
