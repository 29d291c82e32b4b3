//! The transactions of an owner that are under way or in doubt.

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

/// A row that a transaction moves on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RowUpdate {
    pub task: TaskId,
    pub row: TaskRow,
    /// The life of the agent that may be told to start the task, for a start.
    pub agent_incarnation: Option<u32>,
}

/// What a transaction is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum TxnKind {
    Start(RowUpdate),
    Update(Vec<RowUpdate>),
    Submit(TaskSpec),
    HandOff { task: TaskId, to: ShardId },
    ReleaseShard,
}

/// A transaction under way or in doubt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingTxn {
    pub kind: TxnKind,
    pub txn: Txn,
    /// Whether an earlier sending may have taken effect, or may still.
    pub in_doubt: bool,
    /// When to send it again, while it is not under way.
    pub retry_at: Option<Mono>,
}

impl TxnKind {
    /// The moves, for a transaction that moves rows on.
    pub fn updates(&self) -> &[RowUpdate] {
        match self {
            Self::Start(update) => std::slice::from_ref(update),
            Self::Update(updates) => updates,
            _ => &[],
        }
    }

    /// The tasks whose rows are locked until the fate of the transaction is known.
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
    /// Whether a conflict that shows `row` under `key` proves that this transaction took effect.
    ///
    /// Only this owner writes the rows below its shard, and each transaction locks its rows until
    /// its fate is known. The row of one that it deletes can be gone by its own doing only.
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

/// Builds transactions that are conditional on the owner's epoch. The shard's row is checked first,
/// so that a conflict names it before any other.
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

    /// Moves a row on; one that has ended is deleted and its end kept with the job.
    pub fn advance(&mut self, version: RowVersion, row: &TaskRow) {
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

    /// Writes the first row of a task, if its name is free.
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

    /// Moves a queued task below another shard.
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

    /// Gives the shard back.
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
