//! Commands to executors, and the handling of their responses.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use super::CooldownReason;
use super::Event;
use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::id::TaskId;
use crate::task::Assignment;
use crate::task::RunKnowledge;
use crate::task::RunNumber;
use crate::task::StartState;
use crate::task::Task;

/// How long no task is placed on an executor that reported that it was full or unhealthy.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(400);
/// The backoff of a task after an executor refused its start.
const START_BACKOFF: Duration = Duration::from_millis(50);

/// A command to an executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Starts a run of a task.
    Start {
        /// The scheduler's key of the task.
        key: TaskKey,
        /// The identifier of the task.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The executor that the command is for.
        executor: ExecutorKey,
        /// The payload that the caller submitted.
        payload: Arc<str>,
        /// The checkpoint to resume from, if there is one.
        checkpoint: Option<Arc<str>>,
        /// The advisor's ticket, if the queue has an advisor.
        ticket: Option<Arc<str>>,
    },
    /// Stops a run.
    Stop {
        /// The scheduler's key of the task; `None` for a run that is unknown to the scheduler.
        key: Option<TaskKey>,
        /// The identifier of the task.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The executor that the command is for.
        executor: ExecutorKey,
    },
    /// Limits the CPU share of a run.
    Throttle {
        /// The scheduler's key of the task.
        key: TaskKey,
        /// The identifier of the task.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
        /// The executor that the command is for.
        executor: ExecutorKey,
        /// The CPU share in percent.
        cpu_percent: u32,
    },
}

impl Command {
    /// Returns the executor that the command is for.
    #[must_use]
    pub const fn executor(&self) -> ExecutorKey {
        match self {
            Self::Start { executor, .. }
            | Self::Stop { executor, .. }
            | Self::Throttle { executor, .. } => *executor,
        }
    }
}

/// An executor's response to a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The run exists on the executor.
    Started,
    /// The run has not started and will not: the executor has too few free resources.
    NoRoom,
    /// The run has not started and will not: the deadline had passed on the executor's clock.
    TooLate,
    /// The run will not start any more: it was stopped there, or an earlier copy of the command
    /// started it and it has ended.
    Superseded,
    /// The run has not started and will not: the executor is unhealthy or busy.
    Unhealthy,
    /// The run has not started and will not: the executor considers the command invalid.
    Invalid,
    /// The run has not started and will not: the advisor's ticket is missing or no longer valid.
    NoTicket,
    /// There was no response; the run may still start.
    Unanswered,
}

impl Scheduler {
    /// Removes and returns the commands to be sent to executors.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Queues the start command of a task whose assignment is stored.
    pub(super) fn command_start(&mut self, key: TaskKey, now: Mono) {
        let Some(task_id) = self.task_id(key) else {
            return;
        };
        let Some(payload) = self.job(key.job).map(|job| job.spec.payload.clone()) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let run = task.run;
        let checkpoint = task.checkpoint.clone();
        let Some(assignment) = task.assignment_mut() else {
            return;
        };
        assignment.start_state = StartState::Sent;
        let executor = assignment.executor;
        let ticket = self.ticket(key, executor, now);
        self.commands.push(Command::Start {
            key,
            task: task_id,
            run,
            executor,
            payload,
            checkpoint,
            ticket,
        });
    }

    /// Returns whether a start command should still be sent. It should not once its task is to stop,
    /// the document lacks its queue or sends it to another service, its executor drains, is in an
    /// evacuated data centre, has been replaced or may be another incarnation than the one that was
    /// chosen, or it no longer fits on an executor that would execute it nevertheless.
    #[must_use]
    pub fn is_start_wanted(&self, key: TaskKey, run: RunNumber) -> bool {
        let Some(assignment) = self.unconfirmed_start(key, run) else {
            return false;
        };
        let unsuitable = self.fleet.get(assignment.executor).is_none_or(|executor| {
            executor.listing.draining
                || executor.evacuated
                || executor.is_replaced
                || !executor.is_still_chosen_by_entry(assignment)
                || self.is_overcommitted(executor)
        });
        let queue = self
            .job(key.job)
            .and_then(|job| self.plan.queue(&job.queue));
        let runs_there = self
            .fleet
            .get(assignment.executor)
            .zip(queue)
            .is_some_and(|(executor, queue)| executor.listing.service == queue.service);
        runs_there && !assignment.stopping && !unsuitable
    }

    /// Withdraws a start command that should no longer be sent. If it was sent before without a
    /// response, it may still take effect, so the run is stopped instead of released.
    pub fn withdraw_start(&mut self, key: TaskKey, run: RunNumber, now: Mono) {
        let Some(assignment) = self.unconfirmed_start(key, run).cloned() else {
            return;
        };
        if !assignment.stopping {
            self.count_withdrawn_start(assignment.executor);
        }
        if !assignment.start_unanswered {
            self.release_unstarted(key, now);
        } else if !assignment.stopping {
            self.stop(key);
        }
    }

    /// Returns the assignment of a run whose start command was issued and is not confirmed.
    fn unconfirmed_start(&self, key: TaskKey, run: RunNumber) -> Option<&Assignment> {
        let task = self.task(key).filter(|task| task.run == run)?;
        task.assignment()
            .filter(|assignment| assignment.start_state == StartState::Sent)
    }

