//! Orders to executors, and what follows from their answers.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::id::TaskId;
use crate::task::Assignment;
use crate::task::RunNumber;
use crate::task::StartState;

/// How long nothing more is placed on an executor that said it was full or unhealthy.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(400);
/// How long a task waits after an executor refused its start.
const START_BACKOFF: Duration = Duration::from_millis(50);

/// Something an executor is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a task.
    Start {
        /// Which, in the book.
        key: TaskKey,
        /// Which, by name.
        task: TaskId,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
        /// What the caller wants to be run.
        payload: Arc<str>,
        /// From which checkpoint it goes on.
        checkpoint: Option<Arc<str>>,
        /// What the advisor gave for it, where the queue has one.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run.
    Stop {
        /// Which, in the book; a run that the book does not know has none.
        key: Option<TaskKey>,
        /// Which, by name.
        task: TaskId,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
    },
    /// Let a run work with a share of its processor time.
    Throttle {
        /// Which, in the book.
        key: TaskKey,
        /// Which, by name.
        task: TaskId,
        /// The number of the start.
        run: RunNumber,
        /// Where.
        executor: ExecutorKey,
        /// The share in percent.
        cpu_percent: u32,
    },
}

impl Command {
    /// Returns the executor that it is for.
    #[must_use]
    pub const fn executor(&self) -> ExecutorKey {
        match self {
            Self::Start { executor, .. }
            | Self::Stop { executor, .. }
            | Self::Throttle { executor, .. } => *executor,
        }
    }
}

/// What an executor answered to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// It has not started and will not: there is no room.
    NoRoom,
    /// It has not started and will not: the deadline had passed on the executor's clock.
    TooLate,
    /// It has not started and will not: the run was stopped or has ended there before.
    Superseded,
    /// It has not started and will not: the executor is unhealthy or busy.
    Unhealthy,
    /// It has not started and will not: the executor takes the order for wrong.
    Invalid,
    /// It has not started and will not: the advisor's ticket is missing or no longer valid.
    NoTicket,
    /// No answer; it may still start.
    Unanswered,
}

impl Scheduler {
    /// Returns what executors are to be told now.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Releases the order to start a task whose assignment is stored.
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

    /// Returns whether an order to start is still wanted: not once its task is to stop, nor once its
    /// executor is about to leave.
    #[must_use]
    pub fn is_start_wanted(&self, key: TaskKey, run: RunNumber) -> bool {
        let Some(at) = self.unconfirmed_start(key, run) else {
            return false;
        };
        let leaves = self
            .fleet
            .get(at.executor)
            .is_none_or(|executor| executor.listing.draining);
        !at.stopping && !leaves
    }

    /// Takes back an order to start that is no longer wanted. If it was sent and has no answer, it may
    /// still be carried out, so that the run is stopped.
    pub fn withdraw_start(&mut self, key: TaskKey, run: RunNumber, now: Mono) {
        let Some(at) = self.unconfirmed_start(key, run) else {
            return;
        };
        if !at.start_unanswered {
            self.release(key, now);
        } else if !at.stopping {
            self.stop(key);
        }
    }

    /// Returns the assignment of a run whose order to start is out and not confirmed.
    fn unconfirmed_start(&self, key: TaskKey, run: RunNumber) -> Option<&Assignment> {
        let task = self.task(key).filter(|task| task.run == run)?;
        task.assignment()
            .filter(|at| at.start_state == StartState::Sent)
    }

    /// Takes in what an executor answered to an order to start.
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
                if let Some(at) = self.task_mut(key).and_then(|task| task.assignment_mut()) {
                    at.start_unanswered = true;
                }
            }
            StartAnswer::NoRoom | StartAnswer::Unhealthy => {
                if let Some(executor) = self.fleet.get_mut(executor) {
                    executor.not_before = now.after(REFUSAL_COOLDOWN);
                }
                self.start_refused(key, now);
            }
            StartAnswer::NoTicket => {
                self.ticket_refused(key, executor);
                self.start_refused(key, now);
            }
            StartAnswer::TooLate | StartAnswer::Superseded | StartAnswer::Invalid => {
                self.start_refused(key, now);
            }
        }
    }

    /// Takes back an assignment whose start was refused, unless an earlier copy of the order may
    /// still be carried out; then the run is stopped first, which the executor remembers.
    fn start_refused(&mut self, key: TaskKey, now: Mono) {
        let start_unanswered = self
            .task(key)
            .and_then(|task| task.assignment())
            .is_some_and(|at| at.start_unanswered);
        if start_unanswered {
            self.stop(key);
        } else {
            self.lose_run(key, LossReason::Refused, now.after(START_BACKOFF));
        }
    }

    fn start_confirmed(&mut self, key: TaskKey, now: Mono) {
        if let Some(at) = self.task_mut(key).and_then(|task| task.assignment_mut())
            && matches!(at.start_state, StartState::Sent)
        {
            at.start_state = StartState::Confirmed(now);
        }
        self.mark_job_started(key.job, now);
    }

    /// Has a task stopped; it is released once its executor says that it is gone.
    pub fn stop(&mut self, key: TaskKey) {
        let Some(task_id) = self.task_id(key) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let run = task.run;
        let Some(at) = task.assignment_mut() else {
            return;
        };
        at.stopping = true;
        let executor = at.executor;
        if at.start_state == StartState::Storing {
            return;
        }
        self.commands.push(Command::Stop {
            key: Some(key),
            task: task_id,
            run,
            executor,
        });
    }

    /// Takes in that an executor confirmed a stop: the run ends, or can no longer start there.
    pub fn stop_confirmed(&mut self, key: TaskKey, run: RunNumber, now: Mono) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        if task.run != run {
            return;
        }
        if let Some(at) = task.assignment_mut() {
            at.start_unanswered = false;
            at.start_state = StartState::Confirmed(now);
        }
    }

    /// Returns the share that a run is to have, while it is to run.
    #[must_use]
    pub fn cpu_share(&self, key: TaskKey, run: RunNumber) -> Option<u32> {
        let task = self.task(key).filter(|task| task.run == run)?;
        let at = task.assignment().filter(|at| !at.stopping)?;
        Some(at.cpu_percent)
    }

    /// Lets a run work with this share of its processor time; one that is not known to run yet begins
    /// with all of it, whatever it is told before.
    pub fn set_cpu_share(&mut self, key: TaskKey, cpu_percent: u32) {
        let Some(task_id) = self.task_id(key) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let run = task.run;
        let Some(at) = task.assignment_mut() else {
            return;
        };
        if !matches!(at.start_state, StartState::Confirmed(_)) {
            return;
        }
        at.cpu_percent = cpu_percent;
        at.cpu_percent_known = true;
        let executor = at.executor;
        self.commands.push(Command::Throttle {
            key,
            task: task_id,
            run,
            executor,
            cpu_percent,
        });
    }
}
