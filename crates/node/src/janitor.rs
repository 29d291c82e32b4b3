//! Deletes expired rows of non-idempotent requests from the table.
//!
//! The live daemon with the smallest name does this, so that the rows are read only once. Two
//! daemons that both consider themselves responsible do no harm: each deletion is conditional on
//! the version of the row that was read. Checkpoints are not deleted, because the end of a task
//! does not name the last one and the platform does not list them. See "Retries and outcomes" in
//! `docs/ROUTING.md`.

use std::sync::Arc;
use std::time::Duration;

use model::id::OpId;
use model::time::millis;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::error::CallError;
use plat::table::Check;
use plat::table::MAX_SCAN_ROWS;
use plat::table::Row;
use plat::table::Scan;
use plat::table::TableError;
use plat::table::Txn;
use plat::table::Write;
use route::proxy::intent::IntentRow;
use route::proxy::intent::PREFIX;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval_at;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::supervisor::PartResult;

/// Retention of the row of a request, during which a reuse of its id is refused. It is far above
/// any deadline and above the clock difference between two hosts.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Interval between pages.
pub const ROUND: Duration = Duration::from_secs(5);
/// Maximum number of rows deleted per page, so that most of the table's rate is left for requests.
pub const MAX_DELETED_ROWS: usize = 50;
/// Pause between the last page and the next pass.
pub const PASS_INTERVAL: Duration = Duration::from_secs(600);
/// Deadline of the transaction that deletes rows.
const DELETE_TIMEOUT: Duration = Duration::from_secs(3);

/// The rows of a page to delete, and where the next page begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sweep {
    /// The rows to delete if they still have the version that was read.
    pub delete: Vec<Row>,
    /// Key after which the next page begins once they are deleted; `None` if the page was empty.
    pub after: Option<String>,
}

/// Selects the rows of a page that are past [`RETENTION`] at `unix_ms`, in milliseconds since 1970.
///
/// A row that cannot be parsed is kept: it may have been written by a newer release.
#[must_use]
pub fn sweep(page: &[Row], unix_ms: u64) -> Sweep {
    let mut delete: Vec<Row> = page
        .iter()
        .filter(|row| is_expired(row, unix_ms))
        .cloned()
        .collect();
    let last = if delete.len() > MAX_DELETED_ROWS {
        delete.truncate(MAX_DELETED_ROWS);
        delete.last()
    } else {
        page.last()
    };
    Sweep {
        after: last.map(|row| row.key.clone()),
        delete,
    }
}

fn is_expired(row: &Row, unix_ms: u64) -> bool {
    let intent = serde_json::from_value::<IntentRow>(row.value.clone());
    intent.is_ok_and(|intent| unix_ms.saturating_sub(intent.unix_ms) >= millis(RETENTION))
}

/// Deletes expired rows until `token` is cancelled.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    // Until the heartbeats have been read once, every daemon considers itself the only one.
    let mut rounds = interval_at(Instant::now() + ROUND, ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pass = Pass::default();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = rounds.tick() => {}
        }
        if !is_responsible(&cx) {
            pass = Pass::default();
            continue;
        }
        if pass.process_page(&cx).await {
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                () = sleep(PASS_INTERVAL) => {}
            }
        }
    }
}

/// Returns whether this daemon has the smallest name among those that are alive and not draining.
fn is_responsible(cx: &DaemonContext) -> bool {
    let view = cx.view();
    let mut staying = view
        .members
        .alive(cx.clock.now())
        .filter(|(_, member)| !member.draining);
    staying
        .next()
        .is_some_and(|(daemon, _)| daemon == view.members.own_id())
}

/// The position of the current pass over the rows.
#[derive(Debug, Default)]
struct Pass {
    after: Option<String>,
    deletion_count: u64,
}

impl Pass {
    /// Processes one page; returns whether the pass has ended. While the table is unreachable, the
    /// position does not change.
    async fn process_page(&mut self, cx: &DaemonContext) -> bool {
        let page = match self.read_page(cx).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("cannot read a page of request rows: {error}");
                return false;
            }
        };
        let Sweep { delete, after } = sweep(&page, (cx.unix_ms)());
        if !self.delete(cx, delete).await {
            return false;
        }
        self.after = after;
        self.after.is_none()
    }

    async fn read_page(&self, cx: &DaemonContext) -> Result<Vec<Row>, TableError> {
        let scan = Scan {
            prefix: PREFIX.to_owned(),
            after: self.after.clone(),
            limit: MAX_SCAN_ROWS,
        };
        let page = (cx.platform.table.scan)(scan.clone()).await?;
        if scan.is_valid_page(&page) {
            Ok(page)
        } else {
            Err(CallError::Unknown("page out of order".to_owned()).into())
        }
    }

    /// Deletes rows in one transaction, leaving out those that were written meanwhile; returns
    /// whether none is left to delete.
    async fn delete(&mut self, cx: &DaemonContext, mut rows: Vec<Row>) -> bool {
        while !rows.is_empty() {
            let txn = self.deletion_txn(cx, &rows);
            let deadline = Instant::now() + DELETE_TIMEOUT;
            match commit_with_retries(&cx.platform.table, txn, deadline).await {
                TxnOutcome::Committed => return true,
                TxnOutcome::Conflict { key, .. } => rows.retain(|row| row.key != key),
                TxnOutcome::Unknown | TxnOutcome::Refused(_) => return false,
            }
        }
        true
    }

    fn deletion_txn(&mut self, cx: &DaemonContext, rows: &[Row]) -> Txn {
        self.deletion_count += 1;
        let me = cx.identity();
        let check = |row: &Row| Check {
            key: row.key.clone(),
            version: row.version,
        };
        let write = |row: &Row| Write {
            key: row.key.clone(),
            value: None,
        };
        Txn {
            op: OpId::new(format!(
                "janitor/{}/{}/{}/{}",
                me.daemon,
                me.incarnation,
                cx.clock.now().0,
                self.deletion_count
            )),
            checks: rows.iter().map(check).collect(),
            writes: rows.iter().map(write).collect(),
        }
    }
}
