//! Removes rows of the table that nobody needs any more: those of old non-idempotent requests.
//!
//! The daemon with the smallest name among the living ones does it, so that the rows are read once.
//! Two that both take themselves for it do no harm: each deletion is conditional on the version of
//! the row that was read. Checkpoints are left alone, because the end of a task does not name the
//! last one, and the platform does not list them. See "Retries and outcomes" in `docs/ROUTING.md`.

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

use crate::cx::Cx;
use crate::supervisor::PartResult;

/// How long the row of a request is kept, and so how long its id is refused a second time. It is far
/// above any deadline and above what the clocks of two hosts differ by.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// How often a page of rows is read.
pub const ROUND: Duration = Duration::from_secs(5);
/// The most rows that one round deletes, so that requests keep most of the table's rate.
pub const MAX_DELETED_ROWS: usize = 50;
/// How long to wait after the last page before the first one is read again.
pub const PASS_INTERVAL: Duration = Duration::from_secs(600);
/// How long a deletion may stay unanswered.
const DELETE_TIMEOUT: Duration = Duration::from_secs(3);

/// What one round does with a page of rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sweep {
    /// The rows to delete if they still have the version that was read.
    pub delete: Vec<Row>,
    /// Where the next page begins once they are deleted; `None` if the page was the last one.
    pub after: Option<String>,
}

/// Decides which rows of a page are old enough at `unix_ms`, in milliseconds since 1970.
///
/// A row that cannot be read stays: it may have been written by a newer release.
#[must_use]
pub fn sweep(page: &[Row], unix_ms: u64) -> Sweep {
    let mut delete: Vec<Row> = page
        .iter()
        .filter(|row| is_old(row, unix_ms))
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

fn is_old(row: &Row, unix_ms: u64) -> bool {
    let intent = serde_json::from_value::<IntentRow>(row.value.clone());
    intent.is_ok_and(|intent| unix_ms.saturating_sub(intent.unix_ms) >= millis(RETENTION))
}

/// Removes old rows until `token` asks for the end.
///
/// # Errors
///
/// None at present; the signature is that of a part.
pub async fn run(cx: Arc<Cx>, token: CancellationToken) -> PartResult {
    // Until the heartbeats were read once, every daemon takes itself for the only one.
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
        if pass.round(&cx).await {
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                () = sleep(PASS_INTERVAL) => {}
            }
        }
    }
}

/// Whether this daemon has the smallest name among those that are alive and stay.
fn is_responsible(cx: &Cx) -> bool {
    let view = cx.view();
    let mut staying = view
        .members
        .alive(cx.clock.now())
        .filter(|(_, member)| !member.draining);
    staying
        .next()
        .is_some_and(|(daemon, _)| daemon == view.members.own_id())
}

/// How far the present pass over the rows is.
#[derive(Debug, Default)]
struct Pass {
    after: Option<String>,
    deletions: u64,
}

impl Pass {
    /// Deals with one page; returns whether the pass has ended. While the table is away, the pass
    /// stays where it is.
    async fn round(&mut self, cx: &Cx) -> bool {
        let page = match self.read(cx).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("old rows are not removed now: {error}");
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

    async fn read(&self, cx: &Cx) -> Result<Vec<Row>, TableError> {
        let scan = Scan {
            prefix: PREFIX.to_owned(),
            after: self.after.clone(),
            limit: MAX_SCAN_ROWS,
        };
        let page = (cx.outside.table.scan)(scan.clone()).await?;
        if scan.is_valid_page(&page) {
            Ok(page)
        } else {
            Err(CallError::Unknown("page out of order".to_owned()).into())
        }
    }

    /// Deletes rows in one transaction, without those that were written meanwhile; returns whether
    /// none of them is left to delete.
    async fn delete(&mut self, cx: &Cx, mut rows: Vec<Row>) -> bool {
        while !rows.is_empty() {
            let txn = self.deletion(cx, &rows);
            let deadline = Instant::now() + DELETE_TIMEOUT;
            match commit_with_retries(&cx.outside.table, txn, deadline).await {
                TxnOutcome::Committed => return true,
                TxnOutcome::Conflict { key, .. } => rows.retain(|row| row.key != key),
                TxnOutcome::Unknown | TxnOutcome::Refused(_) => return false,
            }
        }
        true
    }

    fn deletion(&mut self, cx: &Cx, rows: &[Row]) -> Txn {
        self.deletions += 1;
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
                self.deletions
            )),
            checks: rows.iter().map(check).collect(),
            writes: rows.iter().map(write).collect(),
        }
    }
}
