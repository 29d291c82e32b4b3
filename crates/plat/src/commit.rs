//! Finds out what became of a write whose answer was lost.

use std::time::Duration;

use model::id::RowVersion;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::error::CallError;
use crate::table::Row;
use crate::table::Table;
use crate::table::TableError;
use crate::table::Txn;

/// How long to wait before the first repetition; doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between repetitions.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TxnOutcome {
    /// It took effect.
    Committed,
    /// It did not take effect and never will: a row that it checks has moved on.
    Conflict {
        /// The key of the row.
        key: String,
        /// The row as it stands, if it is there.
        row: Option<Row>,
    },
    /// The deadline came first; it may have taken effect, or may still.
    Unknown,
    /// The table refused it and it had no effect.
    Refused(String),
}

/// Carries out `txn`, and after a lost answer repeats it under the same id until its fate is known
/// or `deadline` has passed.
///
/// Repeating is safe where the transaction checks a row that it also writes: of all the copies
/// under way at most one can take effect, and once a check fails the late ones cannot either. Any
/// other transaction ([`Txn::is_retry_safe`]) is sent once, and [`TxnOutcome::Unknown`] if its answer is
/// lost.
///
/// A conflict alone does not say that the transaction had no effect: the row may have moved on
/// because of an earlier copy of it. Whether one took effect shows in the id kept with the rows that
/// it writes. If all of those were written again since by others, [`TxnOutcome::Conflict`] is returned
/// with the row whose check failed, from which the caller's state machine concludes.
///
/// See "Repeating a transaction" in `docs/PLATFORM.md` for the contract that this rests on.
pub async fn commit_with_retries(table: &Table, txn: Txn, deadline: Instant) -> TxnOutcome {
    if Instant::now() >= deadline {
        return TxnOutcome::Refused("the deadline passed before it was sent".to_owned());
    }
    let mut backoff = FIRST_BACKOFF;
    let mut in_doubt = false;
    loop {
        let answer = timeout_at(deadline, (table.commit)(txn.clone())).await;
        match answer {
            Ok(Ok(_)) => return TxnOutcome::Committed,
            Ok(Err(TableError::Conflict { key, actual })) => {
                let fate = timeout_at(deadline, outcome_after_conflict(table, &txn, key, actual));
                return fate.await.unwrap_or(TxnOutcome::Unknown);
            }
            Ok(Err(TableError::Call(CallError::Refused(reason)))) if !in_doubt => {
                return TxnOutcome::Refused(reason);
            }
            Ok(Err(TableError::Call(_))) => in_doubt = true,
            Err(_) => return TxnOutcome::Unknown,
        }
        if !txn.is_retry_safe() || Instant::now() + backoff >= deadline {
            return TxnOutcome::Unknown;
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Finds out whether an earlier copy of a transaction is why its check of `key` failed.
async fn outcome_after_conflict(
    table: &Table,
    txn: &Txn,
    key: String,
    actual: RowVersion,
) -> TxnOutcome {
    for write in txn.writes.iter().filter(|write| write.value.is_some()) {
        let row = read_at_least(table, &write.key, RowVersion::default()).await;
        if row.is_some_and(|row| row.op == txn.op) {
            return TxnOutcome::Committed;
        }
    }
    let row = read_at_least(table, &key, actual).await;
    TxnOutcome::Conflict { key, row }
}

/// Reads a row until the table answers with one that is not older than `version`.
async fn read_at_least(table: &Table, key: &str, version: RowVersion) -> Option<Row> {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match (table.read)(key.to_owned()).await {
            Ok(Some(row)) if row.version < version => {}
            Ok(row) => return row,
            Err(_) => {}
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
