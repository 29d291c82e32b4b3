//! Sends an owner's transactions and applies their outcomes.

use model::Mono;
use model::id::OpId;
use model::id::RowVersion;
use model::id::TaskId;
use model::id::WorkerId;
use plat::commit::TxnOutcome;
use plat::table::Row;
use plat::table::Txn;

use super::Action;
use super::Notification;
use super::Refusal;
use super::ShardOwner;
use super::StopReason;
use super::SubmitOutcome;
use super::parse_task_row;
use super::requests::compare_specs;
use super::requests::notify_submitted;
use super::requests::refuse;
use super::task::Run;
use super::task::Task;
use super::task_key;
use super::txn::PendingTxn;
use super::txn::RowUpdate;
use super::txn::TxnBuilder;
use super::txn::TxnKind;
use crate::record::JobRow;
use crate::record::Phase;
use crate::record::TaskRow;
use crate::record::TaskSpec;
use crate::record::key;
use crate::timing::IN_DOUBT_RETRY_INTERVAL;
use crate::timing::MAX_ROWS_PER_TXN;

/// The maximum number of unsettled transactions that update rows without a decision of the
/// scheduler. Updates that become due meanwhile are batched into the next transaction.
const MAX_PENDING_UPDATE_TXNS: usize = 2;

impl ShardOwner {
    pub(super) fn next_txn_number(&mut self) -> u64 {
        self.last_txn_number += 1;
        self.last_txn_number
    }

    /// Sends a transaction and locks the rows that it updates.
    pub(super) fn begin_txn(
        &mut self,
        number: u64,
        kind: TxnKind,
        txn: Txn,
        actions: &mut Vec<Action>,
    ) {
        for task in kind.tasks() {
            if let Some(found) = self.tasks.get_mut(&task) {
                found.pending_txn = Some(number);
            }
        }
        actions.push(Action::Commit(txn.clone()));
        let pending = PendingTxn {
            kind,
            txn,
            in_doubt: false,
            retry_at: None,
        };
        self.pending_txns.insert(number, pending);
    }

    /// Sends a transaction that updates task rows.
    pub(super) fn begin_updates(&mut self, kind: TxnKind, actions: &mut Vec<Action>) {
        let number = self.next_txn_number();
        let mut builder = TxnBuilder::new(&self.ownership, number);
        for update in kind.updates() {
            if let Some(found) = self.tasks.get(&update.task) {
                builder.update_row(found.version, &update.row);
            }
        }
        self.begin_txn(number, kind, builder.finish(), actions);
    }

    /// Sends all writes that are due: in-doubt transactions again, then pending row updates.
    pub(super) fn commit_due(&mut self, now: Mono, actions: &mut Vec<Action>) {
        for pending in self.pending_txns.values_mut() {
            if pending.retry_at.is_some_and(|at| at <= now) {
                pending.retry_at = None;
                actions.push(Action::Commit(pending.txn.clone()));
            }
        }
        if self.backoff_until.is_some_and(|at| at <= now) {
            self.backoff_until = None;
        }
        if !self.loaded || !self.store_reachable || self.backoff_until.is_some() {
            return;
        }
        if self.releasing {
            return self.release_shard(actions);
        }
        loop {
            let unsettled = self
                .pending_txns
                .values()
                .filter(|pending| matches!(pending.kind, TxnKind::Update(_)));
            if unsettled.count() >= MAX_PENDING_UPDATE_TXNS {
                return;
            }
            let due = self
                .tasks
                .values()
                .filter(|task| task.pending_txn.is_none());
            let updates: Vec<RowUpdate> = due
                .filter_map(|task| {
                    Some(RowUpdate {
                        task: task.row.spec.task.clone(),
                        row: task.next_row()?,
                        agent_incarnation: None,
                    })
                })
                .take(MAX_ROWS_PER_TXN)
                .collect();
            if updates.is_empty() {
                return;
            }
            self.begin_updates(TxnKind::Update(updates), actions);
        }
    }

