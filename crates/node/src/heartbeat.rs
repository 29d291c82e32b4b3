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

use crate::cx::Cx;
use crate::cx::Stage;
use crate::document;
use crate::join::member_row;
use crate::supervisor::PartResult;
use crate::supervisor::fatal;

/// How long the heartbeat of a host that is no longer listed is kept.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// How long one heartbeat may stay unanswered.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes heartbeats until `token` asks for the end.
///
/// # Errors
///
/// Returns an error when another daemon has begun a life under the same name.
pub async fn run(cx: Arc<Cx>, addresses: Addresses, token: CancellationToken) -> PartResult {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut beat = Beat {
        count: 0,
        version: None,
    };
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let sent = cx.clock.now();
        if write(&cx, addresses, &mut beat).await? {
            cx.store_answered(sent);
        }
        read(&cx).await;
        document::poll(&cx, sent).await;
    }
}

/// The own heartbeat row as it is known.
struct Beat {
    count: u64,
    version: Option<RowVersion>,
}

/// Writes one heartbeat; returns whether the table answered.
async fn write(
    cx: &Arc<Cx>,
    addresses: Addresses,
    beat: &mut Beat,
) -> Result<bool, crate::supervisor::PartError> {
    let me = cx.identity();
    let row_key = key::member(&me.daemon);
    let version = match beat.version {
        Some(version) => version,
        None => match own_row(cx, &row_key, &me).await? {
            Some(version) => version,
            None => return Ok(false),
        },
    };
    beat.count += 1;
    let digest = cx.follower().digest();
    let row = MemberRow {
        beat: beat.count,
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
            cx.next_write()
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
    match commit_with_retries(&cx.outside.table, txn, Instant::now() + WRITE_TIMEOUT).await {
        TxnOutcome::Committed => {
            beat.version = Some(version.next());
            Ok(true)
        }
        TxnOutcome::Conflict { .. } => {
            beat.version = None;
            Ok(true)
        }
        TxnOutcome::Unknown | TxnOutcome::Refused(_) => {
            beat.version = None;
            Ok(false)
        }
    }
}

/// Reads the version of the own row; `None` if the table does not answer.
async fn own_row(
    cx: &Cx,
    row_key: &str,
    me: &Owner,
) -> Result<Option<RowVersion>, crate::supervisor::PartError> {
    let Ok(row) = (cx.outside.table.read)(row_key.to_owned()).await else {
        return Ok(None);
    };
    let Some(row) = row else {
        return Ok(Some(RowVersion(0)));
    };
    let known: Option<MemberRow> = serde_json::from_value(row.value).ok();
    match known {
        Some(known) if known.incarnation > me.incarnation => {
            // A part that was started again may have begun a new life of its own just now.
            let current = cx.identity().incarnation;
            if known.incarnation == current {
                return Ok(None);
            }
            Err(fatal("heartbeat", "another daemon runs under this name"))
        }
        _ => Ok(Some(row.version)),
    }
}

/// Deletes the own heartbeat row after the daemon has left in order, so that nobody waits for it.
pub async fn end(cx: &Cx) {
    let me = cx.identity();
    let row_key = key::member(&me.daemon);
    let Ok(Some(row)) = (cx.outside.table.read)(row_key.clone()).await else {
        return;
    };
    let ours = serde_json::from_value::<MemberRow>(row.value.clone());
    if ours.is_ok_and(|ours| ours.incarnation == me.incarnation) {
        delete(cx, row).await;
    }
}

/// Deletes a heartbeat row unless it has been written since it was read.
async fn delete(cx: &Cx, row: Row) {
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
    // A row that stays for now is deleted by whoever sees it next.
    commit_with_retries(&cx.outside.table, txn, Instant::now() + WRITE_TIMEOUT).await;
}

/// Reads all heartbeats.
async fn read(cx: &Arc<Cx>) {
    let sent = cx.clock.now();
    let Ok(rows) = scan_all(&cx.outside.table, key::MEMBERS).await else {
        return;
    };
    let answered = cx.clock.now();
    cx.store_answered(sent);
    let forgotten = forgotten(cx, &rows);
    take_in(cx, rows, sent, answered);
    if let Some(row) = forgotten {
        delete(cx, row).await;
    }
}

/// Returns a heartbeat that has stood still for long and whose host the platform no longer lists.
fn forgotten(cx: &Cx, rows: &[Row]) -> Option<Row> {
    let hosts = cx.hosts.borrow().clone();
    if hosts.daemons.is_empty() {
        return None;
    }
    let view = cx.view();
    let gone = |row: &&Row| {
        let daemon = row.key.strip_prefix(key::MEMBERS).map(DaemonId::from);
        daemon.is_some_and(|daemon| {
            let listed = hosts.daemons.iter().any(|entry| entry.id == daemon);
            !listed && view.watch.stalled_for(&daemon) >= FORGET_AFTER
        })
    };
    rows.iter().find(gone).cloned()
}

fn take_in(cx: &Cx, rows: Vec<Row>, sent: Mono, answered: Mono) {
    let mut view = cx.view();
    let mut members: Vec<MemberRow> = Vec::new();
    for row in rows {
        let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else {
            log::error!(key = row.key.as_str(); "a heartbeat cannot be read");
            continue;
        };
        view.still_for(&member.daemon, row.version, answered);
        view.members
            .set_profile(&member.daemon, profile(&member), answered);
        members.push(member);
    }
    let named: model::Set<_> = members.iter().map(|member| member.daemon.clone()).collect();
    view.members
        .retain(|daemon| named.contains(daemon), answered);
    view.rows.retain(|daemon, _| named.contains(daemon));
    view.heard.retain(|daemon, _| named.contains(daemon));
    view.watch.observe(members, sent, answered);
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
