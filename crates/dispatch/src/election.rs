//! Decides when this host becomes the owner of the executors.
//!
//! Hosts ping the owner. If it does not answer, or reports that the store has not confirmed it for
//! a while, they read its row. Only if that row stays unchanged over successful reads do they claim
//! the ownership. An unnecessary claim is cheap, because executors keep running their tasks; see
//! "Takeover" in `docs/JOBS.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::client::TimeLimits;
use model::Mono;

use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::events;
use crate::handover;
use crate::handover::ClaimTurn;
use crate::hosts::SUCCESSOR_PING_INTERVAL;
use crate::node::HostCapacity;
use crate::node::Node;
use crate::owner;
use crate::owner::Claim;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::peers::Pong;
use crate::rows;
use crate::rows::OwnerRecord;
use crate::store_call::StoreCall;

/// Maximum interval between pings of the owner.
const MAX_PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the answer to a ping.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// An owner is suspected if the store has not confirmed it for this long.
const MAX_CONFIRMATION_AGE_MS: u64 = 900;
/// How long the row of a suspected owner has to stay unchanged over successful reads before a
/// claim.
const OWNER_ROW_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between reads of the row of a suspected owner.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a host does not claim after a part of its owner panicked, so that another host does.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(3);
/// Interval of checks whether a host that could claim has a document.
const DOCUMENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of round trips to the store that a host waits before it claims, so that a host close to
/// the store wins.
const ROUND_TRIPS_BEFORE_CLAIM: u32 = 6;
/// Delay before a claim for each halving of the capacity below that of `REFERENCE_CORES` and
/// `REFERENCE_MBPS`, so that a powerful host becomes the owner. It depends on the ratio of two
/// hosts alone, however slow both are.
const HALVING_DELAY: Duration = Duration::from_millis(120);
/// Number of cores from which on a host is not delayed for its processor.
const REFERENCE_CORES: f64 = 1.0;
/// Speed of the link from which on a host is not delayed for its link, in Mbit/s.
const REFERENCE_MBPS: f64 = 200.0;
/// Upper limit of the delay for low capacity.
const MAX_CAPACITY_DELAY: Duration = Duration::from_millis(1_200);
/// Upper limit of the delay that separates hosts with equal round trips, derived from the host
/// name.
const MAX_JITTER_MS: u64 = 120;

/// Logged for a claim that was not sent, because the host has no document yet or is draining.
const NOT_READY: &str = "not_ready";

/// The owner's row with its version.
struct OwnerRow {
    record: OwnerRecord,
    version: u64,
    /// When the store's answer with this version arrived.
    read_at: Mono,
}

