//! Keeps the picture that the scheduler has of the tasks, by what the owners tell.

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
use crate::shards::driver::Planned;
use crate::shards::input::Reply;

impl Driver {
    /// Takes in what an owner told.
    pub(super) fn fact(&mut self, shard: &ShardId, fact: Notification) {
        let now = self.now();
        match fact {
            Notification::Queued { task } => self.queued(shard, &task, now),
            Notification::Started { task, worker, .. } => {
                let row = self.row(shard, &task).cloned();
                if let Some(Phase::Assigned { reserved, .. }) = row.map(|row| row.phase) {
                    self.homes.insert(task.clone(), shard.clone());
                    self.sched.assigned(&task, &worker, reserved, now);
                }
            }
            Notification::Requeued { task, cause } => {
                log::info!(task = task.as_str(), shard = shard.as_str(); "waits again: {cause}");
                let end = if cause == RequeueCause::Failed {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Stopped
                };
                self.sched.ended(&task, end, now);
                self.queued(shard, &task, now);
            }
            Notification::Ended { task, phase } => self.ended(shard, &task, &phase, now),
            Notification::Refused { task, reason } => self.refused(shard, &task, reason, now),
            Notification::Submitted { task, outcome } => {
                self.answer(&task, &submitted(shard, outcome));
            }
            Notification::Cancelling { task } => self.answer(&task, &Reply::Done(shard.clone())),
            Notification::HandedOff { task, to } => self.handed_off(&task, &to),
            Notification::WorkerReachable { worker } | Notification::CapacityFreed { worker } => {
                self.offer_worker(&worker, true);
            }
            Notification::WorkerLeaseExpired { worker } => {
                log::warn!(worker = worker.as_str(); "its last lease has lapsed");
                self.offer_worker(&worker, false);
            }
            Notification::WorkerLeaving { worker } => {
                log::info!(worker = worker.as_str(); "is leaving");
            }
            Notification::UnreadableRow { key } => {
                log::error!(key = key.as_str(); "a row cannot be read");
            }
        }
    }

    fn row(&self, shard: &ShardId, task: &TaskId) -> Option<&TaskRow> {
        self.running.get(shard)?.owner.task(task)
    }

    fn queued(&mut self, shard: &ShardId, task: &TaskId, now: Mono) {
        self.homes.insert(task.clone(), shard.clone());
        if let Some(planned) = self.planned.remove(task)
            && planned.shard == *shard
        {
            let Planned {
                worker, reserved, ..
            } = planned;
            let event = Event::Start {
                task: task.clone(),
                worker,
                reserved,
            };
            return self.drive(shard, event, now);
        }
        let Some(row) = self.row(shard, task) else {
            return;
        };
        let queued = queued_facts(row, now);
        self.sched.enqueue(queued);
    }

    /// Tells the scheduler of the tasks that an earlier owner of the shard has granted, so that their
    /// room is not given out again and counts for their teams.
    pub(super) fn adopt_granted(&mut self, shard: &ShardId, now: Mono) {
        let Some(running) = self.running.get(shard) else {
            return;
        };
        for row in running.owner.tasks() {
            if let Phase::Assigned { worker, reserved } = &row.phase {
                self.homes.insert(row.spec.task.clone(), shard.clone());
                self.sched.enqueue(queued_facts(row, now));
                self.sched.assigned(&row.spec.task, worker, *reserved, now);
            }
        }
    }

    fn ended(&mut self, shard: &ShardId, task: &TaskId, phase: &Phase, now: Mono) {
        match phase {
            Phase::Succeeded => self.sched.ended(task, RunOutcome::Succeeded, now),
            Phase::Failed { reason } => {
                log::warn!(task = task.as_str(); "given up: {reason}");
                self.sched.ended(task, RunOutcome::Failed, now);
            }
            _ => self.sched.cancelled(task),
        }
        self.homes.remove(task);
        self.planned.remove(task);
        self.answer(task, &Reply::Done(shard.clone()));
    }

    fn refused(&mut self, shard: &ShardId, task: &TaskId, why: Refusal, now: Mono) {
        self.planned.remove(task);
        self.sched.decision_failed(task, now);
        if matches!(why, Refusal::ByTable | Refusal::UnknownTask) {
            // It may be the write of whoever asked, or another one on the same row; or the task has
            // been handed to another shard meanwhile.
            self.answer(task, &Reply::Unknown);
        }
        if why == Refusal::NoRoom {
            self.relist_shard(shard);
        }
    }

    fn handed_off(&mut self, task: &TaskId, to: &ShardId) {
        let planned = self.planned.contains_key(task);
        if !planned {
            self.sched.cancelled(task);
        }
        self.homes.remove(task);
        if self.running.contains_key(to) {
            self.read_tasks(to, false);
        } else {
            self.planned.remove(task);
            self.tell_owner(to);
        }
    }

    /// Puts the document in force into the scheduler.
    pub(super) fn set_document(&mut self) {
        let doc = self.cx.doc.borrow().clone();
        if let Some(doc) = doc {
            self.sched.set_document(&doc.document);
        }
    }
}

/// Words what became of a submission.
pub(super) fn submitted(shard: &ShardId, result: SubmitOutcome) -> Reply {
    match result {
        SubmitOutcome::Accepted | SubmitOutcome::Repeated => Reply::Done(shard.clone()),
        SubmitOutcome::Conflict => Reply::Refused(result.to_string()),
        SubmitOutcome::NotAccepted(reason) => Reply::Refused(reason.to_string()),
    }
}

fn queued_facts(row: &TaskRow, now: Mono) -> QueuedTask {
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
