//! Requests of the scheduler, submitters and operators to an owner.

use model::Mono;
use model::Size;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;

use super::Action;
use super::Notification;
use super::Refusal;
use super::ShardOwner;
use super::SubmitOutcome;
use super::task::Task;
use super::txn::RowUpdate;
use super::txn::TxnBuilder;
use super::txn::TxnKind;
use crate::record::Phase;
use crate::record::TaskSpec;

impl ShardOwner {
    /// Returns an error if no new transaction may be started for a request.
    fn check_serving(&self) -> Result<(), Refusal> {
        if !self.loaded || self.releasing {
            return Err(Refusal::NotServing);
        }
        if !self.store_reachable {
            return Err(Refusal::NoStore);
        }
        Ok(())
    }

    /// Returns a task if it is queued and its row is not locked.
    fn queued_task(&self, task: &TaskId) -> Result<&Task, Refusal> {
        let found = self.tasks.get(task).ok_or(Refusal::UnknownTask)?;
        if found.pending_txn.is_some() {
            return Err(Refusal::InDoubt);
        }
        if found.row.phase != Phase::Queued || found.cancel {
            return Err(Refusal::WrongPhase);
        }
        Ok(found)
    }

    pub(super) fn start(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        reserved: Size,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        match self.prepare_grant(task, worker, reserved, now) {
            Ok(update) => self.begin_updates(TxnKind::Start(update), actions),
            Err(reason) => refuse(task, reason, actions),
        }
    }

    fn prepare_grant(
        &self,
        task: &TaskId,
        worker: &WorkerId,
        reserved: Size,
        now: Mono,
    ) -> Result<RowUpdate, Refusal> {
        self.check_serving()?;
        let queued = self.queued_task(task)?;
        if reserved == Size::ZERO || !reserved.fits(&self.free(worker, now)) {
            return Err(Refusal::NoRoom);
        }
        let latest = self
            .workers
            .get(worker)
            .and_then(|worker| worker.latest_report);
        let incarnation = latest.ok_or(Refusal::NoRoom)?.incarnation;
        let mut row = queued.row.clone();
        row.attempt = row.attempt.next();
        row.phase = Phase::Assigned {
            worker: worker.clone(),
            reserved,
        };
        Ok(RowUpdate {
            task: task.clone(),
            row,
            agent_incarnation: Some(incarnation),
        })
    }

    pub(super) fn evict(&mut self, task: &TaskId, actions: &mut Vec<Action>) {
        let Some(found) = self.tasks.get_mut(task) else {
            return refuse(task, Refusal::UnknownTask, actions);
        };
        let Some(run) = &mut found.run else {
            return refuse(task, Refusal::WrongPhase, actions);
        };
        run.evict_requested = true;
        self.set_barrier(task);
    }

    /// Sets the barrier of a run to the next message. No message from then on contains a start
    /// command, so that an answer to one that does not list the run proves that it will never
    /// start.
    fn set_barrier(&mut self, task: &TaskId) {
        let Some(found) = self.tasks.get_mut(task) else {
            return;
        };
        let worker = found.row.worker().and_then(|name| self.workers.get(name));
        let sent = worker.map_or(0, |worker| worker.sequence);
        if let Some(run) = &mut found.run {
            run.barrier.get_or_insert(sent + 1);
        }
    }

    /// Cancels a task: immediately if it is queued, otherwise once its run has ended.
    ///
    /// If a write of the task's row is in flight or in doubt, the cancellation is only recorded
    /// here and the row is updated after the outcome of that write is known.
    pub(super) fn cancel(&mut self, task: &TaskId, actions: &mut Vec<Action>) {
        let Some(found) = self.tasks.get_mut(task) else {
            return refuse(task, Refusal::UnknownTask, actions);
        };
        found.cancel = true;
        if found.row.cancel {
            actions.push(Action::Notify(Notification::Cancelling {
                task: task.clone(),
            }));
        }
        self.set_barrier(task);
    }

    pub(super) fn throttle(&mut self, task: &TaskId, permille: u16, actions: &mut Vec<Action>) {
        match self.tasks.get_mut(task).map(|found| &mut found.run) {
            Some(Some(run)) => run.requested_throttle = Some(permille),
            Some(None) => refuse(task, Refusal::WrongPhase, actions),
            None => refuse(task, Refusal::UnknownTask, actions),
        }
    }

    pub(super) fn hand_off(&mut self, task: &TaskId, to: &ShardId, actions: &mut Vec<Action>) {
        let queued = self.check_serving().and_then(|()| self.queued_task(task));
        let (version, row) = match queued {
            Ok(queued) if *to != self.ownership.shard => (queued.version, queued.row.clone()),
            Ok(_) => return refuse(task, Refusal::WrongPhase, actions),
            Err(reason) => return refuse(task, reason, actions),
        };
        let number = self.next_txn_number();
        let mut builder = TxnBuilder::new(&self.ownership, number);
        builder.hand_off(version, &row, to);
        let kind = TxnKind::HandOff {
            task: task.clone(),
            to: to.clone(),
        };
        self.begin_txn(number, kind, builder.finish(), actions);
    }

    /// Queues a new task, or reports that its name is in use.
    ///
    /// A submission that is repeated while the first one is in flight shares its outcome.
    pub(super) fn submit(&mut self, spec: TaskSpec, actions: &mut Vec<Action>) {
        let task = spec.task.clone();
        if let Err(reason) = self.check_serving() {
            return notify_submitted(&task, SubmitOutcome::NotAccepted(reason), actions);
        }
        if let Some(found) = self.tasks.get(&task) {
            return notify_submitted(&task, compare_specs(&found.row.spec, &spec), actions);
        }
        let in_flight = self.pending_txns.values().find_map(|txn| match &txn.kind {
            TxnKind::Submit(first) if first.task == task => Some(first),
            _ => None,
        });
        match in_flight {
            Some(first) if *first == spec => return,
            Some(_) => return notify_submitted(&task, SubmitOutcome::Conflict, actions),
            None => {}
        }
        let number = self.next_txn_number();
        let mut builder = TxnBuilder::new(&self.ownership, number);
        builder.submit(&spec);
        self.begin_txn(number, TxnKind::Submit(spec), builder.finish(), actions);
    }
}

/// Compares a submission with the existing task of the same name.
pub(super) fn compare_specs(existing: &TaskSpec, submitted: &TaskSpec) -> SubmitOutcome {
    if existing == submitted {
        SubmitOutcome::Repeated
    } else {
        SubmitOutcome::Conflict
    }
}

pub(super) fn notify_submitted(task: &TaskId, outcome: SubmitOutcome, actions: &mut Vec<Action>) {
    let task = task.clone();
    actions.push(Action::Notify(Notification::Submitted { task, outcome }));
}

pub(super) fn refuse(task: &TaskId, reason: Refusal, actions: &mut Vec<Action>) {
    let task = task.clone();
    actions.push(Action::Notify(Notification::Refused { task, reason }));
}
