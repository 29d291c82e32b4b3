//! The execution of commands by an agent.

use std::time::Duration;

use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunState;

use super::Agent;
use crate::worker::ledger::RunEvent;
use crate::worker::program::Completion;
use crate::worker::program::RunSpec;
use crate::worker::run::Run;
use crate::worker::run::StopRequest;

impl Agent {
    pub(super) fn execute(&mut self, command: &Command) {
        match command {
            Command::Start {
                task,
                attempt,
                class,
                size,
                checkpoint,
            } => {
                let spec = RunSpec {
                    task: task.clone(),
                    attempt: *attempt,
                    class: class.clone(),
                    size: *size,
                };
                self.start(spec, checkpoint.as_ref());
            }
            Command::Stop {
                task,
                attempt,
                checkpoint,
            } => self.stop(task, *attempt, *checkpoint),
            Command::Throttle {
                task,
                attempt,
                permille,
            } => {
                if let Some(run) = self.run_mut(task, *attempt) {
                    run.throttle_permille = *permille;
                }
            }
            Command::Release { task, attempt } => {
                let ended = self
                    .run_mut(task, *attempt)
                    .is_some_and(|run| !run.is_running());
                if ended {
                    self.runs.remove(task);
                }
            }
        }
    }

    fn start(&mut self, spec: RunSpec, checkpoint: Option<&CheckpointId>) {
        let task = spec.task.clone();
        if !self.is_newer_attempt(&task, spec.attempt) {
            let now = self.now;
            let not_started = || Run::not_started(spec, now);
            self.runs.entry(task).or_insert_with(not_started);
            return;
        }
        self.end_run(&task, RunState::Stopped);
        self.attempts.insert(task.clone(), spec.attempt);
        if !(self.reserved() + spec.size).fits(&self.config.capacity) {
            self.events
                .push(RunEvent::Overcommitted { task: task.clone() });
            self.runs.insert(task, Run::not_started(spec, self.now));
            return;
        }
        if self.lease_until <= self.now {
            self.runs.insert(task, Run::not_started(spec, self.now));
            return;
        }
        let run = self.begin_run(spec, checkpoint);
        self.runs.insert(task, run);
    }

    fn begin_run(&mut self, spec: RunSpec, checkpoint: Option<&CheckpointId>) -> Run {
        let task = spec.task.clone();
        let attempt = spec.attempt;
        let mut program = (self.config.programs)(&spec);
        if self.fail_on_start {
            program = program.completion(Completion::Fails(Duration::ZERO));
        }
        let mut run = Run::begin(spec, program, self.now);
        if let Some(checkpoint) = checkpoint {
            match self.load_checkpoint(checkpoint) {
                Some(progress) => run.progress_ms = progress,
                None => self
                    .events
                    .push(RunEvent::CheckpointMissing { task: task.clone() }),
            }
            run.checkpoint = Some(checkpoint.clone());
        }
        self.events.push(RunEvent::Started {
            task,
            attempt,
            checkpoint: checkpoint.cloned(),
            at: self.now,
        });
        let until = self.lease_until;
        self.events.push(RunEvent::LeaseRenewed { until });
        run
    }

    /// Stops a run, or records that it must not be started if its start has not arrived yet.
    fn stop(&mut self, task: &TaskId, attempt: Attempt, checkpoint: bool) {
        if self.is_newer_attempt(task, attempt) {
            self.end_run(task, RunState::Stopped);
            self.attempts.insert(task.clone(), attempt);
            let spec = RunSpec {
                task: task.clone(),
                attempt,
                class: ClassId::from(""),
                size: Size::ZERO,
            };
            self.runs
                .insert(task.clone(), Run::not_started(spec, self.now));
            return;
        }
        let now = self.now;
        let run = self.run_mut(task, attempt);
        if let Some(run) = run.filter(|run| run.is_running() && run.stop_request.is_none()) {
            let at = now.after(run.program.stop_time);
            run.stop_request = Some(StopRequest { at, checkpoint });
        }
    }

    fn is_newer_attempt(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempts.get(task).is_none_or(|seen| attempt > *seen)
    }

    fn run_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut Run> {
        let run = self.runs.get_mut(task)?;
        (run.spec.attempt == attempt).then_some(run)
    }

    fn load_checkpoint(&self, checkpoint: &CheckpointId) -> Option<f64> {
        let body = self.objects.get(checkpoint.as_str())?;
        serde_json::from_slice(&body).ok()
    }
}
