//! The conversation of an owner with its workers.
//!
//! At most one message to a worker is under way. Each carries everything that the worker's newest
//! report does not show yet, so that a lost message costs a delay and nothing else.

use model::Mono;
use model::id::Attempt;
use model::id::TaskId;
use model::id::WorkerId;
use model::time::millis;
use plat::worker::Command;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use super::Action;
use super::Fact;
use super::Reason;
use super::ShardOwner;
use super::task::End;
use super::task::Task;
use super::worker::Worker;
use crate::record::Phase;
use crate::timing::COMMAND_RETRY;
use crate::timing::RENEW_INTERVAL;

impl ShardOwner {
    /// Takes in how a message was answered.
    pub(super) fn answered(
        &mut self,
        name: &WorkerId,
        sequence: u64,
        answer: Result<WorkerReport, WorkerError>,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.in_flight == Some(sequence) {
            worker.in_flight = None;
        }
        match answer {
            Ok(report) if report.epoch > self.claimed.epoch => self.stop(Reason::Fenced, actions),
            Ok(report) if report.epoch < self.claimed.epoch || worker.is_late(&report) => {}
            Ok(report) => self.observe(name, sequence, &report, now, actions),
            Err(WorkerError::Fenced { epoch }) if epoch > self.claimed.epoch => {
                self.stop(Reason::Fenced, actions);
            }
            Err(_) => worker.next_send = worker.next_send.max(now.after(COMMAND_RETRY)),
        }
    }

    fn observe(
        &mut self,
        name: &WorkerId,
        sequence: u64,
        report: &WorkerReport,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.hear(report, now) {
            let worker = name.clone();
            actions.push(Action::Notify(Fact::Reached { worker }));
        }
        for task in self.tasks.values_mut() {
            if task.row.worker() != Some(name) {
                continue;
            }
            let attempt = task.row.attempt;
            let mut runs = report.runs.iter();
            let run = runs.find(|run| run.task == task.row.spec.task && run.attempt == attempt);
            if let Some(known) = &mut task.run {
                known.observe(run, report.incarnation(), sequence);
            }
        }
    }

    /// Requeues what a worker ran whose last lease has certainly lapsed.
    ///
    /// A grant whose write was in doubt when that happened can come about later; it is ended here
    /// before anything of it is sent.
    pub(super) fn lapse_workers(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let (since, prior) = (self.since, self.claimed.prior);
        let due = |name: &WorkerId, worker: &Worker| {
            if worker.lapsed {
                return self.has_runs(name);
            }
            now >= worker.grants_lapse(since, prior, &self.timing)
        };
        let workers = self.workers.iter();
        let lapsed: Vec<WorkerId> = workers
            .filter(|(name, worker)| due(name, worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.lose(&name, actions);
        }
    }

    /// Notes that a worker runs nothing any more, by lapse or by an operator's word.
    pub(super) fn lose(&mut self, name: &WorkerId, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.lapsed {
            worker.lapse();
            let worker = name.clone();
            actions.push(Action::Notify(Fact::WorkerLapsed { worker }));
        }
        for task in self.tasks.values_mut() {
            if task.row.worker() == Some(name)
                && let Some(run) = &mut task.run
            {
                run.end.get_or_insert(End::WorkerLost);
            }
        }
    }

    /// Sends every message that is due.
    pub(super) fn send_due(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.gives_back_now() {
            return;
        }
        let idle = self
            .workers
            .iter()
            .filter(|(name, worker)| worker.in_flight.is_none() && self.converses(name, worker));
        let due: Vec<(WorkerId, Vec<Command>)> = idle
            .map(|(name, worker)| (name.clone(), self.commands(name, worker)))
            .filter(|(name, commands)| self.is_due(name, commands, now))
            .collect();
        for (name, commands) in due {
            self.send(name, commands, now, actions);
        }
    }

    /// Whether a worker is spoken to at all.
    pub(super) fn converses(&self, name: &WorkerId, worker: &Worker) -> bool {
        worker.listed
            || self
                .tasks
                .values()
                .any(|task| task.row.worker() == Some(name))
    }

    fn is_due(&self, name: &WorkerId, commands: &[Command], now: Mono) -> bool {
        self.workers.get(name).is_some_and(|worker| {
            let news = commands
                .iter()
                .any(|command| !worker.sent.contains(command));
            news || worker.next_send <= now
        })
    }

    fn send(
        &mut self,
        name: WorkerId,
        commands: Vec<Command>,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        worker.sequence += 1;
        worker.in_flight = Some(worker.sequence);
        worker.sent.clone_from(&commands);
        let wait = if commands.is_empty() {
            RENEW_INTERVAL
        } else {
            COMMAND_RETRY
        };
        worker.next_send = now.after(wait);
        let message = WorkerMessage {
            epoch: self.claimed.epoch,
            sequence: worker.sequence,
            last_report: worker.heard.map_or(0, |heard| heard.report),
            lease_ms: millis(self.timing.worker_lease),
            commands,
        };
        let worker = name;
        actions.push(Action::Send { worker, message });
    }

    /// Everything that a worker is to do and has not yet reported.
    fn commands(&self, name: &WorkerId, worker: &Worker) -> Vec<Command> {
        if !self.loaded {
            return Vec::new();
        }
        let granted = self.tasks.values();
        let mut commands: Vec<Command> = granted
            .filter(|task| task.row.worker() == Some(name))
            .flat_map(|task| run_commands(task, worker))
            .collect();
        let strays = worker.reported.iter().filter(|((task, attempt), _)| {
            let known = self.tasks.get(task);
            !known.is_some_and(|known| known.grants(*attempt))
        });
        commands.extend(strays.map(|((task, attempt), state)| match state {
            RunState::Running => stop(task, *attempt, false),
            _ => Command::Release {
                task: task.clone(),
                attempt: *attempt,
            },
        }));
        commands
    }

    /// Whether a worker runs something that the table does not grant to it.
    pub(super) fn runs_stray(&self, worker: &Worker) -> bool {
        worker.reported.iter().any(|((task, attempt), state)| {
            let known = self.tasks.get(task);
            *state == RunState::Running && !known.is_some_and(|known| known.grants(*attempt))
        })
    }
}

/// What a worker is to do about a run that is granted to it.
fn run_commands(task: &Task, worker: &Worker) -> Option<Command> {
    let run = task.run.as_ref()?;
    let name = &task.row.spec.task;
    if run.end.is_some() {
        return None;
    }
    if task.stops() {
        return Some(stop(name, task.row.attempt, !task.cancel));
    }
    if run.seen {
        let wanted = run.throttle.filter(|wanted| *wanted != run.throttled);
        return wanted.map(|permille| Command::Throttle {
            task: name.clone(),
            attempt: task.row.attempt,
            permille,
        });
    }
    let life = worker.heard.map(|heard| heard.life);
    let reserved = match task.row.phase {
        Phase::Assigned { reserved, .. } if run.life.is_some() && run.life == life => reserved,
        _ => return None,
    };
    Some(Command::Start {
        task: name.clone(),
        attempt: task.row.attempt,
        class: task.row.spec.class.clone(),
        size: reserved,
        checkpoint: task.row.checkpoint.clone(),
    })
}

fn stop(task: &TaskId, attempt: Attempt, checkpoint: bool) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt,
        checkpoint,
    }
}
