//! The message exchange between an owner and its workers.
//!
//! At most one message per worker is in flight. Each message contains all commands whose effect the
//! worker's latest report does not show yet, so that a lost message only causes a delay.

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
use super::Notification;
use super::ShardOwner;
use super::StopReason;
use super::task::RunEnd;
use super::task::Task;
use super::worker::Worker;
use crate::record::Phase;
use crate::timing::COMMAND_RETRY_INTERVAL;
use crate::timing::RENEW_INTERVAL;

impl ShardOwner {
    /// Processes the answer to a message.
    pub(super) fn handle_answer(
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
            Ok(report) if report.epoch > self.ownership.epoch => {
                self.stop(StopReason::Fenced, actions);
            }
            Ok(report) if report.epoch < self.ownership.epoch || worker.is_stale(&report) => {}
            Ok(report) => self.apply_report(name, sequence, &report, now, actions),
            Err(WorkerError::Fenced { epoch }) if epoch > self.ownership.epoch => {
                self.stop(StopReason::Fenced, actions);
            }
            Err(_) => worker.next_send = worker.next_send.max(now.after(COMMAND_RETRY_INTERVAL)),
        }
    }

    fn apply_report(
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
        if worker.record_report(report, now) {
            let worker = name.clone();
            actions.push(Action::Notify(Notification::WorkerReachable { worker }));
        }
        for task in self.tasks.values_mut() {
            if task.row.worker() != Some(name) {
                continue;
            }
            let attempt = task.row.attempt;
            let mut runs = report.runs.iter();
            let run = runs.find(|run| run.task == task.row.spec.task && run.attempt == attempt);
            if let Some(known) = &mut task.run {
                known.apply_report(run, report.incarnation(), sequence);
            }
        }
    }

    /// Marks workers as lost whose last lease has certainly expired, so that their tasks are
    /// requeued.
    ///
    /// A grant that was in doubt when the lease expired may turn out to be committed later. Its run
    /// is ended here before any start command for it is sent.
    pub(super) fn expire_worker_leases(&mut self, now: Mono, actions: &mut Vec<Action>) {
        let (claimed_at, prior_owners) = (self.claimed_at, self.ownership.prior_owners);
        let due = |name: &WorkerId, worker: &Worker| {
            if worker.lease_expired {
                return self.has_runs(name);
            }
            now >= worker.grants_expire_at(claimed_at, prior_owners, &self.timing)
        };
        let workers = self.workers.iter();
        let expired: Vec<WorkerId> = workers
            .filter(|(name, worker)| due(name, worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.mark_worker_lost(&name, actions);
        }
    }

    /// Records that a worker runs nothing any more, because its lease has expired or an operator
    /// declared it lost.
    pub(super) fn mark_worker_lost(&mut self, name: &WorkerId, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.lease_expired {
            worker.expire_lease();
            let worker = name.clone();
            actions.push(Action::Notify(Notification::WorkerLeaseExpired { worker }));
        }
        for task in self.tasks.values_mut() {
            if task.row.worker() == Some(name)
                && let Some(run) = &mut task.run
            {
                run.end.get_or_insert(RunEnd::WorkerLost);
            }
        }
    }

    /// Sends all messages that are due.
    pub(super) fn send_due(&mut self, now: Mono, actions: &mut Vec<Action>) {
        if self.is_release_pending() {
            return;
        }
        let idle = self.workers.iter().filter(|(name, worker)| {
            worker.in_flight.is_none() && self.needs_messages(name, worker)
        });
        let due: Vec<(WorkerId, Vec<Command>)> = idle
            .map(|(name, worker)| (name.clone(), self.commands(name, worker)))
            .filter(|(name, commands)| self.is_due(name, commands, now))
            .collect();
        for (name, commands) in due {
            self.send(name, commands, now, actions);
        }
    }

    /// Returns whether a worker is sent any messages: it is in the host list or has granted tasks.
    pub(super) fn needs_messages(&self, name: &WorkerId, worker: &Worker) -> bool {
        worker.listed
            || self
                .tasks
                .values()
                .any(|task| task.row.worker() == Some(name))
    }

    fn is_due(&self, name: &WorkerId, commands: &[Command], now: Mono) -> bool {
        self.workers.get(name).is_some_and(|worker| {
            let has_new_command = commands
                .iter()
                .any(|command| !worker.last_commands.contains(command));
            has_new_command || worker.next_send <= now
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
        worker.last_commands.clone_from(&commands);
        let interval = if commands.is_empty() {
            RENEW_INTERVAL
        } else {
            COMMAND_RETRY_INTERVAL
        };
        worker.next_send = now.after(interval);
        let message = WorkerMessage {
            epoch: self.ownership.epoch,
            sequence: worker.sequence,
            last_report: worker.latest_report.map_or(0, |report| report.sequence),
            lease_ms: millis(self.timing.worker_lease),
            commands,
        };
        let worker = name;
        actions.push(Action::Send { worker, message });
    }

    /// Returns all commands to a worker whose effect it has not reported yet.
    fn commands(&self, name: &WorkerId, worker: &Worker) -> Vec<Command> {
        if !self.loaded {
            return Vec::new();
        }
        let granted = self.tasks.values();
        let mut commands: Vec<Command> = granted
            .filter(|task| task.row.worker() == Some(name))
            .flat_map(|task| run_commands(task, worker))
            .collect();
        let ungranted = worker.reported.iter().filter(|((task, attempt), _)| {
            let known = self.tasks.get(task);
            !known.is_some_and(|known| known.grants_attempt(*attempt))
        });
        commands.extend(ungranted.map(|((task, attempt), state)| match state {
            RunState::Running => stop(task, *attempt, false),
            _ => Command::Release {
                task: task.clone(),
                attempt: *attempt,
            },
        }));
        commands
    }

    /// Returns whether a worker runs a task that the table does not grant to it.
    pub(super) fn runs_ungranted(&self, worker: &Worker) -> bool {
        worker.reported.iter().any(|((task, attempt), state)| {
            let known = self.tasks.get(task);
            *state == RunState::Running
                && !known.is_some_and(|known| known.grants_attempt(*attempt))
        })
    }
}

/// Returns the next command to a worker for a run that is granted to it, if any.
fn run_commands(task: &Task, worker: &Worker) -> Option<Command> {
    let run = task.run.as_ref()?;
    let name = &task.row.spec.task;
    if run.end.is_some() {
        return None;
    }
    if task.should_stop() {
        return Some(stop(name, task.row.attempt, !task.cancel));
    }
    if run.reported {
        let wanted = run
            .requested_throttle
            .filter(|wanted| *wanted != run.reported_throttle);
        return wanted.map(|permille| Command::Throttle {
            task: name.clone(),
            attempt: task.row.attempt,
            permille,
        });
    }
    let incarnation = worker.latest_report.map(|report| report.incarnation);
    let reserved = match task.row.phase {
        Phase::Assigned { reserved, .. }
            if run.agent_incarnation.is_some() && run.agent_incarnation == incarnation =>
        {
            reserved
        }
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
