//! The workers of the model: their agents, and the messages that reach them.

use std::sync::Arc;

use model::id::Attempt;
use model::id::CheckpointId;
use model::id::TaskId;
use model::id::WorkerId;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use super::budget::BrokenRule;
use super::state::ModelState;
use super::state::WORKERS;
use crate::Event;
use crate::agent::Agent;
use crate::agent::Effect;

impl ModelState {
    fn agent(&mut self, worker: usize) -> &mut Agent {
        Arc::make_mut(&mut self.agents[worker])
    }

    /// Processes and answers the messages of the first daemon until none is in flight.
    pub(super) fn deliver_all_messages(&mut self, broken: BrokenRule) {
        while let Some((worker, _)) = self.daemons[0].messages.first() {
            self.deliver_message(0, *worker, broken);
        }
    }

    /// Removes and returns the first message in flight from a daemon to a worker.
    pub(super) fn take_message(&mut self, daemon: usize, worker: usize) -> WorkerMessage {
        let messages = &mut self.daemon(daemon).messages;
        let mut queue = messages.iter();
        let index = queue.position(|(to, _)| *to == worker);
        messages.remove(index.expect("a message is in flight")).1
    }

    /// Lets a worker process the first message of a daemon, and the daemon receive the answer.
    pub(super) fn deliver_message(&mut self, daemon: usize, worker: usize, broken: BrokenRule) {
        let message = self.take_message(daemon, worker);
        let answer = self.receive(worker, &message, broken);
        self.answer(daemon, worker, message.sequence, answer);
    }

    /// Lets a daemon receive the answer to a message.
    pub(super) fn answer(
        &mut self,
        daemon: usize,
        worker: usize,
        sequence: u64,
        answer: Result<WorkerReport, WorkerError>,
    ) {
        let event = Event::Answer {
            worker: WorkerId::from(WORKERS[worker]),
            sequence,
            answer,
        };
        self.handle_event(daemon, event);
    }

    /// Processes a message at a worker's agent, with the broken rule applied.
    pub(super) fn receive(
        &mut self,
        worker: usize,
        message: &WorkerMessage,
        broken: BrokenRule,
    ) -> Result<WorkerReport, WorkerError> {
        let now = self.now;
        let mut received = message.clone();
        match broken {
            BrokenRule::EpochUnchecked => {
                let current = self.agents[worker].epoch();
                received.epoch = received.epoch.max(current);
                received.sequence = self.agents[worker].last_message() + 1;
            }
            BrokenRule::LeaseFromReceipt => {
                let probe = WorkerMessage {
                    sequence: 0,
                    commands: Vec::new(),
                    ..message.clone()
                };
                let _ = self.agent(worker).handle(&probe, now);
                received.last_report = self.agents[worker].last_report();
            }
            BrokenRule::MessagesUnordered => {
                received.sequence = self.agents[worker].last_message() + 1;
            }
            _ => {}
        }
        let (mut answer, effects) = self.agent(worker).handle(&received, now);
        if let (BrokenRule::EpochUnchecked, Ok(report)) = (broken, &mut answer) {
            report.epoch = message.epoch;
        }
        self.apply_effects(worker, effects);
        answer
    }

    fn apply_effects(&mut self, worker: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { task, attempt } => {
                    let count = self.started.entry((task, attempt)).or_default();
                    *count += 1;
                    if *count > 1 {
                        self.record_violation("an attempt was started twice".to_owned());
                    }
                }
                Effect::Stop {
                    task,
                    attempt,
                    checkpoint,
                } => {
                    let name = CheckpointId::from(format!("{task}-{attempt}"));
                    let name = checkpoint.then_some(name);
                    if let Some(name) = &name {
                        self.saved_checkpoints.insert(task.clone(), name.clone());
                    }
                    self.agent(worker).run_stopped(&task, attempt, name);
                }
                Effect::Throttle { .. } => {}
            }
        }
        self.check_runs();
    }

    /// Ends a run successfully.
    pub(super) fn finish_run(&mut self, worker: usize, task: &TaskId, attempt: Attempt) {
        self.agent(worker).run_ended(task, attempt, true);
    }

    /// Restarts the host of a worker, with a new agent that runs nothing.
    pub(super) fn restart_worker(&mut self, worker: usize) {
        self.incarnations[worker] += 1;
        self.agents[worker] = Arc::new(Agent::new(self.incarnations[worker]));
    }

    /// Lets the host of a worker fail permanently.
    pub(super) fn kill_worker(&mut self, worker: usize) {
        self.restart_worker(worker);
        self.dead = Some(worker);
    }

    /// Returns whether a daemon's messages reach a worker.
    pub(super) fn reaches(&self, daemon: usize, worker: usize) -> bool {
        self.dead != Some(worker) && !self.partitions.contains(&(daemon, worker))
    }
}