/// Becomes the owner whenever that is necessary, until the process is draining.
pub async fn run(node: Rc<Node>) {
    while !node.draining.is_cancelled() {
        if let Some(owner) = node.owner() {
            owner.ended().await;
            *node.owner.borrow_mut() = None;
            if owner.has_failed() {
                node.owner_failed_at.set(Some(node.now()));
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
            continue;
        }
        let started = node.now();
        match read_owner_row(&node).await {
            Ok(row) => {
                let round_trip = node.now().since(started);
                monitor_owner(&node, row, round_trip).await;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn read_owner_row(node: &Node) -> Result<Option<OwnerRow>, StoreError> {
    let started = node.now();
    let result = (node.dependencies.store.read)(rows::owner_row_range()).await;
    node.record_store_result(StoreCall::OwnerRow, result.is_ok());
    let page = result?;
    node.document.record_round_trip(node.now().since(started));
    let Some(stored) = page.rows.into_iter().find(|row| row.key == rows::OWNER_KEY) else {
        return Ok(None);
    };
    let record = match serde_json::from_slice(stored.value.as_deref().unwrap_or_default()) {
        Ok(record) => record,
        Err(error) => {
            events::unreadable_row(rows::OWNER_TABLE, &stored.key, &error.to_string());
            OwnerRecord::default()
        }
    };
    Ok(Some(OwnerRow {
        record,
        version: stored.version,
        read_at: node.now(),
    }))
}

async fn monitor_owner(node: &Rc<Node>, row: Option<OwnerRow>, round_trip: Duration) {
    let Some(row) = row else {
        wait_for_document(node).await;
        let delay = claim_delay(node, round_trip);
        tokio::time::sleep(delay).await;
        let absent = OwnerRow {
            record: OwnerRecord::default(),
            version: 0,
            read_at: node.now(),
        };
        claim_and_log(node, &absent, (round_trip, delay)).await;
        return;
    };
    *node.known_owner.borrow_mut() = Some(row.record.clone());
    node.highest_epoch
        .set(node.highest_epoch.get().max(row.record.epoch));
    observe(node, &row.record);
    if node.identity.is_own_record(&row.record) || row.record.released {
        wait_for_document(node).await;
        let delay = match handover::claim_turn(&node.identity, &row.record) {
            ClaimTurn::Now => Duration::ZERO,
            ClaimTurn::After(wait) => {
                if is_followed_within(node, row.version, wait).await {
                    return;
                }
                claim_delay(node, round_trip)
            }
        };
        tokio::time::sleep(delay).await;
        claim_and_log(node, &row, (round_trip, delay)).await;
        return;
    }
    let address: Arc<str> = row.record.address.as_str().into();
    let mut accepts_reports = false;
    let suspicion = loop {
        let request = if accepts_reports {
            PeerRequest::Report(node.report())
        } else {
            PeerRequest::Ping
        };
        let pong = match check(node, &address, &row.record, request).await {
            Ok(pong) if pong.accepts_reports && !accepts_reports => {
                // A new owner may need the report at once.
                accepts_reports = true;
                continue;
            }
            Ok(pong) => pong,
            Err(suspicion) => break suspicion,
        };
        accepts_reports = pong.accepts_reports;
        tokio::time::sleep(ping_interval(&pong)).await;
        if node.draining.is_cancelled() {
            return;
        }
    };
    events::owner_suspected(row.record.epoch, &row.record.host, suspicion);
    watch_suspect(node, row, round_trip).await;
}

/// Waits for so long for the successor that the released row names. Returns whether the row has
/// changed.
async fn is_followed_within(node: &Node, version: u64, wait: Duration) -> bool {
    let end = node.now().after(wait);
    while node.now() < end && !node.draining.is_cancelled() {
        tokio::time::sleep(SUSPECT_READ_INTERVAL).await;
        if let Ok(Some(row)) = read_owner_row(node).await
            && row.version != version
        {
            return true;
        }
    }
    false
}

/// Records an owner, so that a hand-over that was not followed is not tried again soon.
fn observe(node: &Node, record: &OwnerRecord) {
    let mut handovers = node.handovers.borrow_mut();
    handovers.observe(record, &node.identity.host, node.now());
}

/// Waits until the host has a document, without which it cannot own the executors. The delay of a
/// claim begins afterwards: it is to compare the hosts, and all wait for the document alike.
async fn wait_for_document(node: &Node) {
    while node.plan().is_none() && !node.draining.is_cancelled() {
        tokio::time::sleep(DOCUMENT_CHECK_INTERVAL).await;
    }
}

/// Pings the owner with this request.
///
/// # Errors
///
/// Returns why the owner is suspected, with the value that logs show.
async fn check(
    node: &Node,
    address: &Arc<str>,
    record: &OwnerRecord,
    request: PeerRequest,
) -> Result<Pong, &'static str> {
    let reply = peers::send(node, address, request, TimeLimits::total(PING_TIMEOUT)).await;
    let Some(PeerResponse::Pong(pong)) = reply else {
        return Err("no_answer");
    };
    let is_owner = pong.epoch == record.epoch && pong.incarnation == record.incarnation;
    if is_owner && let Some(info) = pong.document {
        node.document.record_owner(address, info, node.now());
    }
    if !is_owner {
        return Err("not_owner");
    }
    node.admission.record(pong.admission.clone(), node.now());
    if pong.confirmed_ms > MAX_CONFIRMATION_AGE_MS {
        return Err("unconfirmed");
    }
    Ok(pong)
}

/// Returns the time until the next ping, as the owner asks for it.
fn ping_interval(pong: &Pong) -> Duration {
    let interval = pong.ping_interval_ms.map(Duration::from_millis);
    interval
        .unwrap_or(SUCCESSOR_PING_INTERVAL)
        .min(MAX_PING_INTERVAL)
}

/// Reads the row of a suspected owner until it changes or has stayed unchanged for long enough.
async fn watch_suspect(node: &Rc<Node>, first: OwnerRow, round_trip: Duration) {
    let mut unchanged: Option<OwnerRow> = None;
    let wait = OWNER_ROW_TIMEOUT + claim_delay(node, round_trip);
    while !node.draining.is_cancelled() {
        let Ok(Some(row)) = read_owner_row(node).await else {
            unchanged = None;
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if row.record.epoch != first.record.epoch || row.record.released {
            return;
        }
        match &unchanged {
            Some(first) if first.version == row.version => {
                if node.now().since(first.read_at) >= wait {
                    claim_and_log(node, first, (round_trip, wait)).await;
                    return;
                }
            }
            Some(_) => return,
            None => unchanged = Some(row),
        }
        tokio::time::sleep(SUSPECT_READ_INTERVAL).await;
    }
}

fn claim_delay(node: &Node, round_trip: Duration) -> Duration {
    round_trip * ROUND_TRIPS_BEFORE_CLAIM + capacity_delay(node.identity.capacity) + jitter(node)
}

/// Returns how long a host of this capacity waits before it claims.
fn capacity_delay(capacity: HostCapacity) -> Duration {
    let cores = halvings(REFERENCE_CORES, capacity.cores);
    let link = halvings(REFERENCE_MBPS, capacity.link_mbps);
    let delay = HALVING_DELAY.as_secs_f64() * (cores + link);
    Duration::from_secs_f64(delay.min(MAX_CAPACITY_DELAY.as_secs_f64()))
}

/// Returns the part of a capacity that matters for an owner.
pub(crate) fn useful(capacity: HostCapacity) -> HostCapacity {
    HostCapacity {
        cores: capacity.cores.min(REFERENCE_CORES),
        link_mbps: capacity.link_mbps.min(REFERENCE_MBPS),
    }
}

/// Returns how often `reference` has to be halved to reach `value`; 0 for larger values.
fn halvings(reference: f64, value: f64) -> f64 {
    (reference / value.max(f64::MIN_POSITIVE)).log2().max(0.0)
}

fn jitter(node: &Node) -> Duration {
    let hash = model::hash::stable_hash(node.identity.host.as_bytes());
    Duration::from_millis(hash % MAX_JITTER_MS)
}

/// Claims the ownership in succession of `earlier`, and takes over if the claim succeeds. Logs the
/// outcome with the round trip to the store and the delay that led to it.
async fn claim_and_log(
    node: &Rc<Node>,
    earlier: &OwnerRow,
    (round_trip, delay): (Duration, Duration),
) {
    let result = claim(node, earlier).await;
    let outcome = result.as_ref().map_or_else(|outcome| *outcome, |_| "won");
    events::claim(
        earlier.record.epoch,
        outcome,
        model::time::millis(round_trip),
        model::time::millis(delay),
    );
    match result {
        Ok(claim) => {
            observe(node, &claim.record);
            owner::take_over(node, claim).await;
        }
        Err(NOT_READY) => tokio::time::sleep(RETRY_DELAY).await,
        Err(_) => {}
    }
}

/// Tries to become the owner in succession of `earlier`. Returns why it failed, with the value that
/// logs show.
async fn claim(node: &Rc<Node>, earlier: &OwnerRow) -> Result<Claim, &'static str> {
    if node.draining.is_cancelled() || node.plan().is_none() {
        return Err(NOT_READY);
    }
    let earlier_record = &earlier.record;
    let record = OwnerRecord {
        epoch: earlier_record.epoch.max(node.highest_epoch.get()) + 1,
        host: node.identity.host.clone(),
        incarnation: node.identity.incarnation,
        address: node.identity.peer_address.clone(),
        transaction: 0,
        released: false,
        relays: false,
        witnessed: earlier_record.witnessed,
        binds_calls: earlier_record.epoch == 0 || earlier_record.binds_calls,
        settled: false,
        successor: None,
    };
    let value = serde_json::to_vec(&record).map_err(|_| "invalid")?;
    let transaction = Transaction {
        expect: vec![(rows::owner_row_id(), earlier.version)],
        puts: vec![(rows::owner_row_id(), value)],
        removes: Vec::new(),
    };
    let sent = node.send_time();
    let result = (node.dependencies.store.commit)(transaction).await;
    let version = match result {
        Ok(version) => version,
        Err(StoreError::Unanswered) => match read_owner_row(node).await {
            Ok(Some(row)) if row.record == record => row.version,
            _ => return Err("unanswered"),
        },
        Err(StoreError::Conflict { .. }) => return Err("lost"),
        Err(_) => return Err("failed"),
    };
    Ok(Claim {
        record,
        earlier: earlier_record.clone(),
        earlier_read_at: earlier.read_at,
        version,
        sent,
    })
}
