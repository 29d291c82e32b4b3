//! The contract that a worker's agent must fulfil, as a state machine.
//!
//! The platform implements the agents. This state machine specifies the behaviour that fireflynotch
//! relies on, and the model checker runs [`crate::ShardOwner`] against it. `docs/TASKS.md` lists
//! the rules.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunReport;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

/// The agent's state of one run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// The class of the task.
    pub class: ClassId,
    /// The resources that the run may use.
    pub size: Size,
    /// Whether the run is still running or how it ended.
    pub state: RunState,
    /// The last checkpoint that the run stored, or the one that it was resumed from.
    pub checkpoint: Option<CheckpointId>,
    /// The limit on the run's processor time, in thousandths of its size.
    pub throttle_permille: u16,
}

/// An action that the host has to execute.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Start a run.
    Start {
        /// The task to start.
        task: TaskId,
        /// The attempt of the task that the run belongs to.
        attempt: Attempt,
    },
    /// Store a checkpoint if requested, then stop the run and call [`Agent::run_stopped`].
    Stop {
        /// The task to stop.
        task: TaskId,
        /// The attempt of the task to stop.
        attempt: Attempt,
        /// Whether to store a checkpoint before stopping.
        checkpoint: bool,
    },
    /// Apply the limit on a run's processor time.
    Throttle {
        /// The task to throttle.
        task: TaskId,
        /// The attempt of the task to throttle.
        attempt: Attempt,
    },
}

/// The state machine of one worker's agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    epoch: Epoch,
    last_message: u64,
    last_report: u64,
    /// When each recent report was created, by sequence number.
    report_times: BTreeMap<u64, Mono>,
    lease_until: Mono,
    /// The longest lease duration in any message; older reports cannot renew the lease any more.
    max_lease: Duration,
    runs: BTreeMap<(TaskId, Attempt), Run>,
}

impl Agent {
    /// Creates an agent that runs nothing.
    ///
    /// `incarnation` must exceed those of all earlier agents of this worker, and all of their runs
    /// must have been stopped.
    #[must_use]
    pub const fn new(incarnation: u32) -> Self {
        Self {
            epoch: Epoch(0),
            last_message: 0,
            last_report: (incarnation as u64) << 32,
            report_times: BTreeMap::new(),
            lease_until: Mono::ZERO,
            max_lease: Duration::ZERO,
            runs: BTreeMap::new(),
        }
    }

