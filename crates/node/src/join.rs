//! Begins a new incarnation of a daemon under its name.
//!
//! The incarnation in the row `life/<daemon>` is raised by compare-and-set before the daemon does
//! anything else, so that the effects of earlier incarnations can be distinguished from those of
//! this one. That row is never deleted; the heartbeat row `member/<daemon>` is deleted by an
//! orderly shutdown, so that no daemon waits for it.

use std::time::Duration;

use conf::settings::Settings;
use lease::record::Addresses;
use lease::record::MemberRow;
use lease::record::Owner;
use lease::record::key;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::OpId;
use model::id::RowVersion;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Check;
use plat::table::Row;
use plat::table::Table;
use plat::table::Txn;
use plat::table::Write;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

/// Deadline of one attempt to join, and of each read within it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Raises the incarnation of the daemon named in the settings; retries for as long as the table is
/// unreachable.
pub async fn join(table: &Table, settings: &Settings, addresses: Addresses, seed: u64) -> Owner {
    loop {
        if let Some(owner) = try_join(table, settings, addresses, seed).await {
            return owner;
        }
        log::warn!(daemon = settings.daemon.as_str(); "the table does not answer, joining later");
        sleep(RETRY_DELAY).await;
    }
}

async fn try_join(
    table: &Table,
    settings: &Settings,
    addresses: Addresses,
    seed: u64,
) -> Option<Owner> {
    let incarnation_key = incarnation_key(&settings.daemon);
    let member_key = key::member(&settings.daemon);
    let current = read(table, &incarnation_key).await?;
    let member = read(table, &member_key).await?;
    let known = current
        .as_ref()
        .and_then(|row| serde_json::from_value::<IncarnationRow>(row.value.clone()).ok());
    let incarnation = known.map_or(Incarnation(1), |row| row.incarnation.next());
    let row = member_row(settings, addresses, incarnation);
    let check = |key: &str, row: Option<Row>| Check {
        key: key.to_owned(),
        version: row.map_or(RowVersion(0), |row| row.version),
    };
    let write = |key: String, value: Option<Value>| Write { key, value };
    let txn = Txn {
        op: OpId::new(format!("join/{}/{incarnation}/{seed:x}", settings.daemon)),
        checks: vec![check(&incarnation_key, current), check(&member_key, member)],
        writes: vec![
            write(
                incarnation_key,
                serde_json::to_value(IncarnationRow { incarnation }).ok(),
            ),
            write(member_key, serde_json::to_value(row).ok()),
        ],
    };
    match commit_with_retries(table, txn, Instant::now() + ATTEMPT_TIMEOUT).await {
        TxnOutcome::Committed => Some(Owner {
            daemon: settings.daemon.clone(),
            incarnation,
        }),
        _ => None,
    }
}

/// Reads a row; the outer `None` means that the table did not answer.
async fn read(table: &Table, row_key: &str) -> Option<Option<Row>> {
    let read = (table.read)(row_key.to_owned());
    tokio::time::timeout(ATTEMPT_TIMEOUT, read).await.ok()?.ok()
}

/// The latest incarnation of a daemon; stored in the row `life/<daemon>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRow {
    /// The incarnation begun last.
    pub incarnation: Incarnation,
}

/// Returns the key of the row that stores the incarnation of a daemon.
#[must_use]
pub fn incarnation_key(daemon: &DaemonId) -> String {
    format!("life/{daemon}")
}

/// Returns the first heartbeat row of an incarnation.
#[must_use]
pub fn member_row(
    settings: &Settings,
    addresses: Addresses,
    incarnation: Incarnation,
) -> MemberRow {
    MemberRow {
        daemon: settings.daemon.clone(),
        incarnation,
        heartbeat_count: 0,
        half: settings.half.clone(),
        place: settings.place.clone(),
        addresses,
        draining: false,
        ballot: RowVersion(0),
        in_force: DocVersion(0),
    }
}
