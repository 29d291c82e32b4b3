//! Finds out what became of a write whose answer was lost.

use std::time::Duration;

use model::id::RowVersion;
use tokio::time::Instant;
use tokio::time::sleep;

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
pub enum Settled {
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
/// Repeating is safe because every transaction of ours checks a row that it also writes: of all the
/// copies under way at most one can take effect, and once a check fails the late ones cannot
/// either. Whether the copy that took effect was ours shows in the id kept with the row. A row that
/// was written again since by another is reported as [`Settled::Conflict`] with its content, from
/// which the caller's state machine concludes.
///
/// See `docs/PLATFORM.md` for the contract that this rests on.
pub async fn settle(table: &Table, txn: Txn, deadline: Instant) -> Settled {
    let mut backoff = FIRST_BACKOFF;
    let mut in_doubt = false;
    loop {
        let answer = tokio::time::timeout_at(deadline, (table.commit)(txn.clone())).await;
        match answer {
            Ok(Ok(_)) => return Settled::Committed,
            Ok(Err(TableError::Conflict { key, actual })) => {
                return conflict(table, &txn, key, actual, in_doubt, deadline).await;
            }
            Ok(Err(TableError::Call(CallError::Refused(reason)))) if !in_doubt => {
                return Settled::Refused(reason);
            }
            Ok(Err(TableError::Call(_))) => in_doubt = true,
            Err(_) => return Settled::Unknown,
        }
        if Instant::now() + backoff >= deadline {
            return Settled::Unknown;
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn conflict(
    table: &Table,
    txn: &Txn,
    key: String,
    actual: RowVersion,
    in_doubt: bool,
    deadline: Instant,
) -> Settled {
    if !in_doubt && actual == RowVersion::default() {
        return Settled::Conflict { key, row: None };
    }
    let row = loop {
        match tokio::time::timeout_at(deadline, (table.read)(key.clone())).await {
            Ok(Ok(row)) => break row,
            Ok(Err(_)) if Instant::now() + FIRST_BACKOFF < deadline => sleep(FIRST_BACKOFF).await,
            Ok(Err(_)) | Err(_) => return Settled::Unknown,
        }
    };
    match row {
        Some(row) if in_doubt && row.op == txn.op => Settled::Committed,
        row => Settled::Conflict { key, row },
    }
}
