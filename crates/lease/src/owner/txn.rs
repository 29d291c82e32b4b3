//! The owner's transactions that are in flight or in doubt.

use model::Mono;
use model::id::OpId;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use plat::table::Check;
use plat::table::Row;
use plat::table::Txn;
use plat::table::Write;
use serde::Serialize;

use crate::claim::Ownership;
use crate::record::JobRow;
use crate::record::ShardRow;
use crate::record::TaskRow;
use crate::record::TaskSpec;
use crate::record::key;

/// An update of one task's row by a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RowUpdate {
    pub task: TaskId,
    /// The row as the transaction writes it.
    pub row: TaskRow,
    /// For an assignment, the agent incarnation that may be sent the start command.
    pub agent_incarnation: Option<u32>,
}

/// The purpose of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum TxnKind {
    /// Assigns a task to a worker.
    Start(RowUpdate),
    /// Updates rows without a decision of the scheduler.
    Update(Vec<RowUpdate>),
    Submit(TaskSpec),
    HandOff {
        task: TaskId,
        to: ShardId,
    },
    ReleaseShard,
}

/// A transaction that is in flight or in doubt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingTxn {
    pub kind: TxnKind,
    pub txn: Txn,
    /// Whether an earlier request may have taken effect or may still do so.
    pub in_doubt: bool,
    /// When to resend the transaction, while no request is in flight.
    pub retry_at: Option<Mono>,
}

impl TxnKind {
    /// Returns the row updates of an assignment or update, and nothing for other transactions.
    pub fn updates(&self) -> &[RowUpdate] {
        match self {
            Self::Start(update) => std::slice::from_ref(update),
            Self::Update(updates) => updates,
            _ => &[],
        }
    }

    /// Returns the tasks whose rows are locked until the outcome of the transaction is known.
    pub fn tasks(&self) -> Vec<TaskId> {
        match self {
            Self::HandOff { task, .. } => vec![task.clone()],
            _ => self
                .updates()
                .iter()
                .map(|update| update.task.clone())
                .collect(),
        }
    }
}

impl PendingTxn {
    /// Returns whether a conflict with `row` under `key` proves that this transaction took effect.
    ///
    /// Only this owner writes the task rows of its shard, and each transaction locks its rows until
    /// its outcome is known. If a row that the transaction deletes is missing, then the transaction
    /// itself must have deleted it.
    pub fn took_effect(&self, key: &str, row: Option<&Row>) -> bool {
        match row {
            Some(row) => row.op == self.txn.op,
            None => self
                .txn
                .writes
                .iter()
                .any(|write| write.key == key && write.value.is_none()),
        }
    }
}

/// Builds transactions that are conditional on the owner's epoch.
///
/// The shard's row is checked first, so that a conflict on it is reported before any other.
pub(super) struct TxnBuilder {
    txn: Txn,
    shard: ShardId,
}

impl TxnBuilder {
    pub fn new(ownership: &Ownership, number: u64) -> Self {
        let owner = &ownership.owner;
        let op = format!(
            "{}/{}/{}/{}/{number}",
            owner.daemon, owner.incarnation, ownership.shard, ownership.epoch
        );
        let mut builder = Self {
            txn: Txn {
                op: OpId::from(op),
                checks: Vec::new(),
                writes: Vec::new(),
            },
            shard: ownership.shard.clone(),
        };
        builder.check(key::shard(&ownership.shard), ownership.version);
        builder
    }

    fn check(&mut self, key: String, version: RowVersion) {
        self.txn.checks.push(Check { key, version });
    }

    fn write(&mut self, key: String, value: &impl Serialize) {
        let value = serde_json::to_value(value).expect("rows are representable as JSON");
        let value = Some(value);
        self.txn.writes.push(Write { key, value });
    }

    fn delete(&mut self, key: String) {
        self.txn.writes.push(Write { key, value: None });
    }

    /// Updates a task's row. The row of an ended task is deleted and its final phase is stored in
    /// the [`JobRow`].
    pub fn update_row(&mut self, version: RowVersion, row: &TaskRow) {
        let task = &row.spec.task;
        let task_key = key::task(&self.shard, task);
        self.check(task_key.clone(), version);
        if !row.phase.has_ended() {
            self.write(task_key, row);
            return;
        }
        self.delete(task_key);
        let job = JobRow {
            spec: row.spec.clone(),
            shard: self.shard.clone(),
            end: Some(row.phase.clone()),
        };
        self.write(key::job(task), &job);
    }

    /// Writes the first row of a task, if its name is not in use.
    pub fn submit(&mut self, spec: &TaskSpec) {
        let job_key = key::job(&spec.task);
        self.check(job_key.clone(), RowVersion(0));
        let job = JobRow {
            spec: spec.clone(),
            shard: self.shard.clone(),
            end: None,
        };
        self.write(job_key, &job);
        let row = TaskRow::queued(spec.clone());
        self.write(key::task(&self.shard, &spec.task), &row);
    }

    /// Moves a queued task to another shard.
    pub fn hand_off(&mut self, version: RowVersion, row: &TaskRow, to: &ShardId) {
        let task = &row.spec.task;
        let from = key::task(&self.shard, task);
        self.check(from.clone(), version);
        self.delete(from);
        self.write(key::task(to, task), row);
        let job = JobRow {
            spec: row.spec.clone(),
            shard: to.clone(),
            end: None,
        };
        self.write(key::job(task), &job);
    }

    /// Releases the shard. `settled` is stored in [`ShardRow::settled`].
    pub fn release_shard(&mut self, ownership: &Ownership, settled: bool) {
        let row = ShardRow {
            owner: None,
            epoch: ownership.epoch,
            settled,
        };
        self.write(key::shard(&ownership.shard), &row);
    }

    pub fn finish(self) -> Txn {
        self.txn
    }
}
