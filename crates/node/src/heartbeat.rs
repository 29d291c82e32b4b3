//! Writes this daemon's heartbeat to the table and reads those of the others.

use std::sync::Arc;
use std::time::Duration;

use lease::record::Addresses;
use lease::record::MemberRow;
use lease::record::Owner;
use lease::record::key;
use lease::timing::HEARTBEAT_INTERVAL;
use model::Mono;
use model::id::DaemonId;
use model::id::OpId;
use model::id::RowVersion;
use peer::members::Profile;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Check;
use plat::table::Row;
use plat::table::Txn;
use plat::table::Write;
use plat::table::scan_all;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::context::Stage;
use crate::document;
use crate::join::member_row;
use crate::supervisor::PartResult;
use crate::supervisor::fatal;

/// Retention of the heartbeat row of a daemon that is no longer in the host list, counted from its
/// last change.
const STALE_ROW_RETENTION: Duration = Duration::from_secs(600);
/// Deadline of the write of a heartbeat.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes heartbeats until `token` is cancelled.
///
/// # Errors
///
/// Returns a fatal error if another daemon has begun a newer incarnation under the same name.
pub async fn run(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
    token: CancellationToken,
) -> PartResult {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heartbeat = OwnHeartbeat {
        count: 0,
        version: None,
    };
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let sent = cx.clock.now();
        if write_heartbeat(&cx, addresses, &mut heartbeat).await? {
            cx.record_store_response(sent);
        }
        read_heartbeats(&cx).await;
        document::poll(&cx, sent).await;
    }
}

/// The own heartbeat row as far as it is known.
struct OwnHeartbeat {
    count: u64,
    version: Option<RowVersion>,
}

/// Writes one heartbeat; returns whether the table answered.
async fn write_heartbeat(
    cx: &Arc<DaemonContext>,
    addresses: Addresses,
    heartbeat: &mut OwnHeartbeat,
) -> Result<bool, crate::supervisor::PartError> {
    let me = cx.identity();
    let row_key = key::member(&me.daemon);
    let version = match heartbeat.version {
        Some(version) => version,
        None => match own_row_version(cx, &row_key, &me).await? {
            Some(version) => version,
            None => return Ok(false),
        },
    };
    heartbeat.count += 1;
    let digest = cx.follower().digest();
    let row = MemberRow {
        heartbeat_count: heartbeat.count,
        draining: *cx.stage.borrow() >= Stage::Draining,
        ballot: digest.ballot,
        in_force: digest.version,
        ..member_row(&cx.settings, addresses, me.incarnation)
    };
    let txn = Txn {
        op: OpId::new(format!(
            "beat/{}/{}/{}",
            me.daemon,
            me.incarnation,
            cx.next_write_number()
        )),
        checks: vec![Check {
            key: row_key.clone(),
            version,
        }],
        writes: vec![Write {
            key: row_key,
            value: serde_json::to_value(row).ok(),
        }],
    };
    match commit_with_retries(&cx.platform.table, txn, Instant::now() + WRITE_TIMEOUT).await {
        TxnOutcome::Committed => {
            heartbeat.version = Some(version.next());
            Ok(true)
        }
        TxnOutcome::Conflict { .. } => {
            heartbeat.version = None;
            Ok(true)
        }
        TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
            heartbeat.version = None;
            Ok(false)
        }
    }
}

/// Reads the version of the own row; 0 if there is no row. Returns `None` if the table does not
/// answer or this daemon has just begun a newer incarnation, and a fatal error if another daemon
/// has begun one under the same name.
async fn own_row_version(
    cx: &DaemonContext,
    row_key: &str,
    me: &Owner,
) -> Result<Option<RowVersion>, crate::supervisor::PartError> {
    let Ok(row) = (cx.platform.table.read)(row_key.to_owned()).await else {
        return Ok(None);
    };
    let Some(row) = row else {
        return Ok(Some(RowVersion(0)));
    };
    let known: Option<MemberRow> = serde_json::from_value(row.value).ok();
    match known {
        Some(known) if known.incarnation > me.incarnation => {
            // A part that was restarted may have begun a new incarnation of this daemon just now.
            let current = cx.identity().incarnation;
            if known.incarnation == current {
                return Ok(None);
            }
            Err(fatal("heartbeat", "another daemon runs under this name"))
        }
        _ => Ok(Some(row.version)),
    }
}

