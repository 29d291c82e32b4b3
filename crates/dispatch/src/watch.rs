//! Decides when this host becomes the owner.
//!
//! Hosts ask the owner for a sign of life. Only when it gives none, or says that the store has not
//! confirmed it for a while, do they read its row, and only when that row stands still over
//! successful reads do they claim. A claim that was not needed costs little, as executors go on with
//! what they run; see "Takeover" in `docs/JOBS.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use crate::events;
use crate::node::Node;
use crate::node::Strength;
use crate::outside::Range;
use crate::outside::StoreError;
use crate::outside::Transaction;
use crate::owner;
use crate::owner::Claim;
use crate::peers;
use crate::peers::Question;
use crate::peers::Reply;
use crate::rows;
use crate::rows::OwnerRecord;

/// How often the owner is asked for a sign of life.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// How long it may take to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// An owner that the store has not confirmed for so long is doubted.
const CONFIRMED_WITHIN_MS: u64 = 900;
/// How long the owner's row has to stand still over successful reads.
const LAPSE: Duration = Duration::from_millis(800);
/// How often the row of a doubted owner is read.
const DOUBT_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after the store did not answer.
const RETRY: Duration = Duration::from_millis(200);
/// Hosts far from the store wait this many round trips before they claim, so that one near it does.
const ROUND_TRIPS_BEFORE_CLAIM: u32 = 6;
/// A host with one core waits so long before it claims, one with a part of a core longer, so that a
/// strong host becomes the owner.
const ONE_CORE_WAITS: Duration = Duration::from_millis(60);
/// The same for a link of 100 Mbit/s.
const LINK_WAITS: Duration = Duration::from_millis(20);
/// The speed of the link that waits so, in Mbit/s.
const LINK_MBPS: f64 = 100.0;
/// No host waits longer for its weakness.
const MOST_WEAKNESS: Duration = Duration::from_millis(900);
/// Hosts that are equally near wait for different times, up to this.
const CLAIM_SPREAD_MS: u64 = 120;

/// The owner's row as it was read.
struct Seen {
    record: OwnerRecord,
    version: u64,
}

