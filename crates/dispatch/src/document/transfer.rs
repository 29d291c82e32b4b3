//! Receives the document from the owner, and from the store too if the owner seems to be lost.
//!
//! A change has to be in force on each host 2.5 s after the store has acknowledged it, even if the
//! owner's machine loses power before or while it sends the document. The store cannot be asked each
//! time that a transfer takes long: a large document over a narrow link takes seconds, and copies
//! from the store for all hosts of a region would fill the link. So the owner is pinged during the
//! transfer, and the store is asked as well once a ping is not answered. The transfer goes on
//! meanwhile, because on a full link a ping may be late although the transfer makes progress.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use link::client::TimeLimits;

use super::Origin;
use super::accept;
use super::relay::OwnerDocument;
use super::take_from_store;
use crate::election::PING_TIMEOUT;
use crate::node::Node;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;

/// Time limits for receiving the document from the owner. Many hosts may receive a large document at
/// once over the owner's link. A transfer that is given up is repeated and has used the link for
/// nothing, so that one that makes progress goes on. The response may begin late if a packet that
/// opens the connection is lost, because it is sent again after a second. If it has not begun then
/// although the owner answers pings, the link is not full and the connection is broken.
pub const TRANSFER_LIMITS: TimeLimits = TimeLimits {
    response: Duration::from_millis(1_200),
    idle: Duration::from_millis(1_000),
    total: Duration::from_secs(20),
};
/// Delay of each ping during a transfer, counted from the start of the transfer or the previous answer.
/// Transfers of small documents end sooner and send none.
const PING_DELAY: Duration = Duration::from_millis(150);
/// A transfer that failed within this time may be repeated. After a longer one, only the store can
/// deliver the document in time.
const MAX_REPEATABLE: Duration = Duration::from_millis(300);

/// The owner did not send the document that it had reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferFailed {
    /// Whether there is time to ask the owner again.
    pub is_repeatable: bool,
}

/// Brings the document up to date with that of the owner. Returns a version of the store up to which
/// this host has followed the document then; `followed` is the one before.
///
/// # Errors
///
/// Returns [`TransferFailed`] if the transfer fails while the owner answers pings. Otherwise the store
/// has been asked already.
pub async fn take_from_owner(
    node: &Node,
    owner: &OwnerDocument,
    followed: Option<u64>,
) -> Result<Option<u64>, TransferFailed> {
    let with_owner = followed.max(Some(owner.info.store_version));
    if owner.info.version <= version(node) {
        return Ok(with_owner);
    }
    let started = node.now();
    let mut transfer = pin!(transfer(node, owner));
    let received = tokio::select! {
        biased;
        received = &mut transfer => Some(received),
        () = lost_ping(node, &owner.address) => None,
    };
    match received {
        Some(true) => return Ok(with_owner),
        Some(false) => {
            let is_repeatable = node.now().since(started) <= MAX_REPEATABLE;
            return Err(TransferFailed { is_repeatable });
        }
        None => {}
    }
    let mut followed = followed;
    let mut has_failed = false;
    while !has_failed && version(node) < owner.info.version {
        let mut from_store = pin!(take_from_store(node, followed));
        tokio::select! {
            biased;
            received = &mut transfer => {
                if received {
                    return Ok(with_owner);
                }
                has_failed = true;
                followed = from_store.await;
            }
            next = &mut from_store => followed = next,
        }
    }
    Ok(followed)
}

/// Returns the version of the document in force, or 0.
fn version(node: &Node) -> u64 {
    node.plan().map_or(0, |plan| plan.version)
}

/// Receives the document from the owner and puts it into force. Returns whether that succeeded.
async fn transfer(node: &Node, owner: &OwnerDocument) -> bool {
    let request = PeerRequest::Document;
    let response = peers::send(node, &owner.address, request, TRANSFER_LIMITS).await;
    let Some(PeerResponse::Document(packed)) = response else {
        return false;
    };
    let Some(plan) = packed.unpack() else {
        return false;
    };
    accept(node, plan, Origin::Owner);
    true
}

/// Pings the host at `address` until it does not answer.
async fn lost_ping(node: &Node, address: &Arc<str>) {
    let limits = TimeLimits::total(PING_TIMEOUT);
    loop {
        tokio::time::sleep(PING_DELAY).await;
        let reply = peers::send(node, address, PeerRequest::Ping, limits).await;
        if reply.is_none() {
            return;
        }
    }
}
