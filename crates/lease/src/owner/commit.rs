//! The fate of an owner's transactions.

use model::Mono;
use model::id::OpId;
use model::id::RowVersion;
use model::id::TaskId;
use model::id::WorkerId;
use plat::commit::TxnOutcome;
use plat::table::Row;
use plat::table::Txn;

use super::Action;
use super::Fact;
use super::Reason;
use super::Refusal;
use super::ShardOwner;
use super::Submission;
use super::op::Builder;
use super::op::Kind;
use super::op::Move;
use super::op::Op;
use super::parse;
use super::requests::compare;
use super::requests::notify_submitted;
use super::requests::refuse;
use super::task::Run;
use super::task::Task;
use super::task_key;
use crate::record::JobRow;
use crate::record::Phase;
use crate::record::TaskRow;
use crate::record::TaskSpec;
use crate::record::key;
use crate::timing::DOUBT_RETRY;
use crate::timing::MAX_ROWS;

/// The most transactions under way that move rows on without a decision of the scheduler; what
/// comes about meanwhile goes together into the next one.
const MAX_MOVES_UNDER_WAY: usize = 2;

impl ShardOwner {
    pub(super) fn next_op(&mut self) -> u64 {
        self.last_op += 1;
        self.last_op
    }

    /// Sends a transaction and locks the rows that it moves.
    pub(super) fn begin(&mut self, number: u64, kind: Kind, txn: Txn, actions: &mut Vec<Action>) {
        for task in kind.tasks() {
            if let Some(found) = self.tasks.get_mut(&task) {
                found.op = Some(number);
            }
        }
        actions.push(Action::Commit(txn.clone()));
        let op = Op {
            kind,
            txn,
            doubted: false,
            retry_at: None,
        };
        self.ops.insert(number, op);
    }

    /// Sends a transaction that moves rows on.
    pub(super) fn begin_moves(&mut self, kind: Kind, actions: &mut Vec<Action>) {
        let number = self.next_op();
        let mut builder = Builder::new(&self.claimed, number);
        for moved in kind.moves() {
            if let Some(found) = self.tasks.get(&moved.task) {
                builder.advance(found.version, &moved.row);
            }
        }
        self.begin(number, kind, builder.finish(), actions);
    }

    /// Sends what is due: transactions in doubt again, then the rows that have to move on.
    pub(super) fn commit_due(&mut self, now: Mono, actions: &mut Vec<Action>) {
        for op in self.ops.values_mut() {
            if op.retry_at.is_some_and(|at| at <= now) {
                op.retry_at = None;
                actions.push(Action::Commit(op.txn.clone()));
            }
        }
        if self.hold_until.is_some_and(|at| at <= now) {
            self.hold_until = None;
        }
        if !self.loaded || !self.store_reachable || self.hold_until.is_some() {
            return;
        }
        if self.giving_back {
            return self.give_back(actions);
        }
        loop {
            let under_way = self
                .ops
                .values()
                .filter(|op| matches!(op.kind, Kind::Moves(_)));
            if under_way.count() >= MAX_MOVES_UNDER_WAY {
                return;
            }
            let due = self.tasks.values().filter(|task| task.op.is_none());
            let moves: Vec<Move> = due
                .filter_map(|task| {
                    Some(Move {
                        task: task.row.spec.task.clone(),
                        row: task.next_row()?,
                        life: None,
                    })
                })
                .take(MAX_ROWS)
                .collect();
            if moves.is_empty() {
                return;
            }
            self.begin_moves(Kind::Moves(moves), actions);
        }
    }

    /// Gives the shard back once no other transaction is under way.
    fn give_back(&mut self, actions: &mut Vec<Action>) {
        if !self.ops.is_empty() {
            return;
        }
        let mut workers = self.workers.iter();
        let settled = workers
            .all(|(name, worker)| worker.heard.is_some() || worker.lapsed || !self.has_runs(name));
        let number = self.next_op();
        let mut builder = Builder::new(&self.claimed, number);
        builder.give_back(&self.claimed, settled);
        self.begin(number, Kind::GiveBack, builder.finish(), actions);
    }