/// Becomes the owner whenever it has to, until the process ends.
pub async fn watch(node: Rc<Node>) {
    while !node.draining.is_cancelled() {
        if let Some(owner) = node.owner() {
            owner.ended().await;
            *node.owner.borrow_mut() = None;
            continue;
        }
        let begin = node.now();
        match read(&node).await {
            Ok(seen) => {
                let round_trip = node.now().since(begin);
                follow(&node, seen, round_trip).await;
            }
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

async fn read(node: &Node) -> Result<Option<Seen>, StoreError> {
    let range = Range {
        table: rows::OWNER_TABLE,
        part: rows::OWNED_PART,
        from: rows::OWNER_KEY.to_owned(),
        to: None,
    };
    let result = (node.outside.store.read)(range).await;
    node.store_answered(result.is_ok());
    let page = result?;
    let Some(row) = page.rows.into_iter().find(|row| row.key == rows::OWNER_KEY) else {
        return Ok(None);
    };
    let record = match serde_json::from_slice(row.value.as_deref().unwrap_or_default()) {
        Ok(record) => record,
        Err(error) => {
            events::unreadable(rows::OWNER_TABLE, &row.key, &error.to_string());
            OwnerRecord::default()
        }
    };
    Ok(Some(Seen {
        record,
        version: row.version,
    }))
}

async fn follow(node: &Rc<Node>, seen: Option<Seen>, round_trip: Duration) {
    let Some(seen) = seen else {
        tokio::time::sleep(stagger(node, round_trip)).await;
        claim(node, &OwnerRecord::default(), 0).await;
        return;
    };
    *node.known_owner.borrow_mut() = Some(seen.record.clone());
    node.highest_epoch
        .set(node.highest_epoch.get().max(seen.record.epoch));
    let own_earlier_life = node.identity.succeeds(&seen.record);
    if own_earlier_life || seen.record.released {
        if !own_earlier_life {
            tokio::time::sleep(stagger(node, round_trip)).await;
        }
        claim(node, &seen.record, seen.version).await;
        return;
    }
    let address: Arc<str> = seen.record.address.as_str().into();
    while signs_of_life(node, &address, &seen.record).await {
        tokio::time::sleep(PING_INTERVAL).await;
        if node.draining.is_cancelled() {
            return;
        }
    }
    doubt(node, seen, round_trip).await;
}

async fn signs_of_life(node: &Node, address: &Arc<str>, record: &OwnerRecord) -> bool {
    let reply = peers::ask(node, address, Question::Ping, PING_TIMEOUT).await;
    matches!(
        reply,
        Some(Reply::Pong(pong))
            if pong.epoch == record.epoch
                && pong.life == record.life
                && pong.confirmed_ms <= CONFIRMED_WITHIN_MS
    )
}

/// Reads the row of a doubted owner until it changes or has stood still for long enough.
async fn doubt(node: &Rc<Node>, first: Seen, round_trip: Duration) {
    let mut since: Option<(u64, Mono)> = None;
    let wait = LAPSE + stagger(node, round_trip);
    while !node.draining.is_cancelled() {
        let Ok(Some(seen)) = read(node).await else {
            since = None;
            tokio::time::sleep(RETRY).await;
            continue;
        };
        if seen.record.epoch != first.record.epoch || seen.record.released {
            return;
        }
        match since {
            Some((version, at)) if version == seen.version => {
                if node.now().since(at) >= wait {
                    claim(node, &seen.record, seen.version).await;
                    return;
                }
            }
            Some(_) => return,
            None => since = Some((seen.version, node.now())),
        }
        tokio::time::sleep(DOUBT_INTERVAL).await;
    }
}

fn stagger(node: &Node, round_trip: Duration) -> Duration {
    round_trip * ROUND_TRIPS_BEFORE_CLAIM + weakness(node.identity.strength) + spread(node)
}

/// Returns how long a host waits for its weakness.
fn weakness(strength: Strength) -> Duration {
    let cores = ONE_CORE_WAITS.as_secs_f64() / strength.cores.max(f64::EPSILON);
    let link = LINK_WAITS.as_secs_f64() * LINK_MBPS / strength.link_mbps.max(f64::EPSILON);
    Duration::from_secs_f64((cores + link).min(MOST_WEAKNESS.as_secs_f64()))
}

fn spread(node: &Node) -> Duration {
    let hash = model::hash::stable_hash(node.identity.host.as_bytes());
    Duration::from_millis(hash % CLAIM_SPREAD_MS)
}

/// Tries to become the owner after `earlier`.
async fn claim(node: &Rc<Node>, earlier: &OwnerRecord, version: u64) {
    if node.draining.is_cancelled() || node.plan().is_none() {
        tokio::time::sleep(RETRY).await;
        return;
    }
    let record = OwnerRecord {
        epoch: earlier.epoch.max(node.highest_epoch.get()) + 1,
        host: node.identity.host.clone(),
        life: node.identity.life,
        address: node.identity.peer_address.clone(),
        transaction: 0,
        released: false,
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let transaction = Transaction {
        expect: vec![(rows::owner_place(), version)],
        puts: vec![(rows::owner_place(), value)],
        removes: Vec::new(),
    };
    let sent = node.now();
    let result = (node.outside.store.commit)(transaction).await;
    let version = match result {
        Ok(version) => version,
        Err(StoreError::Unanswered) => match read(node).await {
            Ok(Some(seen)) if seen.record == record => seen.version,
            _ => return,
        },
        Err(_) => return,
    };
    let claim = Claim {
        record,
        earlier: earlier.clone(),
        version,
        sent,
    };
    owner::begin(node, claim).await;
}
