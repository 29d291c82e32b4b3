//! Processing of executors' reports about their runs.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use super::Command;
use super::Event;
use super::JobState;
use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::fleet::MAX_REPORTED_ENDS;
use crate::id::TaskId;
use crate::task::RunMetrics;
use crate::task::RunNumber;
use crate::task::StartState;

/// The backoff of a task after a failed run.
const FAILURE_BACKOFF: Duration = Duration::from_millis(20);
/// The minimum time since the latest confirmation of a run, of its start or of its stop, before a
/// run that should stop and is still reported as active is stopped again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// An executor's response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The start time of the executor's incarnation, in milliseconds since 1970; `None` if the
    /// response does not contain it.
    pub started_unix_ms: Option<u64>,
    /// The executor's clock in milliseconds.
    pub clock_ms: u64,
    /// The runs that are active.
    pub running: Vec<ActiveRun>,
    /// The runs that have ended and are not acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
}

/// An active run in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The task, or `None` if its name cannot be parsed.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: RunNumber,
    /// The latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The metrics of the run.
    pub metrics: RunMetrics,
}

/// An ended run in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The sequence number in the executor's list of ended runs.
    pub sequence: u64,
    /// The task, or `None` if its name cannot be parsed.
    pub task: Option<TaskId>,
    /// The number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, whether the task or the executor was at fault.
    Failed,
    /// The run was stopped, or it was ended together with other members of its gang.
    Interrupted,
    /// The executor's lease expired, which ended everything that ran there.
    LeaseExpired,
}

impl Report {
    /// Returns whether the report contains a run, active or ended.
    #[must_use]
    pub fn contains(&self, task: TaskId, run: RunNumber) -> bool {
        let running = self.running.iter().map(|one| (one.task, one.run));
        let ended = self.ended.iter().map(|one| (one.task, one.run));
        running.chain(ended).any(|one| one == (Some(task), run))
    }
}

impl RunOutcome {
    /// Returns the value used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Interrupted => "interrupted",
            Self::LeaseExpired => "lease_lapsed",
        }
    }
}

impl Scheduler {
    /// Processes a report; `sent` is when the poll was sent.
    pub fn report(&mut self, executor: ExecutorKey, report: &Report, sent: Mono, now: Mono) {
        self.locality.advance(now);
        let was_due = self.is_report_due(executor);
        if !self.accept_report(executor, report, sent, now) {
            return;
        }
        let withheld = self.withheld_ends(executor);
        for end in &report.ended {
            self.handle_ended(executor, end, now);
        }
        if self.withheld_ends(executor).is_empty() {
            self.forget_withheld(&withheld, report);
        }
        self.prune_abandoned(executor);
        self.begin_due_recovery(executor, now);
        if was_due && !self.is_report_due(executor) {
            self.resume_probe(executor, now);
            self.find_replaced_executors(now);
        }
        for run in &report.running {
            self.handle_running(executor, run, sent, now);
        }
        self.release_missing_runs(executor, report, sent, now);
    }

