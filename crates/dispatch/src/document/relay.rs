//! Decides whether a host takes the document from the owner or from the store.
//!
//! The load that this answers: a document of thousands of queues changes, and all hosts of a region
//! read it at the same moment over the one link to the region of the store.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use crate::peers::DocumentInfo;

/// A host is far from the store if its round trip is longer than the owner's by this factor.
const FAR_FACTOR: u32 = 2;
/// And by this much, because round trips within a region differ by a few milliseconds and are reported
/// in whole ones.
const FAR_DISTANCE: Duration = Duration::from_millis(5);
/// The owner's document counts as current for this long after the store confirmed it to the owner.
/// The owner's calls wait for changes for one second.
const MAX_AGE: Duration = Duration::from_millis(1_600);

/// The owner's document as the owner reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerDocument {
    /// Address at which the owner listens for its peers.
    pub address: Arc<str>,
    /// The report.
    pub info: DocumentInfo,
    /// When the report arrived.
    pub reported_at: Mono,
}

/// Returns whether a host with this round trip to the store should take the document from the owner:
/// the owner is much closer to the store, and its document is current.
#[must_use]
pub fn is_preferred(owner: &OwnerDocument, round_trip: Duration, now: Mono) -> bool {
    let reported_age = Duration::from_millis(owner.info.age_ms);
    let age = reported_age + now.since(owner.reported_at);
    let owner_round_trip = Duration::from_millis(owner.info.store_round_trip_ms);
    is_far(round_trip, owner_round_trip) && age <= MAX_AGE
}

/// Returns whether a host with this round trip to the store is much farther from it than the owner.
#[must_use]
pub fn is_far(round_trip: Duration, owner_round_trip: Duration) -> bool {
    round_trip >= owner_round_trip * FAR_FACTOR && round_trip >= owner_round_trip + FAR_DISTANCE
}
