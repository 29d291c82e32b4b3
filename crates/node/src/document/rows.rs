//! Reads and writes the rows of the document.

use std::time::Duration;

use conf::accept::change::Written;
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

use crate::cx::Cx;

/// How long a write of the document's rows may stay unanswered.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads `doc/staged`, then `doc/current`; `None` if the table does not answer or a row cannot be
/// read.
pub async fn read(table: &Table) -> Option<View> {
    let staged = (table.read)(key::STAGED.to_owned()).await.ok()?;
    let current = (table.read)(key::CURRENT.to_owned()).await.ok()?;
    let view = View::from_rows(staged.map(row_read), current.map(row_read));
    view.inspect_err(|error| log::error!("a row of the document cannot be read: {error}"))
        .ok()
}

fn row_read(row: Row) -> RowRead {
    RowRead {
        version: row.version,
        value: row.value,
    }
}

/// Carries out a write of the protocol.
pub async fn write(cx: &Cx, write: &Write) -> Written {
    let Ok(writes) = write.writes() else {
        return Written::Refused;
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
        op: op(cx, write),
        checks: write.checks().into_iter().map(check).collect(),
        writes: writes.into_iter().map(row).collect(),
    };
    match commit_with_retries(&cx.outside.table, txn, Instant::now() + WRITE_TIMEOUT).await {
        TxnOutcome::Committed => Written::Done,
        TxnOutcome::Conflict { .. } => Written::Conflict,
        TxnOutcome::Refused(_) => Written::Refused,
        TxnOutcome::Unknown => Written::Unknown,
    }
}

/// An id that no other write has: two operators may have this daemon stage under one ballot, and the
/// one whose write failed must not take the other's for its own.
fn op(cx: &Cx, write: &Write) -> OpId {
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
        cx.next_write()
    ))
}
