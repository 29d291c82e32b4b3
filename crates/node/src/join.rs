//! Begins a new life of a daemon under its name.
//!
//! The incarnation in the row `life/<daemon>` is raised by compare-and-set before the daemon does
//! anything else, so that whatever an earlier life left behind can be told apart from this one's. That
//! row stays for ever; the heartbeat row `member/<daemon>` is deleted by a daemon that leaves in order,
//! so that nobody waits for it any more.

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

/// How long one try to join may take.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait between two tries.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Raises the incarnation of the daemon named in the settings, however long the table is away.
pub async fn join(table: &Table, settings: &Settings, addresses: Addresses, seed: u64) -> Owner {
    loop {
        if let Some(owner) = attempt(table, settings, addresses, seed).await {
            return owner;
        }
        log::warn!(daemon = settings.daemon.as_str(); "the table does not answer, joining later");
        sleep(RETRY_DELAY).await;
    }
}

async fn attempt(
    table: &Table,
    settings: &Settings,
    addresses: Addresses,
    seed: u64,
) -> Option<Owner> {
    let life_key = life_key(&settings.daemon);
    let member_key = key::member(&settings.daemon);
    let life = read(table, &life_key).await?;
    let member = read(table, &member_key).await?;
    let known = life
        .as_ref()
        .and_then(|row| serde_json::from_value::<Life>(row.value.clone()).ok());
    let incarnation = known.map_or(Incarnation(1), |life| life.incarnation.next());
    let row = member_row(settings, addresses, incarnation);
    let check = |key: &str, row: Option<Row>| Check {
        key: key.to_owned(),
        version: row.map_or(RowVersion(0), |row| row.version),
    };
    let write = |key: String, value: Option<Value>| Write { key, value };
    let txn = Txn {
        op: OpId::new(format!("join/{}/{incarnation}/{seed:x}", settings.daemon)),
        checks: vec![check(&life_key, life), check(&member_key, member)],
        writes: vec![
            write(life_key, serde_json::to_value(Life { incarnation }).ok()),
            write(member_key, serde_json::to_value(row).ok()),
        ],
    };
    match commit_with_retries(table, txn, Instant::now() + TRY_TIMEOUT).await {
        TxnOutcome::Committed => Some(Owner {
            daemon: settings.daemon.clone(),
            incarnation,
        }),
        _ => None,
    }
}

/// Reads a row; `None` if the table does not answer.
async fn read(table: &Table, row_key: &str) -> Option<Option<Row>> {
    let read = (table.read)(row_key.to_owned());
    tokio::time::timeout(TRY_TIMEOUT, read).await.ok()?.ok()
}

/// Which life of a daemon was begun last; the row `life/<daemon>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The life.
    pub incarnation: Incarnation,
}

/// The key of the row that counts the lives of a daemon.
#[must_use]
pub fn life_key(daemon: &DaemonId) -> String {
    format!("life/{daemon}")
}

/// The first heartbeat of a life.
#[must_use]
pub fn member_row(
    settings: &Settings,
    addresses: Addresses,
    incarnation: Incarnation,
) -> MemberRow {
    MemberRow {
        daemon: settings.daemon.clone(),
        incarnation,
        beat: 0,
        half: settings.half.clone(),
        place: settings.place.clone(),
        addresses,
        draining: false,
        ballot: RowVersion(0),
        in_force: DocVersion(0),
    }
}
