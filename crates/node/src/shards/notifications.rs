//! Updates the scheduler's task state from the notifications of the owners.

use lease::owner::Event;
use lease::owner::Notification;
use lease::owner::Refusal;
use lease::owner::RequeueCause;
use lease::owner::SubmitOutcome;
use lease::record::Phase;
use lease::record::TaskRow;
use model::Mono;
use model::id::ShardId;
use model::id::TaskId;
use sched::input::QueuedTask;
use sched::input::RunOutcome;

use crate::shards::driver::Driver;
use crate::shards::driver::PlannedStart;
use crate::shards::input::Reply;

impl Driver {
    /// Handles a notification of the owner of a shard.
    pub(super) fn handle_notification(&mut self, shard: &ShardId, notification: Notification) {
        let now = self.now();
        match notification {
            Notification::Queued { task } => self.task_queued(shard, &task, now),
            Notification::Started { task, worker, .. } => {
                let row = self.task_row(shard, &task).cloned();
                if let Some(Phase::Assigned { reserved, .. }) = row.map(|row| row.phase) {
                    self.task_shards.insert(task.clone(), shard.clone());
                    self.sched.assigned(&task, &worker, reserved, now);
                }
            }
            Notification::Requeued { task, cause } => {
                log::info!(target: "node::shards::facts", task = task.as_str(), shard = shard.as_str(); "waits again: {cause}");
                let outcome = if cause == RequeueCause::Failed {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Stopped
                };
                self.sched.ended(&task, outcome, now);
                self.task_queued(shard, &task, now);
            }
            Notification::Ended { task, phase } => self.task_ended(shard, &task, &phase, now),
            Notification::Refused { task, reason } => self.event_refused(shard, &task, reason, now),
            Notification::Submitted { task, outcome } => {
                self.reply_all(&task, &submit_reply(shard, outcome));
            }
            Notification::Cancelling { task } => self.reply_all(&task, &Reply::Done(shard.clone())),
            Notification::HandedOff { task, to } => self.task_handed_off(&task, &to),
            Notification::WorkerReachable { worker } | Notification::CapacityFreed { worker } => {
                self.update_worker(&worker, true);
            }
            Notification::WorkerLeaseExpired { worker } => {
                log::warn!(target: "node::shards::facts", worker = worker.as_str(); "its last lease has lapsed");
                self.update_worker(&worker, false);
            }
            Notification::WorkerLeaving { worker } => {
                log::info!(target: "node::shards::facts", worker = worker.as_str(); "the worker is leaving");
            }
            Notification::UnreadableRow { key } => {
                log::error!(target: "node::shards::facts", key = key.as_str(); "a row cannot be read");
            }
        }
    }

    fn task_row(&self, shard: &ShardId, task: &TaskId) -> Option<&TaskRow> {
        self.owned.get(shard)?.owner.task(task)
    }

    fn task_queued(&mut self, shard: &ShardId, task: &TaskId, now: Mono) {
        self.task_shards.insert(task.clone(), shard.clone());
        if let Some(planned) = self.planned_starts.remove(task)
            && planned.shard == *shard
        {
            let PlannedStart {
                worker, reserved, ..
            } = planned;
            let event = Event::Start {
                task: task.clone(),
                worker,
                reserved,
            };
            return self.drive(shard, event, now);
        }
        let Some(row) = self.task_row(shard, task) else {
            return;
        };
        let queued = queued_task(row, now);
        self.sched.enqueue(queued);
    }

    /// Reports to the scheduler the tasks that an earlier owner of the shard assigned to workers,
    /// so that their capacity is not assigned twice and counts as usage of their teams.
    pub(super) fn adopt_assigned(&mut self, shard: &ShardId, now: Mono) {
        let Some(owned) = self.owned.get(shard) else {
            return;
        };
        for row in owned.owner.tasks() {
            if let Phase::Assigned { worker, reserved } = &row.phase {
                self.task_shards
                    .insert(row.spec.task.clone(), shard.clone());
                self.sched.enqueue(queued_task(row, now));
                self.sched.assigned(&row.spec.task, worker, *reserved, now);
            }
        }
    }

    fn task_ended(&mut self, shard: &ShardId, task: &TaskId, phase: &Phase, now: Mono) {
        match phase {
            Phase::Succeeded => self.sched.ended(task, RunOutcome::Succeeded, now),
            Phase::Failed { reason } => {
                log::warn!(target: "node::shards::facts", task = task.as_str(); "given up: {reason}");
                self.sched.ended(task, RunOutcome::Failed, now);
            }
            _ => self.sched.cancelled(task),
        }
        self.task_shards.remove(task);
        self.planned_starts.remove(task);
        self.reply_all(task, &Reply::Done(shard.clone()));
    }

    fn event_refused(&mut self, shard: &ShardId, task: &TaskId, reason: Refusal, now: Mono) {
        self.planned_starts.remove(task);
        self.sched.decision_failed(task, now);
        if matches!(reason, Refusal::ByTable | Refusal::UnknownTask) {
            // The refused write may be that of a waiting caller or another one on the same row; or
            // the task may have been handed off to another shard meanwhile.
            self.reply_all(task, &Reply::Unknown);
        }
        if reason == Refusal::NoRoom {
            self.update_shard_workers(shard);
        }
    }

    fn task_handed_off(&mut self, task: &TaskId, to: &ShardId) {
        let planned = self.planned_starts.contains_key(task);
        if !planned {
            self.sched.cancelled(task);
        }
        self.task_shards.remove(task);
        if self.owned.contains_key(to) {
            self.read_task_rows(to, false);
        } else {
            self.planned_starts.remove(task);
            self.notify_owner(to);
        }
    }

    /// Passes the active document to the scheduler.
    pub(super) fn set_document(&mut self) {
        let doc = self.cx.doc.borrow().clone();
        if let Some(doc) = doc {
            self.sched.set_document(&doc.document);
        }
    }
}

/// Converts the outcome of a submission to a reply.
pub(super) fn submit_reply(shard: &ShardId, outcome: SubmitOutcome) -> Reply {
    match outcome {
        SubmitOutcome::Accepted | SubmitOutcome::Repeated => Reply::Done(shard.clone()),
        SubmitOutcome::Conflict => Reply::Refused(outcome.to_string()),
        SubmitOutcome::NotAccepted(reason) => Reply::Refused(reason.to_string()),
    }
}

fn queued_task(row: &TaskRow, now: Mono) -> QueuedTask {
    QueuedTask {
        task: row.spec.task.clone(),
        team: row.spec.team.clone(),
        class: row.spec.class.clone(),
        priority: row.spec.priority,
        declared: row.spec.size,
        run_ms: row.spec.run_ms,
        checkpoint: row.checkpoint.clone(),
        progress_ms: 0,
        failures: row.failures,
        evictions: row.evictions,
        submitted_at: now,
    }
}