    pub(super) fn settled(
        &mut self,
        id: &OpId,
        settled: TxnOutcome,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let mut ops = self.ops.iter();
        let Some(number) = ops.find_map(|(n, op)| (op.txn.op == *id).then_some(*n)) else {
            return;
        };
        let Some(mut op) = self.ops.remove(&number) else {
            return;
        };
        let doubted = op.doubted;
        match settled {
            TxnOutcome::Committed => self.apply(op, actions),
            TxnOutcome::Conflict { key, row } if op.took_effect(&key, row.as_ref()) => {
                self.apply(op, actions);
            }
            TxnOutcome::Conflict { key, row } => self.conflicted(op, &key, row, actions),
            TxnOutcome::Refused(_) if !doubted => {
                self.hold_until = Some(now.after(DOUBT_RETRY));
                self.unlock(&op.kind);
                give_up(&op.kind, Refusal::ByTable, actions);
            }
            TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
                op.doubted = true;
                op.retry_at = Some(now.after(DOUBT_RETRY));
                self.ops.insert(number, op);
            }
        }
    }

    fn unlock(&mut self, kind: &Kind) {
        for task in kind.tasks() {
            if let Some(found) = self.tasks.get_mut(&task) {
                found.op = None;
            }
        }
    }

    /// Takes in that a transaction had no effect and never will, because the row under `key` has
    /// moved on.
    fn conflicted(&mut self, op: Op, key: &str, row: Option<Row>, actions: &mut Vec<Action>) {
        if key == key::shard(&self.claimed.shard) {
            return self.stop(Reason::Superseded, actions);
        }
        self.unlock(&op.kind);
        if let Kind::Submit(spec) = &op.kind {
            return self.name_taken(spec, row.as_ref(), actions);
        }
        give_up(&op.kind, Refusal::ByTable, actions);
        let mut tasks = op.kind.tasks().into_iter();
        if let Some(task) = tasks.find(|task| task_key(&self.claimed, task) == key) {
            self.replace(&task, row.as_ref(), actions);
        }
    }

    /// Replaces what was known of a task by its row as it was found.
    fn replace(&mut self, task: &TaskId, row: Option<&Row>, actions: &mut Vec<Action>) {
        let Some(known) = self.tasks.remove(task) else {
            return;
        };
        if let Some((row, version)) = row.and_then(|row| parse(row, actions)) {
            self.insert(row, version, actions);
        }
        if let Some(found) = self.tasks.get_mut(task) {
            found.cancel |= known.cancel;
            if found.row.attempt == known.row.attempt && found.run.is_some() {
                found.run = known.run.or(found.run.take());
            }
        }
    }

    fn name_taken(&mut self, spec: &TaskSpec, row: Option<&Row>, actions: &mut Vec<Action>) {
        let value = row.and_then(|row| serde_json::from_value::<JobRow>(row.value.clone()).ok());
        let known = value.map(|job| job.spec);
        let result = known.map_or(Submission::Conflict, |known| compare(&known, spec));
        notify_submitted(&spec.task, result, actions);
    }

    /// Takes in that a transaction took effect.
    fn apply(&mut self, op: Op, actions: &mut Vec<Action>) {
        self.unlock(&op.kind);
        match op.kind {
            Kind::Start(moved) => self.advance(moved, actions),
            Kind::Moves(moves) => {
                for moved in moves {
                    self.advance(moved, actions);
                }
            }
            Kind::Submit(spec) => {
                let task = spec.task.clone();
                notify_submitted(&task, Submission::Accepted, actions);
                if !self.tasks.contains_key(&task) {
                    self.insert(TaskRow::queued(spec), RowVersion(1), actions);
                }
            }
            Kind::HandOff { task, to } => {
                // A cancellation that came meanwhile has to go to the other shard's owner.
                if self.tasks.remove(&task).is_some_and(|left| left.cancel) {
                    refuse(&task, Refusal::UnknownTask, actions);
                }
                actions.push(Action::Notify(Fact::HandedOff { task, to }));
            }
            Kind::GiveBack => self.stop(Reason::GivenBack, actions),
        }
    }

    /// Takes in a row that was written.
    fn advance(&mut self, moved: Move, actions: &mut Vec<Action>) {
        let Some(found) = self.tasks.get_mut(&moved.task) else {
            return;
        };
        let task = moved.task;
        let left = found.row.worker().cloned();
        let cause = found.cause();
        let newly_marked = moved.row.cancel && !found.row.cancel;
        found.row = moved.row;
        found.version = found.version.next();
        if newly_marked {
            actions.push(Action::Notify(Fact::Cancelling { task: task.clone() }));
        }
        match found.row.phase.clone() {
            Phase::Assigned { worker, .. } => {
                if let Some(life) = moved.life {
                    granted(found, worker, life, actions);
                }
            }
            Phase::Queued => {
                found.run = None;
                actions.push(Action::Notify(Fact::Requeued { task, cause }));
                notify_freed(left, actions);
            }
            phase => {
                self.tasks.remove(&task);
                actions.push(Action::Notify(Fact::Ended { task, phase }));
                notify_freed(left, actions);
            }
        }
    }
}

/// Takes in that a run was granted. A cancellation that came meanwhile keeps it from being started.
fn granted(task: &mut Task, worker: WorkerId, life: u32, actions: &mut Vec<Action>) {
    let mut run = Run::granted(life);
    run.barrier = task.cancel.then_some(1);
    task.run = Some(run);
    actions.push(Action::Notify(Fact::Started {
        task: task.row.spec.task.clone(),
        attempt: task.row.attempt,
        worker,
    }));
}

fn notify_freed(worker: Option<WorkerId>, actions: &mut Vec<Action>) {
    if let Some(worker) = worker {
        actions.push(Action::Notify(Fact::Freed { worker }));
    }
}

/// Tells who asked for a transaction that it was not carried out.
fn give_up(kind: &Kind, why: Refusal, actions: &mut Vec<Action>) {
    match kind {
        Kind::Start(moved) => refuse(&moved.task, why, actions),
        Kind::HandOff { task, .. } => refuse(task, why, actions),
        Kind::Submit(spec) => {
            notify_submitted(&spec.task, Submission::NotAccepted(why), actions);
        }
        Kind::Moves(_) | Kind::GiveBack => {}
    }
}