    /// Releases the shard once no other transaction is in flight or in doubt.
    fn release_shard(&mut self, actions: &mut Vec<Action>) {
        if !self.pending_txns.is_empty() {
            return;
        }
        let mut workers = self.workers.iter();
        let settled = workers.all(|(name, worker)| {
            worker.latest_report.is_some() || worker.lease_expired || !self.has_runs(name)
        });
        let number = self.next_txn_number();
        let mut builder = TxnBuilder::new(&self.ownership, number);
        builder.release_shard(&self.ownership, settled);
        self.begin_txn(number, TxnKind::ReleaseShard, builder.finish(), actions);
    }

    /// Processes the outcome of a transaction. An unknown outcome leaves it in doubt, and so does a
    /// refused retry, because an earlier request may have taken effect.
    pub(super) fn handle_settled(
        &mut self,
        id: &OpId,
        settled: TxnOutcome,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let mut unsettled = self.pending_txns.iter();
        let Some(number) = unsettled.find_map(|(n, pending)| (pending.txn.op == *id).then_some(*n))
        else {
            return;
        };
        let Some(mut pending) = self.pending_txns.remove(&number) else {
            return;
        };
        let in_doubt = pending.in_doubt;
        match settled {
            TxnOutcome::Committed => self.apply_committed(pending, actions),
            TxnOutcome::Conflict { key, row } if pending.took_effect(&key, row.as_ref()) => {
                self.apply_committed(pending, actions);
            }
            TxnOutcome::Conflict { key, row } => self.handle_conflict(pending, &key, row, actions),
            TxnOutcome::Refused(_) if !in_doubt => {
                self.backoff_until = Some(now.after(IN_DOUBT_RETRY_INTERVAL));
                self.unlock(&pending.kind);
                notify_aborted(&pending.kind, Refusal::ByTable, actions);
            }
            TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
                pending.in_doubt = true;
                pending.retry_at = Some(now.after(IN_DOUBT_RETRY_INTERVAL));
                self.pending_txns.insert(number, pending);
            }
        }
    }

    fn unlock(&mut self, kind: &TxnKind) {
        for task in kind.tasks() {
            if let Some(found) = self.tasks.get_mut(&task) {
                found.pending_txn = None;
            }
        }
    }

    /// Handles a conflict: the transaction has had no effect and never will, because the row under
    /// `key` has another version.
    fn handle_conflict(
        &mut self,
        pending: PendingTxn,
        key: &str,
        row: Option<Row>,
        actions: &mut Vec<Action>,
    ) {
        if key == key::shard(&self.ownership.shard) {
            return self.stop(StopReason::Superseded, actions);
        }
        self.unlock(&pending.kind);
        if let TxnKind::Submit(spec) = &pending.kind {
            return self.resolve_taken_name(spec, row.as_ref(), actions);
        }
        notify_aborted(&pending.kind, Refusal::ByTable, actions);
        let mut tasks = pending.kind.tasks().into_iter();
        if let Some(task) = tasks.find(|task| task_key(&self.ownership, task) == key) {
            self.reload_task(&task, row.as_ref(), actions);
        }
    }

    /// Replaces the state of a task by the row that was found in the table.
    fn reload_task(&mut self, task: &TaskId, row: Option<&Row>, actions: &mut Vec<Action>) {
        let Some(previous) = self.tasks.remove(task) else {
            return;
        };
        if let Some((row, version)) = row.and_then(|row| parse_task_row(row, actions)) {
            self.insert(row, version, actions);
        }
        if let Some(found) = self.tasks.get_mut(task) {
            found.cancel |= previous.cancel;
            if found.row.attempt == previous.row.attempt && found.run.is_some() {
                found.run = previous.run.or(found.run.take());
            }
        }
    }

    /// Reports the outcome of a submission whose name is in use.
    fn resolve_taken_name(
        &mut self,
        spec: &TaskSpec,
        row: Option<&Row>,
        actions: &mut Vec<Action>,
    ) {
        let value = row.and_then(|row| serde_json::from_value::<JobRow>(row.value.clone()).ok());
        let existing = value.map(|job| job.spec);
        let outcome = existing.map_or(SubmitOutcome::Conflict, |existing| {
            compare_specs(&existing, spec)
        });
        notify_submitted(&spec.task, outcome, actions);
    }

    /// Applies a transaction that was committed.
    fn apply_committed(&mut self, pending: PendingTxn, actions: &mut Vec<Action>) {
        self.unlock(&pending.kind);
        match pending.kind {
            TxnKind::Start(update) => self.apply_update(update, actions),
            TxnKind::Update(updates) => {
                for update in updates {
                    self.apply_update(update, actions);
                }
            }
            TxnKind::Submit(spec) => {
                let task = spec.task.clone();
                notify_submitted(&task, SubmitOutcome::Accepted, actions);
                if !self.tasks.contains_key(&task) {
                    self.insert(TaskRow::queued(spec), RowVersion(1), actions);
                }
            }
            TxnKind::HandOff { task, to } => {
                // A cancellation that arrived meanwhile has to be sent to the other shard's owner.
                if self.tasks.remove(&task).is_some_and(|moved| moved.cancel) {
                    refuse(&task, Refusal::UnknownTask, actions);
                }
                actions.push(Action::Notify(Notification::HandedOff { task, to }));
            }
            TxnKind::ReleaseShard => self.stop(StopReason::Released, actions),
        }
    }

    /// Applies a row update that was committed.
    fn apply_update(&mut self, update: RowUpdate, actions: &mut Vec<Action>) {
        let Some(found) = self.tasks.get_mut(&update.task) else {
            return;
        };
        let task = update.task;
        let previous_worker = found.row.worker().cloned();
        let cause = found.requeue_cause();
        let newly_marked = update.row.cancel && !found.row.cancel;
        found.row = update.row;
        found.version = found.version.next();
        if newly_marked {
            actions.push(Action::Notify(Notification::Cancelling {
                task: task.clone(),
            }));
        }
        match found.row.phase.clone() {
            Phase::Assigned { worker, .. } => {
                if let Some(incarnation) = update.agent_incarnation {
                    record_grant(found, worker, incarnation, actions);
                }
            }
            Phase::Queued => {
                found.run = None;
                actions.push(Action::Notify(Notification::Requeued { task, cause }));
                notify_freed(previous_worker, actions);
            }
            phase => {
                self.tasks.remove(&task);
                actions.push(Action::Notify(Notification::Ended { task, phase }));
                notify_freed(previous_worker, actions);
            }
        }
    }
}

/// Records a committed grant. A cancellation that arrived meanwhile prevents the run from being
/// started.
fn record_grant(task: &mut Task, worker: WorkerId, incarnation: u32, actions: &mut Vec<Action>) {
    let mut run = Run::granted(incarnation);
    run.barrier = task.cancel.then_some(1);
    task.run = Some(run);
    actions.push(Action::Notify(Notification::Started {
        task: task.row.spec.task.clone(),
        attempt: task.row.attempt,
        worker,
    }));
}

fn notify_freed(worker: Option<WorkerId>, actions: &mut Vec<Action>) {
    if let Some(worker) = worker {
        actions.push(Action::Notify(Notification::CapacityFreed { worker }));
    }
}

/// Notifies the requester that a transaction was not executed.
fn notify_aborted(kind: &TxnKind, reason: Refusal, actions: &mut Vec<Action>) {
    match kind {
        TxnKind::Start(update) => refuse(&update.task, reason, actions),
        TxnKind::HandOff { task, .. } => refuse(task, reason, actions),
        TxnKind::Submit(spec) => {
            notify_submitted(&spec.task, SubmitOutcome::NotAccepted(reason), actions);
        }
        TxnKind::Update(_) | TxnKind::ReleaseShard => {}
    }
}
