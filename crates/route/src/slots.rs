//! How the slots of an executor are divided among daemons, and lent.
//!
//! Every daemon computes the same division from the same members, so that no coordinator is needed.
//! `docs/ROUTING.md` states for how long two daemons with different views may count a slot twice.

use derive_more::From;
use derive_more::Into;
use model::Mono;
use model::hash::combine_hashes;
use model::hash::stable_hash;
use model::id::DaemonId;
use model::id::ExecutorId;
use model::id::UpstreamId;
use model::place::Place;
use serde::Deserialize;
use serde::Serialize;

use crate::key::ExecutorKey;
use crate::view::Member;

/// Returns how many of an executor's `slots` belong to `daemon`.
///
/// The members are ranked by rendezvous hashing; each gets an equal part and the first ones of the
/// ranking get the rest, so that a change of one member moves few slots and shares differ by at most
/// one.
#[must_use]
pub fn quota<'a>(
    executor: &ExecutorId,
    slots: u16,
    daemon: &DaemonId,
    members: impl Iterator<Item = &'a DaemonId> + Clone,
) -> u16 {
    let executor = stable_hash(executor.as_str().as_bytes());
    let weight = |id: &DaemonId| {
        (
            combine_hashes(executor, stable_hash(id.as_str().as_bytes())),
            id.clone(),
        )
    };
    let own = weight(daemon);
    let (mut count, mut ahead, mut present) = (0u16, 0u16, false);
    for id in members {
        count += 1;
        present |= id == daemon;
        ahead += u16::from(weight(id) > own);
    }
    if !present {
        return 0;
    }
    slots / count + u16::from(ahead < slots % count)
}

/// Returns the members among whom the slots of an executor at `place` are divided.
///
/// These are the daemons of the owning half in the executor's region, so that its requests stay
/// there; if that region has none, all daemons of the half.
#[must_use]
pub fn sharers<'a>(members: &'a [Member], half: &str, place: &Place) -> Vec<&'a DaemonId> {
    let of_half = || members.iter().filter(|member| member.half.as_str() == half);
    let near: Vec<&DaemonId> = of_half()
        .filter(|member| member.place.region == place.region)
        .map(|member| &member.id)
        .collect();
    if near.is_empty() {
        of_half().map(|member| &member.id).collect()
    } else {
        near
    }
}

/// A request for slots of an upstream, sent in bulk to the other daemons of the half.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub borrower: DaemonId,
    /// For which upstream.
    pub upstream: UpstreamId,
    /// How many slots are wanted.
    pub wanted: u16,
    /// Slots of this lender that are still busy although their loan ends, so that the lender goes on
    /// counting them.
    pub busy: Vec<SlotCount>,
}

/// Some slots of one executor; a pair in messages, because a loan names many.
#[derive(Clone, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(ExecutorId, u16)", into = "(ExecutorId, u16)")]
pub struct SlotCount {
    /// The executor.
    pub executor: ExecutorId,
    /// How many.
    pub count: u16,
}

/// Slots lent to a peer. The borrower counts the lease from before it asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Who lends.
    pub lender: DaemonId,
    /// For which upstream.
    pub upstream: UpstreamId,
    /// How long the loan lasts, in milliseconds.
    pub lease_ms: u64,
    /// The slots.
    pub slots: Vec<SlotCount>,
}

/// One entry of the loans that a daemon has given or taken.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The other daemon.
    pub peer: DaemonId,
    /// The executor.
    pub executor: ExecutorKey,
    /// How many slots.
    pub count: u16,
    /// When the loan ends.
    pub until: Mono,
}