/// Deletes the own heartbeat row after an orderly shutdown, so that no daemon waits for it.
pub async fn delete_own_row(cx: &DaemonContext) {
    let me = cx.identity();
    let row_key = key::member(&me.daemon);
    let Ok(Some(row)) = (cx.platform.table.read)(row_key.clone()).await else {
        return;
    };
    let own = serde_json::from_value::<MemberRow>(row.value.clone());
    if own.is_ok_and(|own| own.incarnation == me.incarnation) {
        delete(cx, row).await;
    }
}

/// Deletes a heartbeat row unless it has been written since it was read.
async fn delete(cx: &DaemonContext, row: Row) {
    let me = cx.identity();
    let txn = Txn {
        op: OpId::new(format!(
            "end/{}/{}/{}/{}",
            me.daemon, me.incarnation, row.key, row.version
        )),
        checks: vec![Check {
            key: row.key.clone(),
            version: row.version,
        }],
        writes: vec![Write {
            key: row.key,
            value: None,
        }],
    };
    // If this fails, the row remains until a daemon finds it stale.
    commit_with_retries(&cx.platform.table, txn, Instant::now() + WRITE_TIMEOUT).await;
}

/// Reads all heartbeat rows, and deletes one that is stale.
async fn read_heartbeats(cx: &Arc<DaemonContext>) {
    let sent = cx.clock.now();
    let Ok(rows) = scan_all(&cx.platform.table, key::MEMBERS).await else {
        return;
    };
    let answered = cx.clock.now();
    cx.record_store_response(sent);
    let stale = stale_row(cx, &rows);
    record_heartbeats(cx, rows, sent, answered);
    if let Some(row) = stale {
        delete(cx, row).await;
    }
}

/// Returns a heartbeat row that has not changed for [`STALE_ROW_RETENTION`] and whose daemon is no
/// longer in the host list.
fn stale_row(cx: &DaemonContext, rows: &[Row]) -> Option<Row> {
    let hosts = cx.hosts.borrow().clone();
    if hosts.daemons.is_empty() {
        return None;
    }
    let view = cx.view();
    let is_stale = |row: &&Row| {
        let daemon = row.key.strip_prefix(key::MEMBERS).map(DaemonId::from);
        daemon.is_some_and(|daemon| {
            let listed = hosts.daemons.iter().any(|entry| entry.id == daemon);
            !listed && view.liveness.stalled_for(&daemon) >= STALE_ROW_RETENTION
        })
    };
    rows.iter().find(is_stale).cloned()
}

fn record_heartbeats(cx: &DaemonContext, rows: Vec<Row>, sent: Mono, answered: Mono) {
    let mut view = cx.view();
    let mut members: Vec<MemberRow> = Vec::new();
    for row in rows {
        let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else {
            log::error!(key = row.key.as_str(); "cannot parse a heartbeat row");
            continue;
        };
        view.unchanged_for(&member.daemon, row.version, answered);
        view.members
            .set_profile(&member.daemon, profile(&member), answered);
        members.push(member);
    }
    let present: model::Set<_> = members.iter().map(|member| member.daemon.clone()).collect();
    view.members
        .retain(|daemon| present.contains(daemon), answered);
    view.heartbeat_rows
        .retain(|daemon, _| present.contains(daemon));
    view.contacts.retain(|daemon, _| present.contains(daemon));
    view.liveness.observe(members, sent, answered);
}

fn profile(row: &MemberRow) -> Profile {
    Profile {
        incarnation: row.incarnation,
        half: row.half.clone(),
        place: row.place.clone(),
        caller_address: row.addresses.callers,
        peer_address: row.addresses.peers,
    }
}
