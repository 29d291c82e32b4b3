//! Commits transactions and resolves the outcome of those whose response was lost.

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

/// The wait before the first retry; it doubles with each retry up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TxnOutcome {
    /// It took effect.
    Committed,
    /// A row that it checks has another version, so it did not take effect and never will; or it
    /// did, but no row with its id is left.
    Conflict {
        /// The key of the row whose check failed.
        key: String,
        /// The current row, or `None` if it does not exist.
        row: Option<Row>,
    },
    /// The deadline passed or a retry was not safe; it may have taken effect or may still do so.
    Unknown,
    /// It was refused and had no effect; the string gives the reason.
    Refused(String),
}

/// Commits `txn` and, if a response is lost, retries it under the same id until its outcome is
/// known or `deadline` has passed.
///
/// A retry is safe if the transaction checks a row that it also writes: at most one of the copies
/// in flight can take effect, and once a check has failed, no delayed copy can take effect either.
/// Any other transaction (see [`Txn::is_retry_safe`]) is sent only once, and its outcome is
/// [`TxnOutcome::Unknown`] if the response is lost.
///
/// A conflict does not prove that the transaction had no effect, because an earlier copy of it may
/// have changed the row. Each row stores the id of its last write, which shows whether a copy took
/// effect. If others have overwritten all rows that the transaction wrote, the outcome is
/// [`TxnOutcome::Conflict`] with the row whose check failed, and the caller has to decide from that
/// row whether the transaction took effect.
///
/// See "Repeating a transaction" in `docs/PLATFORM.md` for the contract on which this depends.
pub async fn commit_with_retries(table: &Table, txn: Txn, deadline: Instant) -> TxnOutcome {
    if Instant::now() >= deadline {
        return TxnOutcome::Refused("the deadline passed before it was sent".to_owned());
    }
    let mut backoff = FIRST_BACKOFF;
    let mut in_doubt = false;
    loop {
        let result = timeout_at(deadline, (table.commit)(txn.clone())).await;
        match result {
            Ok(Ok(_)) => return TxnOutcome::Committed,
            Ok(Err(TableError::Conflict { key, actual })) => {
                let outcome =
                    timeout_at(deadline, outcome_after_conflict(table, &txn, key, actual));
                return outcome.await.unwrap_or(TxnOutcome::Unknown);
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

/// Determines whether the check of `key` failed because an earlier copy of `txn` took effect.
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

/// Reads a row, and retries until the table returns one that is not older than `version`.
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