    fn handle_ended(&mut self, executor: ExecutorKey, end: &EndedRun, now: Mono) {
        let Some(known) = self.fleet.get_mut(executor) else {
            return;
        };
        if end.sequence <= known.ends_received {
            return;
        }
        if known.ends_received == known.ends_stored {
            self.unstored_ends.push(executor);
        }
        known.ends_received = end.sequence;
        if end.outcome == RunOutcome::LeaseExpired {
            known.withheld_ends.clear();
            self.end_recovery(executor, now);
        }
        let key = end.task.and_then(|task| self.task_key(task));
        let current = key.filter(|key| self.is_current(*key, end.run, executor));
        let Some(key) = current else {
            self.handle_late_end(executor, end, now);
            return;
        };
        self.record_event(Event::RunEnded {
            task: key,
            run: end.run,
            executor,
            outcome: end.outcome,
        });
        self.note_unstored_end(key.job, executor, end);
        self.update_checkpoint(key, end.checkpoint.as_ref());
        if matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            self.clear_of_suspicion(key);
            self.adapt_probe_lease(key, executor, false);
        }
        match end.outcome {
            RunOutcome::Done => self.handle_done(key, executor, now),
            RunOutcome::Failed => self.handle_failed(key, executor, now),
            RunOutcome::Interrupted | RunOutcome::LeaseExpired => {
                self.handle_interrupted(key, now);
            }
        }
    }

    fn is_current(&self, key: TaskKey, run: RunNumber, executor: ExecutorKey) -> bool {
        self.task(key).is_some_and(|task| {
            task.run == run
                && task
                    .assignment()
                    .is_some_and(|assignment| assignment.executor == executor)
        })
    }

    fn update_checkpoint(&mut self, key: TaskKey, checkpoint: Option<&Arc<str>>) {
        if let Some(checkpoint) = checkpoint
            && let Some(task) = self.task_mut(key)
        {
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    fn handle_done(&mut self, key: TaskKey, executor: ExecutorKey, now: Mono) {
        self.learn_duration(key, now);
        if let Some(executor) = self.fleet.get_mut(executor) {
            executor.failures.record_success();
        }
        if self.step(key).is_some_and(|step| step.long_running) {
            self.release(key, now);
        } else if self.step(key).is_some_and(|step| step.gang) {
            self.finish_gang(key);
        } else {
            self.complete(key);
        }
    }

    fn learn_duration(&mut self, key: TaskKey, now: Mono) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let Some(task) = job.tasks.get(key.slot as usize) else {
            return;
        };
        let Some((_, step, _)) = job.locate(key.slot) else {
            return;
        };
        let resumed = task.checkpoint.is_some();
        if let Some(assignment) = task.assignment()
            && let StartState::Confirmed(since) = assignment.start_state
            && !resumed
        {
            let spec = &job.spec.steps[step as usize];
            // Callers estimate runs near the data or in one rack, so that the same is learned.
            let took = now.since(since).div_f64(self.run_factor(key));
            self.durations
                .observe(&job.queue, spec, model::time::millis(took));
        }
    }

    fn handle_failed(&mut self, key: TaskKey, executor: ExecutorKey, now: Mono) {
        self.record_executor_failure(key, executor, now);
        let run = self.task(key).map_or(0, |task| task.run);
        self.count_failure(key, run);
        self.set_failed_on(key, executor);
        let long_running = self.step(key).is_some_and(|step| step.long_running);
        self.release(key, now.after(FAILURE_BACKOFF));
        let attempts = self.attempts(key);
        let failures = self.failures(key);
        self.record_event(Event::RunFailed {
            task: key,
            run,
            executor,
            failures,
            attempts,
        });
        let open = self
            .jobs
            .get(key.job)
            .is_some_and(|job| !job.state.is_final());
        let exhausted = attempts.is_some_and(|attempts| failures >= attempts);
        if !long_running && open && exhausted {
            self.end_job(key.job, JobState::Failed);
        }
    }

    /// Returns how many runs of a task may fail before its job fails, or `None` if the terms of the
    /// job are not known.
    pub(super) fn attempts(&self, key: TaskKey) -> Option<u32> {
        let terms = self.terms(self.job(key.job)?)?;
        Some(terms.attempts.max(1))
    }

    fn handle_interrupted(&mut self, key: TaskKey, now: Mono) {
        self.lose_run(key, LossReason::Interrupted, now);
    }

    fn handle_running(&mut self, executor: ExecutorKey, run: &ActiveRun, sent: Mono, now: Mono) {
        let Some(task_id) = run.task else {
            return;
        };
        let key = self.task_key(task_id);
        let Some(key) = key.filter(|key| self.is_current(*key, run.run, executor)) else {
            self.commands.push(Command::Stop {
                key: None,
                task: task_id,
                run: run.run,
                executor,
            });
            return;
        };
        self.update_checkpoint(key, run.checkpoint.as_ref());
        let mut stop_again = false;
        let mut starts = false;
        let mut confirmed = now;
        let mut inherited = false;
        if let Some(assignment) = self.task_mut(key).and_then(|task| task.assignment_mut()) {
            assignment.metrics = Some(run.metrics);
            assignment.start_unanswered = false;
            starts = assignment.start_state == StartState::Sent;
            inherited = assignment.start_state == StartState::Inherited;
            match assignment.start_state {
                StartState::Sent | StartState::Inherited => {
                    assignment.start_state = StartState::Confirmed(now);
                }
                StartState::Confirmed(since) => {
                    confirmed = since;
                    stop_again = assignment.stopping && now.since(since) > STOP_RETRY_INTERVAL;
                }
                StartState::Storing => {}
            }
        }
        if starts {
            self.throttle_at_start(key, now);
        }
        if inherited {
            // The executor has gone on for as long as the takeover has taken.
            self.clear_of_suspicion(key);
        }
        self.clear_after(key, confirmed, sent);
        self.mark_job_started(key.job, now);
        if let Some(job) = self.jobs.get(key.job)
            && job.state.is_final()
            && !stop_again
        {
            stop_again = job.tasks[key.slot as usize]
                .assignment()
                .is_some_and(|assignment| !assignment.stopping);
        }
        if stop_again {
            self.stop(key);
        }
    }

    /// Releases tasks whose runs the executor no longer lists and which can no longer start there.
    fn release_missing_runs(
        &mut self,
        executor: ExecutorKey,
        report: &Report,
        sent: Mono,
        now: Mono,
    ) {
        let Some(known) = self.fleet.get(executor) else {
            return;
        };
        if report.ended.len() >= MAX_REPORTED_ENDS {
            return;
        }
        let expected: Vec<TaskKey> = known
            .tasks
            .iter()
            .copied()
            .filter(|key| self.must_be_reported(*key, sent))
            .collect();
        for key in expected {
            let Some(id) = self.task_id(key) else {
                continue;
            };
            let is_active = report.running.iter().any(|run| run.task == Some(id));
            if !is_active {
                self.lose_run(key, LossReason::UnknownToExecutor, now);
            }
        }
    }

    /// Returns whether a report that was requested at `sent` has to contain a task's run if the run
    /// exists.
    fn must_be_reported(&self, key: TaskKey, sent: Mono) -> bool {
        let Some(assignment) = self.task(key).and_then(|task| task.assignment()) else {
            return false;
        };
        match assignment.start_state {
            StartState::Confirmed(since) => since < sent,
            // A restarted executor does not remember the epoch. While the previous owner still
            // sends commands, one of them could reach the executor after this poll.
            StartState::Inherited => sent >= self.previous_owner_sends_until,
            StartState::Storing | StartState::Sent => false,
        }
    }
}
