//! The fate of an owner's transactions.

use model::Mono;
use model::id::OpId;
use model::id::RowVersion;
use model::id::TaskId;
use model::id::WorkerId;
use plat::settle::Settled;
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

/// The most transactions under way that move rows on without a decision of the scheduler; what
/// comes about meanwhile goes together into the next one.
const MAX_PENDING_UPDATE_TXNS: usize = 2;

impl ShardOwner {
    pub(super) fn next_txn_number(&mut self) -> u64 {
        self.last_txn_number += 1;
        self.last_txn_number
    }

    /// Sends a transaction and locks the rows that it moves.
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
        let op = PendingTxn {
            kind,
            txn,
            in_doubt: false,
            retry_at: None,
        };
        self.pending_txns.insert(number, op);
    }

    /// Sends a transaction that moves rows on.
    pub(super) fn begin_updates(&mut self, kind: TxnKind, actions: &mut Vec<Action>) {
        let number = self.next_txn_number();
        let mut builder = TxnBuilder::new(&self.ownership, number);
        for update in kind.updates() {
            if let Some(found) = self.tasks.get(&update.task) {
                builder.advance(found.version, &update.row);
            }
        }
        self.begin_txn(number, kind, builder.finish(), actions);
    }

    /// Sends what is due: transactions in doubt again, then the rows that have to move on.
    pub(super) fn commit_due(&mut self, now: Mono, actions: &mut Vec<Action>) {
        for op in self.pending_txns.values_mut() {
            if op.retry_at.is_some_and(|at| at <= now) {
                op.retry_at = None;
                actions.push(Action::Commit(op.txn.clone()));
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
            let under_way = self
                .pending_txns
                .values()
                .filter(|op| matches!(op.kind, TxnKind::Update(_)));
            if under_way.count() >= MAX_PENDING_UPDATE_TXNS {
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

    /// Gives the shard back once no other transaction is under way.
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

    pub(super) fn handle_settled(
        &mut self,
        id: &OpId,
        settled: Settled,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let mut ops = self.pending_txns.iter();
        let Some(number) = ops.find_map(|(n, op)| (op.txn.op == *id).then_some(*n)) else {
            return;
        };
        let Some(mut op) = self.pending_txns.remove(&number) else {
            return;
        };
        let in_doubt = op.in_doubt;
        match settled {
            Settled::Committed => self.apply_committed(op, actions),
            Settled::Conflict { key, row } if op.took_effect(&key, row.as_ref()) => {
                self.apply_committed(op, actions);
            }
            Settled::Conflict { key, row } => self.handle_conflict(op, &key, row, actions),
            Settled::Refused(_) if !in_doubt => {
                self.backoff_until = Some(now.after(IN_DOUBT_RETRY_INTERVAL));
                self.unlock(&op.kind);
                notify_aborted(&op.kind, Refusal::ByTable, actions);
            }
            Settled::Unknown | Settled::Refused(_) => {
                op.in_doubt = true;
                op.retry_at = Some(now.after(IN_DOUBT_RETRY_INTERVAL));
                self.pending_txns.insert(number, op);
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

    /// Takes in that a transaction had no effect and never will, because the row under `key` has
    /// moved on.
    fn handle_conflict(
        &mut self,
        op: PendingTxn,
        key: &str,
        row: Option<Row>,
        actions: &mut Vec<Action>,
    ) {
        if key == key::shard(&self.ownership.shard) {
            return self.stop(StopReason::Superseded, actions);
        }
        self.unlock(&op.kind);
        if let TxnKind::Submit(spec) = &op.kind {
            return self.resolve_taken_name(spec, row.as_ref(), actions);
        }
        notify_aborted(&op.kind, Refusal::ByTable, actions);
        let mut tasks = op.kind.tasks().into_iter();
        if let Some(task) = tasks.find(|task| task_key(&self.ownership, task) == key) {
            self.reload_task(&task, row.as_ref(), actions);
        }
    }

    /// Replaces what was known of a task by its row as it was found.
    fn reload_task(&mut self, task: &TaskId, row: Option<&Row>, actions: &mut Vec<Action>) {
        let Some(known) = self.tasks.remove(task) else {
            return;
        };
        if let Some((row, version)) = row.and_then(|row| parse_task_row(row, actions)) {
            self.insert(row, version, actions);
        }
        if let Some(found) = self.tasks.get_mut(task) {
            found.cancel |= known.cancel;
            if found.row.attempt == known.row.attempt && found.run.is_some() {
                found.run = known.run.or(found.run.take());
            }
        }
    }

    fn resolve_taken_name(
        &mut self,
        spec: &TaskSpec,
        row: Option<&Row>,
        actions: &mut Vec<Action>,
    ) {
        let value = row.and_then(|row| serde_json::from_value::<JobRow>(row.value.clone()).ok());
        let known = value.map(|job| job.spec);
        let outcome = known.map_or(SubmitOutcome::Conflict, |known| compare_specs(&known, spec));
        notify_submitted(&spec.task, outcome, actions);
    }

    /// Takes in that a transaction took effect.
    fn apply_committed(&mut self, op: PendingTxn, actions: &mut Vec<Action>) {
        self.unlock(&op.kind);
        match op.kind {
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
                // A cancellation that came meanwhile has to go to the other shard's owner.
                if self.tasks.remove(&task).is_some_and(|left| left.cancel) {
                    refuse(&task, Refusal::UnknownTask, actions);
                }
                actions.push(Action::Notify(Notification::HandedOff { task, to }));
            }
            TxnKind::ReleaseShard => self.stop(StopReason::GivenBack, actions),
        }
    }

    /// Takes in a row that was written.
    fn apply_update(&mut self, update: RowUpdate, actions: &mut Vec<Action>) {
        let Some(found) = self.tasks.get_mut(&update.task) else {
            return;
        };
        let task = update.task;
        let left = found.row.worker().cloned();
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
                notify_freed(left, actions);
            }
            phase => {
                self.tasks.remove(&task);
                actions.push(Action::Notify(Notification::Ended { task, phase }));
                notify_freed(left, actions);
            }
        }
    }
}

/// Takes in that a run was granted. A cancellation that came meanwhile keeps it from being started.
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

/// Tells who asked for a transaction that it was not carried out.
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