    /// Processes an executor's response to a start command.
    pub fn start_answered(&mut self, key: TaskKey, run: RunNumber, answer: StartAnswer, now: Mono) {
        let current = self.task(key).is_some_and(|task| task.run == run);
        let Some(executor) = self
            .task(key)
            .and_then(|task| Some(task.assignment()?.executor))
        else {
            return;
        };
        if !current {
            return;
        }
        match answer {
            StartAnswer::Started => self.start_confirmed(key, now),
            StartAnswer::Unanswered => {
                if let Some(assignment) = self.task_mut(key).and_then(|task| task.assignment_mut())
                {
                    assignment.start_unanswered = true;
                }
                self.mark_suspicion_changed(executor);
            }
            StartAnswer::NoRoom | StartAnswer::Unhealthy => {
                if let Some(executor) = self.fleet.get_mut(executor) {
                    let cooldown_until = now.after(REFUSAL_COOLDOWN);
                    executor.not_before = executor.not_before.max(cooldown_until);
                }
                self.record_event(Event::CooldownStarted {
                    executor,
                    task: key,
                    reason: CooldownReason::Refused,
                });
                if answer == StartAnswer::Unhealthy {
                    self.set_failed_on(key, executor);
                }
                self.start_refused(key, now);
            }
            StartAnswer::NoTicket => {
                self.ticket_refused(key, executor);
                self.start_refused(key, now);
            }
            StartAnswer::TooLate => {
                self.adapt_probe_lease(key, executor, true);
                self.start_refused(key, now);
            }
            StartAnswer::Invalid => self.start_refused(key, now),
            StartAnswer::Superseded => self.start_superseded(key, now),
        }
    }

    /// Releases a task whose start was refused, if no copy of the command was or will be executed.
    ///
    /// A refusal applies to one copy of the command. If a report has shown the run, an earlier copy
    /// was executed and reports decide what becomes of it. If an earlier copy may still take
    /// effect, the run is stopped first; the executor then rejects that copy.
    fn start_refused(&mut self, key: TaskKey, now: Mono) {
        let Some(assignment) = self.task(key).and_then(Task::assignment) else {
            return;
        };
        match assignment.knowledge() {
            RunKnowledge::Started => {}
            RunKnowledge::MayStart => self.stop(key),
            RunKnowledge::NotStarted => {
                self.lose_run(key, LossReason::Refused, now.after(START_BACKOFF));
            }
        }
    }

    /// Processes a refusal because the run, or a later one, has been stopped or has ended on the
    /// executor. The run cannot start any more, but it may have succeeded: the next report that is
    /// requested from now on either contains its end or shows that it never ran.
    fn start_superseded(&mut self, key: TaskKey, now: Mono) {
        if let Some(assignment) = self.assignment_mut(key)
            && assignment.knowledge() != RunKnowledge::Started
        {
            assignment.start_state = StartState::Confirmed(now);
            assignment.start_unanswered = false;
        }
    }

    fn start_confirmed(&mut self, key: TaskKey, now: Mono) {
        if let Some(assignment) = self.task_mut(key).and_then(|task| task.assignment_mut())
            && matches!(assignment.start_state, StartState::Sent)
        {
            assignment.start_state = StartState::Confirmed(now);
            self.throttle_at_start(key, now);
        }
        self.mark_job_started(key.job, now);
    }

    /// Stops a run. Its task is released once the executor reports that the run is gone.
    pub fn stop(&mut self, key: TaskKey) {
        let Some(task_id) = self.task_id(key) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let run = task.run;
        let Some(assignment) = task.assignment_mut() else {
            return;
        };
        assignment.stopping = true;
        let executor = assignment.executor;
        if assignment.start_state == StartState::Storing {
            return;
        }
        self.commands.push(Command::Stop {
            key: Some(key),
            task: task_id,
            run,
            executor,
        });
    }

    /// Processes the confirmation of a stop: the run ends, or can no longer start on the executor.
    pub fn stop_confirmed(&mut self, key: TaskKey, run: RunNumber, now: Mono) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        if task.run != run {
            return;
        }
        if let Some(assignment) = task.assignment_mut() {
            assignment.start_unanswered = false;
            assignment.start_state = StartState::Confirmed(now);
        }
    }

    /// Returns the CPU share that a run should have, or `None` if it should not run.
    #[must_use]
    pub fn cpu_share(&self, key: TaskKey, run: RunNumber) -> Option<u32> {
        let task = self.task(key).filter(|task| task.run == run)?;
        let assignment = task
            .assignment()
            .filter(|assignment| !assignment.stopping)?;
        Some(assignment.cpu_percent)
    }

    /// Sets the CPU share of a run. Has no effect on a run that is not confirmed yet, because every
    /// run starts with its full share, whatever it was sent before.
    pub fn set_cpu_share(&mut self, key: TaskKey, cpu_percent: u32) {
        let Some(task_id) = self.task_id(key) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let run = task.run;
        let Some(assignment) = task.assignment_mut() else {
            return;
        };
        if !matches!(assignment.start_state, StartState::Confirmed(_)) {
            return;
        }
        assignment.cpu_percent = cpu_percent;
        assignment.cpu_percent_known = true;
        let executor = assignment.executor;
        self.commands.push(Command::Throttle {
            key,
            task: task_id,
            run,
            executor,
            cpu_percent,
        });
    }
}
