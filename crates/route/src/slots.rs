//! Division of an executor's slots among daemons, and messages for lending them.
//!
//! Every daemon computes the same division from the same members, so no coordinator is needed.
//! `docs/ROUTING.md` states for how long two daemons with different views may both count a slot as
//! theirs.

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
use crate::update::Member;

/// Returns how many of an executor's `slots` belong to `daemon`.
///
/// The members are ranked by rendezvous hashing. Each member gets an equal share, and the remainder
/// goes to the first members of the ranking. Shares therefore differ by at most one, and a change
/// of one member moves few slots.
#[must_use]
pub fn quota<'a>(
    executor: &ExecutorId,
    slots: u16,
    daemon: &DaemonId,
    members: impl Iterator<Item = &'a DaemonId> + Clone,
) -> u16 {
    let executor = stable_hash(executor.as_str().as_bytes());
    let rank = |id: &DaemonId| {
        (
            combine_hashes(executor, stable_hash(id.as_str().as_bytes())),
            id.clone(),
        )
    };
    let own = rank(daemon);
    let (mut count, mut ranked_before, mut present) = (0u16, 0u16, false);
    for id in members {
        count += 1;
        present |= id == daemon;
        ranked_before += u16::from(rank(id) > own);
    }
    if !present {
        return 0;
    }
    slots / count + u16::from(ranked_before < slots % count)
}

/// Returns the members among which the slots of an executor at `place` are divided.
///
/// These are the daemons of the owning half in the executor's region, so that requests stay in the
/// region. If there is none in the region, these are all daemons of the half.
#[must_use]
pub fn eligible_members<'a>(members: &'a [Member], half: &str, place: &Place) -> Vec<&'a DaemonId> {
    let of_half = || members.iter().filter(|member| member.half.as_str() == half);
    let same_region: Vec<&DaemonId> = of_half()
        .filter(|member| member.place.region == place.region)
        .map(|member| &member.id)
        .collect();
    if same_region.is_empty() {
        of_half().map(|member| &member.id).collect()
    } else {
        same_region
    }
}

/// A request to another daemon of the half to lend slots of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Daemon that wants to borrow.
    pub borrower: DaemonId,
    /// Upstream of the slots.
    pub upstream: UpstreamId,
    /// Number of additional slots wanted.
    pub wanted: u16,
    /// Slots borrowed from this lender that are still in use. The lender continues to count them as
    /// lent, although their loan ends.
    pub busy: Vec<SlotCount>,
}

/// A number of slots of one executor. It is serialized as a pair because a loan lists many.
#[derive(Clone, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(ExecutorId, u16)", into = "(ExecutorId, u16)")]
pub struct SlotCount {
    /// Executor of the slots.
    pub executor: ExecutorId,
    /// Number of slots.
    pub count: u16,
}

/// Slots lent to another daemon. The borrower counts the lease from before it sent the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoan {
    /// Daemon that lends the slots.
    pub lender: DaemonId,
    /// Upstream of the slots.
    pub upstream: UpstreamId,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Lent slots by executor, including those that the request listed as busy.
    pub slots: Vec<SlotCount>,
}

/// Slots of one executor that this daemon has lent or borrowed.
#[derive(Clone, Debug)]
pub struct LoanEntry {
    /// The other daemon of the loan.
    pub peer: DaemonId,
    /// Executor of the slots.
    pub executor: ExecutorKey,
    /// Number of slots.
    pub count: u16,
    /// When the loan expires.
    pub expires_at: Mono,
}