    /// Processes a message and returns the answer and the effects that the host has to execute.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Fenced`], without any effect, if the message's epoch is below the
    /// highest one received.
    pub fn handle(
        &mut self,
        message: &WorkerMessage,
        now: Mono,
    ) -> (Result<WorkerReport, WorkerError>, Vec<Effect>) {
        if message.epoch < self.epoch {
            let fenced = WorkerError::Fenced { epoch: self.epoch };
            return (Err(fenced), Vec::new());
        }
        let mut effects = self.expire_lease(now);
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.last_message = 0;
        }
        if message.sequence > self.last_message {
            self.last_message = message.sequence;
            self.renew_lease(message, now);
            for command in &message.commands {
                effects.extend(self.execute(command, now));
            }
        }
        (Ok(self.make_report(now)), effects)
    }

    /// Extends the lease, starting from the creation time of the answered report on the agent's own
    /// clock.
    fn renew_lease(&mut self, message: &WorkerMessage, now: Mono) {
        let lease = Duration::from_millis(message.lease_ms);
        self.max_lease = self.max_lease.max(lease);
        if let Some(created_at) = self.report_times.get(&message.last_report) {
            self.lease_until = self.lease_until.max(created_at.after(lease));
        }
        let max_lease = self.max_lease;
        self.report_times
            .retain(|_, created_at| now.since(*created_at) < max_lease);
    }

    /// Executes a command. Commands without effect on the current runs are ignored.
    fn execute(&mut self, command: &Command, now: Mono) -> Option<Effect> {
        match command.clone() {
            Command::Start {
                task,
                attempt,
                class,
                size,
                checkpoint,
            } => {
                let leased = now < self.lease_until;
                let known = self
                    .latest_attempt(&task)
                    .is_some_and(|latest| latest >= attempt);
                if !leased || known {
                    return None;
                }
                let run = Run {
                    class,
                    size,
                    state: RunState::Running,
                    checkpoint,
                    throttle_permille: 1000,
                };
                self.runs.insert((task.clone(), attempt), run);
                Some(Effect::Start { task, attempt })
            }
            Command::Stop {
                task,
                attempt,
                checkpoint,
            } => {
                let run = self.runs.get(&(task.clone(), attempt))?;
                let running = run.state == RunState::Running;
                running.then_some(Effect::Stop {
                    task,
                    attempt,
                    checkpoint,
                })
            }
            Command::Throttle {
                task,
                attempt,
                permille,
            } => {
                let run = self.runs.get_mut(&(task.clone(), attempt))?;
                run.throttle_permille = permille;
                Some(Effect::Throttle { task, attempt })
            }
            Command::Release { task, attempt } => {
                let ended = |run: &Run| run.state != RunState::Running;
                if self.runs.get(&(task.clone(), attempt)).is_some_and(ended) {
                    self.runs.remove(&(task, attempt));
                }
                None
            }
        }
    }

    fn latest_attempt(&self, task: &TaskId) -> Option<Attempt> {
        let runs = self.runs.keys().filter(|(name, _)| name == task);
        runs.map(|(_, attempt)| *attempt).max()
    }

    /// Stops every run if the lease has expired.
    ///
    /// The host calls this from a timer. A host that was suspended calls it before it resumes any
    /// run.
    pub fn expire_lease(&mut self, now: Mono) -> Vec<Effect> {
        if now < self.lease_until {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for ((task, attempt), run) in &mut self.runs {
            if run.state == RunState::Running {
                run.state = RunState::Stopped;
                effects.push(Effect::Stop {
                    task: task.clone(),
                    attempt: *attempt,
                    checkpoint: false,
                });
            }
        }
        effects
    }

    /// Records that a run was stopped on request, with the checkpoint that was stored, if any.
    pub fn run_stopped(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        checkpoint: Option<CheckpointId>,
    ) {
        self.end_run(task, attempt, RunState::Stopped, checkpoint);
    }

    /// Records that a run exited on its own.
    pub fn run_ended(&mut self, task: &TaskId, attempt: Attempt, succeeded: bool) {
        let state = if succeeded {
            RunState::Succeeded
        } else {
            RunState::Failed
        };
        self.end_run(task, attempt, state, None);
    }

    fn end_run(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        state: RunState,
        checkpoint: Option<CheckpointId>,
    ) {
        if let Some(run) = self.runs.get_mut(&(task.clone(), attempt))
            && run.state == RunState::Running
        {
            run.state = state;
            run.checkpoint = checkpoint.or(run.checkpoint.take());
        }
    }

    fn make_report(&mut self, now: Mono) -> WorkerReport {
        self.last_report += 1;
        self.report_times.insert(self.last_report, now);
        let runs = self.runs.iter().map(|((task, attempt), run)| RunReport {
            task: task.clone(),
            attempt: *attempt,
            state: run.state,
            usage: Size::ZERO,
            checkpoint: run.checkpoint.clone(),
            progress_ms: 0,
            p99_us: None,
            throttle_permille: run.throttle_permille,
        });
        WorkerReport {
            epoch: self.epoch,
            sequence: self.last_report,
            age_ms: 0,
            runs: runs.collect(),
        }
    }

    /// Returns all runs, including ended ones that the owner has not released yet.
    #[must_use]
    pub const fn runs(&self) -> &BTreeMap<(TaskId, Attempt), Run> {
        &self.runs
    }

    /// Returns the highest epoch received, which is the one that the agent obeys.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the sequence number of the last message executed under the current epoch, or 0 if
    /// there is none.
    #[must_use]
    pub const fn last_message(&self) -> u64 {
        self.last_message
    }

    /// Returns the sequence number of the last report. Its upper 32 bits are the incarnation.
    #[must_use]
    pub const fn last_report(&self) -> u64 {
        self.last_report
    }

    /// Returns when the lease expires.
    #[must_use]
    pub const fn lease_until(&self) -> Mono {
        self.lease_until
    }
}
