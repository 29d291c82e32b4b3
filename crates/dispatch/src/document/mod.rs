//! Keeps the operators' document up to date on each host.
//!
//! A host near the store follows the document there: a change comes into force when a waiting call
//! returns it. The whole document is read again only if the store has dropped its history. A host
//! far from the store takes the document from the owner instead, compressed, because the link to
//! the store's region is shared and a large document for each host would fill it; see "The
//! document" in `docs/JOBS.md`. [`relay`] decides which of the two applies, and `transfer` asks the
//! store as well if the owner is lost during a transfer. A version lower than the one in force is
//! never accepted.

mod findings;
pub mod packed;
pub mod relay;
mod transfer;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::plan::Plan;
use model::Mono;

use self::packed::PackedPlan;
use self::relay::OwnerDocument;
pub use self::transfer::TRANSFER_LIMITS;
use crate::dependencies::StoreError;
use crate::events;
use crate::node::Node;
use crate::peers::DocumentInfo;
use crate::rows;
use crate::store_call::StoreCall;

/// How long a call waits for a change; the document is not read in the meantime.
const WAIT: Duration = Duration::from_millis(1_000);
/// Delay after a failed call to the store or to the owner.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which a host that takes the document from the owner checks for a new version.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of failed transfers after which a host reads the document from the store, if they failed
/// soon enough for another one.
const MAX_FAILED_TRANSFERS: u32 = 2;
/// Interval at which a host checks that the store answers, if no other call tells it.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Where a host has read the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// In the store.
    Store,
    /// At the owner.
    Owner,
}

impl Origin {
    /// Returns the value that logs show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Owner => "owner",
        }
    }
}

/// What a host knows about the document besides its contents.
#[derive(Debug, Default)]
pub struct DocumentState {
    /// The version of the store up to which this host has followed the document, and when the store
    /// last confirmed it.
    followed: Cell<Option<(u64, Mono)>>,
    /// The document of the owner as reported in its latest answer to a ping.
    owner: RefCell<Option<OwnerDocument>>,
    /// The shortest round trip to the store measured so far.
    store_round_trip: Cell<Option<Duration>>,
    /// The document in force, compressed for other hosts.
    packed: RefCell<Option<PackedPlan>>,
    /// Whether this host takes the document from the owner.
    is_relayed: Cell<bool>,
    /// The version of the document whose problems were logged last.
    checked: Cell<Option<u64>>,
}

impl DocumentState {
    /// Records the duration of a small call to the store.
    pub fn record_round_trip(&self, round_trip: Duration) {
        let shortest = self.store_round_trip.get().unwrap_or(Duration::MAX);
        self.store_round_trip.set(Some(shortest.min(round_trip)));
    }

    /// Returns the shortest round trip to the store measured so far.
    #[must_use]
    pub fn store_round_trip(&self) -> Option<Duration> {
        self.store_round_trip.get()
    }

    /// Records what the owner at `address` reports about its document.
    pub fn record_owner(&self, address: &Arc<str>, info: DocumentInfo, now: Mono) {
        *self.owner.borrow_mut() = Some(OwnerDocument {
            address: address.clone(),
            info,
            reported_at: now,
        });
    }
}

/// Returns what this host reports about its document to others, or `None` before it has one.
#[must_use]
pub fn info(node: &Node) -> Option<DocumentInfo> {
    let (store_version, confirmed_at) = node.document.followed.get()?;
    Some(DocumentInfo {
        version: node.plan()?.version,
        store_version,
        age_ms: model::time::millis(node.now().since(confirmed_at)),
        store_round_trip_ms: model::time::millis(node.document.store_round_trip.get()?),
    })
}

/// Returns the document in force in compressed form.
#[must_use]
pub fn packed(node: &Node) -> Option<PackedPlan> {
    let plan = node.plan()?;
    let mut cached = node.document.packed.borrow_mut();
    if cached.as_ref().map(|packed| packed.version) != Some(plan.version) {
        *cached = PackedPlan::pack(&plan);
    }
    cached.clone()
}

/// Keeps the document in force up to date until the process ends.
pub async fn follow(node: Rc<Node>) {
    let mut followed = None;
    let mut failed_transfers = 0;
    loop {
        let source = owner_document(&node).filter(|_| failed_transfers < MAX_FAILED_TRANSFERS);
        node.document.is_relayed.set(source.is_some());
        if let Some(source) = source {
            match transfer::take_from_owner(&node, &source, followed).await {
                Ok(store_version) => {
                    failed_transfers = 0;
                    followed = store_version;
                    tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
                }
                Err(failed) if failed.is_repeatable => {
                    failed_transfers += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(_) => failed_transfers = MAX_FAILED_TRANSFERS,
            }
        } else {
            followed = take_from_store(&node, followed).await;
            failed_transfers = 0;
        }
    }
}

/// Returns the owner's document if this host should take its own from there.
fn owner_document(node: &Node) -> Option<OwnerDocument> {
    if node.owner().is_some() || node.plan().is_none() {
        return None;
    }
    let owner = node.document.owner.borrow().clone()?;
    let round_trip = node.document.store_round_trip.get()?;
    relay::is_preferred(&owner, round_trip, node.now()).then_some(owner)
}

/// Follows the document in the store after a version, or reads it if there is none. Returns the
/// version up to which it has been followed, or `None` if changes after it can no longer be read. A
/// call without an answer misses nothing: the next one asks for changes after the same version.
async fn take_from_store(node: &Node, followed: Option<u64>) -> Option<u64> {
    let result = match followed {
        None => (node.dependencies.document.read)(()).await,
        Some(after) => (node.dependencies.document.follow)((after, WAIT)).await,
    };
    match result {
        Ok((plan, store_version)) => {
            node.record_store_result(StoreCall::Document, true);
            if let Some(plan) = plan {
                accept(node, plan, Origin::Store);
            }
            let confirmed = (store_version, node.now());
            node.document.followed.set(Some(confirmed));
            Some(store_version)
        }
        Err(StoreError::HistoryGone) => None,
        Err(_) => {
            node.record_store_result(StoreCall::Document, false);
            tokio::time::sleep(RETRY_DELAY).await;
            followed
        }
    }
}

/// Puts a document into force unless its version is already in force or older, and logs the problems
/// of each version once.
pub fn accept(node: &Node, plan: Plan, origin: Origin) {
    let current = node.plan().map_or(0, |plan| plan.version);
    if plan.version < current || (plan.version == current && current > 0) {
        return;
    }
    events::document(plan.version, plan.queues.len(), origin.as_str());
    let plan = Arc::new(plan);
    *node.plan.borrow_mut() = Some(plan.clone());
    if let Some(owner) = node.owner() {
        owner.set_plan(plan.clone());
    }
    // A document of version 0 is accepted each time that it is read.
    if node.document.checked.replace(Some(plan.version)) != Some(plan.version) {
        findings::log(&plan);
    }
}

/// Checks regularly that the store answers, on a host that does not follow the document there, or
/// whose last call failed: a read of a large document may take long or fail although the store
/// answers. Other calls are not made, and callers are refused, while the store is considered
/// unavailable.
pub async fn probe_store(node: Rc<Node>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !node.document.is_relayed.get() && node.store_failing_since.get().is_none() {
            continue;
        }
        let started = node.now();
        let result = (node.dependencies.store.read)(rows::owner_row_range()).await;
        node.record_store_result(StoreCall::OwnerRow, result.is_ok());
        if result.is_ok() {
            node.document.record_round_trip(node.now().since(started));
        }
    }
}
