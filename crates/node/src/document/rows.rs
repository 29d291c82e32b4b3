//! Reads and writes the rows of the document.

use std::time::Duration;

use conf::accept::change::WriteResult;
use conf::accept::row::RowCheck;
use conf::accept::row::RowRead;
use conf::accept::row::RowWrite;
use conf::accept::row::View;
use conf::accept::row::Write;
use conf::accept::row::key;
use model::id::OpId;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Check;
use plat::table::Row;
use plat::table::Table;
use plat::table::Txn;
use tokio::time::Instant;

use crate::context::DaemonContext;

/// Deadline of a write to the document's rows.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads `doc/staged`, then `doc/current`; `None` if the table does not answer or a row cannot be
/// parsed.
pub async fn read(table: &Table) -> Option<View> {
    let staged = (table.read)(key::STAGED.to_owned()).await.ok()?;
    let current = (table.read)(key::CURRENT.to_owned()).await.ok()?;
    let view = View::from_rows(staged.map(row_read), current.map(row_read));
    view.inspect_err(|error| log::error!("cannot parse a row of the document: {error}"))
        .ok()
}

fn row_read(row: Row) -> RowRead {
    RowRead {
        version: row.version,
        value: row.value,
    }
}

/// Executes a write of the protocol.
pub async fn write(cx: &DaemonContext, write: &Write) -> WriteResult {
    let Ok(writes) = write.writes() else {
        return WriteResult::Refused;
    };
    let check = |check: RowCheck| Check {
        key: check.key,
        version: check.version,
    };
    let row = |row: RowWrite| plat::table::Write {
        key: row.key,
        value: row.value,
    };
    let txn = Txn {
        op: unique_op_id(cx, write),
        checks: write.checks().into_iter().map(check).collect(),
        writes: writes.into_iter().map(row).collect(),
    };
    match commit_with_retries(&cx.platform.table, txn, Instant::now() + WRITE_TIMEOUT).await {
        TxnOutcome::Committed => WriteResult::Done,
        TxnOutcome::Conflict { .. } => WriteResult::Conflict,
        TxnOutcome::Refused(_) => WriteResult::Refused,
        TxnOutcome::Unknown => WriteResult::Unknown,
    }
}

/// Returns an operation id that no other write has. Two operators may stage a change through this
/// daemon under one ballot, and the one whose write failed must not mistake the other's write for
/// its own.
fn unique_op_id(cx: &DaemonContext, write: &Write) -> OpId {
    let me = cx.identity();
    let (step, ballot) = match write {
        Write::Stage { ballot, .. } => ("stage", ballot),
        Write::Commit { ballot, .. } => ("commit", ballot),
        Write::Clear { ballot } => ("clear", ballot),
    };
    OpId::new(format!(
        "doc/{}/{}/{step}/{ballot}/{}",
        me.daemon,
        me.incarnation,
        cx.next_write_number()
    ))
}
