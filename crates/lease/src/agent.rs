//! The contract that the agent of a worker keeps, as a state machine.
//!
//! The platform runs the agents. This machine says what fireflynotch relies on, and the model check
//! runs [`crate::ShardOwner`] against it. `docs/TASKS.md` lists the rules.

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

/// One run as the agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// Its class.
    pub class: ClassId,
    /// What it may use.
    pub size: Size,
    /// How it is doing.
    pub state: RunState,
    /// The last checkpoint stored of it, or the one it went on from.
    pub checkpoint: Option<CheckpointId>,
    /// The cap on its processor time, in thousandths of its size.
    pub throttle_permille: u16,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Start a run.
    Start {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
    },
    /// Store a checkpoint first if asked, then stop a run and call [`Agent::stopped`].
    Stop {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
        /// Whether to store a checkpoint.
        checkpoint: bool,
    },
    /// Apply the cap on a run's processor time.
    Throttle {
        /// The task.
        task: TaskId,
        /// Which run of it.
        attempt: Attempt,
    },
}

/// The agent of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    epoch: Epoch,
    message: u64,
    report: u64,
    made: BTreeMap<u64, Mono>,
    lease_until: Mono,
    longest_lease: Duration,
    runs: BTreeMap<(TaskId, Attempt), Run>,
}

impl Agent {
    /// Starts an agent. `life` is above those of all earlier agents of this worker, whose runs have
    /// all been stopped.
    #[must_use]
    pub const fn new(life: u32) -> Self {
        Self {
            epoch: Epoch(0),
            message: 0,
            report: (life as u64) << 32,
            made: BTreeMap::new(),
            lease_until: Mono::ZERO,
            longest_lease: Duration::ZERO,
            runs: BTreeMap::new(),
        }
    }

    /// Carries out a message and returns the answer and what the host has to do.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Fenced`] for an epoch below the highest one seen; nothing is done then.
    pub fn handle(
        &mut self,
        message: &WorkerMessage,
        now: Mono,
    ) -> (Result<WorkerReport, WorkerError>, Vec<Effect>) {
        if message.epoch < self.epoch {
            let fenced = WorkerError::Fenced { epoch: self.epoch };
            return (Err(fenced), Vec::new());
        }
        let mut effects = self.lapse(now);
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.message = 0;
        }
        if message.sequence > self.message {
            self.message = message.sequence;
            self.renew(message, now);
            for command in &message.commands {
                effects.extend(self.carry_out(command, now));
            }
        }
        (Ok(self.report(now)), effects)
    }

    /// Counts the lease from when the answered report was made, on the agent's own clock.
    fn renew(&mut self, message: &WorkerMessage, now: Mono) {
        let lease = Duration::from_millis(message.lease_ms);
        self.longest_lease = self.longest_lease.max(lease);
        if let Some(made) = self.made.get(&message.last_report) {
            self.lease_until = self.lease_until.max(made.after(lease));
        }
        let longest = self.longest_lease;
        self.made.retain(|_, made| now.since(*made) < longest);
    }

    fn carry_out(&mut self, command: &Command, now: Mono) -> Option<Effect> {
        match command.clone() {
            Command::Start {
                task,
                attempt,
                class,
                size,
                checkpoint,
            } => {
                let leased = now < self.lease_until;
                let known = self.newest(&task).is_some_and(|newest| newest >= attempt);
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

    fn newest(&self, task: &TaskId) -> Option<Attempt> {
        let runs = self.runs.keys().filter(|(name, _)| name == task);
        runs.map(|(_, attempt)| *attempt).max()
    }

    /// Stops every run once the lease has lapsed. The host calls this from a timer; a host that was
    /// suspended calls it before it lets any run go on.
    pub fn lapse(&mut self, now: Mono) -> Vec<Effect> {
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

    /// Notes that a run was stopped on request, with the checkpoint that was stored, if any.
    pub fn stopped(&mut self, task: &TaskId, attempt: Attempt, checkpoint: Option<CheckpointId>) {
        self.end(task, attempt, RunState::Stopped, checkpoint);
    }

    /// Notes that a run ended by itself.
    pub fn ended(&mut self, task: &TaskId, attempt: Attempt, succeeded: bool) {
        let state = if succeeded {
            RunState::Succeeded
        } else {
            RunState::Failed
        };
        self.end(task, attempt, state, None);
    }

    fn end(
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

    fn report(&mut self, now: Mono) -> WorkerReport {
        self.report += 1;
        self.made.insert(self.report, now);
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
            sequence: self.report,
            age_ms: 0,
            runs: runs.collect(),
        }
    }

    /// Returns the runs that have not been released.
    #[must_use]
    pub const fn runs(&self) -> &BTreeMap<(TaskId, Attempt), Run> {
        &self.runs
    }

    /// Returns the epoch that it obeys.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the sequence of the last message that it carried out under its epoch.
    #[must_use]
    pub const fn last_message(&self) -> u64 {
        self.message
    }

    /// Returns the sequence of the last report that it made.
    #[must_use]
    pub const fn last_report(&self) -> u64 {
        self.report
    }

    /// Returns when the lease lapses.
    #[must_use]
    pub const fn lease_until(&self) -> Mono {
        self.lease_until
    }
}
