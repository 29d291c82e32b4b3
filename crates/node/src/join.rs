//! Begins a new life of a daemon under its name.
//!
//! The incarnation in the row `member/<daemon>` is raised by compare-and-set before the daemon does
//! anything else, so that whatever an earlier life left behind can be told apart from this one's.

use std::time::Duration;

use conf::settings::Settings;
use lease::record::Addresses;
use lease::record::MemberRow;
use lease::record::Owner;
use lease::record::key;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::OpId;
use model::id::RowVersion;
use plat::settle::Settled;
use plat::settle::settle;
use plat::table::Check;
use plat::table::Table;
use plat::table::Txn;
use plat::table::Write;
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
    let row_key = key::member(&settings.daemon);
    let read = tokio::time::timeout(TRY_TIMEOUT, (table.read)(row_key.clone())).await;
    let row = read.ok()?.ok()?;
    let known = row.as_ref().and_then(|row| incarnation_of(&row.value));
    let version = row.map_or(RowVersion(0), |row| row.version);
    let incarnation = known.map_or(Incarnation(1), Incarnation::next);
    let member = member_row(settings, addresses, incarnation);
    let txn = Txn {
        op: OpId::new(format!("join/{}/{incarnation}/{seed:x}", settings.daemon)),
        checks: vec![Check {
            key: row_key.clone(),
            version,
        }],
        writes: vec![Write {
            key: row_key,
            value: serde_json::to_value(member).ok(),
        }],
    };
    match settle(table, txn, Instant::now() + TRY_TIMEOUT).await {
        Settled::Committed => Some(Owner {
            daemon: settings.daemon.clone(),
            incarnation,
        }),
        _ => None,
    }
}

/// Reads the incarnation alone, so that a row of another release still counts.
fn incarnation_of(value: &serde_json::Value) -> Option<Incarnation> {
    value.get("incarnation")?.as_u64().map(Incarnation)
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
        staged: DocVersion(0),
        in_force: DocVersion(0),
    }
}
