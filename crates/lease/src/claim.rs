//! Which shards this daemon takes and which it gives back.
//!
//! Every daemon computes the same plan from the rows it has read; where two read different rows, the
//! compare-and-set on the shard's row lets one of them win. Choice 3 of `docs/DESIGN.md` says why
//! the owner is by preference in the same region but in another data centre than the rack.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::Set;
use model::hash::combine;
use model::hash::stable;
use model::id::DaemonId;
use model::id::Epoch;
use model::id::OpId;
use model::id::RowVersion;
use model::id::ShardId;
use model::place::Place;
use plat::table::Check;
use plat::table::Txn;
use plat::table::Write;

use crate::liveness::LivenessMonitor;
use crate::record::MemberRow;
use crate::record::Owner;
use crate::record::ShardRow;
use crate::record::key;

/// How long a daemon that is further down the order waits for each one before it.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// The shortest span between two shards that are given back to even out the load.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(60);

/// A shard as the table and the list of hosts show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardId,
    /// Where its rack stands.
    pub place: Place,
    /// Its row, or `None` if nobody has ever owned it.
    pub row: Option<ShardRow>,
    /// The version of its row, 0 if there is none.
    pub version: RowVersion,
}

/// What earlier owners of a shard may still be doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PriorOwners {
    /// Nobody can hold a grant of an earlier owner any more but a worker within its lease.
    Inactive,
    /// An earlier owner may go on renewing workers' leases without the store.
    MayBeActive,
}

/// A shard that this daemon owns once the claim has been committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The shard.
    pub shard: ShardId,
    /// This daemon.
    pub owner: Owner,
    /// The epoch under which it acts.
    pub epoch: Epoch,
    /// The version of the shard's row, on which every write is conditional.
    pub version: RowVersion,
    /// What earlier owners may still be doing.
    pub prior_owners: PriorOwners,
}

/// A transaction that takes a shard, and what it gives once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The compare-and-set of the shard's row.
    pub txn: Txn,
    /// What this daemon owns afterwards.
    pub ownership: Ownership,
}

/// What to do about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Commit the claim, then start a [`crate::ShardOwner`].
    Claim(Claim),
    /// The row already names this life of this daemon, from a claim whose answer was lost.
    Resume(Ownership),
    /// Tell the running [`crate::ShardOwner`] to give the shard back.
    ReleaseShard(ShardId),
}

/// Makes the transaction by which `me` takes a shard.
///
/// # Panics
///
/// Never: a shard's row is always representable as JSON.
#[must_use]
pub fn claim_shard(view: &ShardView, me: &Owner) -> Claim {
    let epoch = view.row.as_ref().map_or(Epoch(1), |row| row.epoch.next());
    let prior_owners = match &view.row {
        None => PriorOwners::Inactive,
        Some(row) if row.owner.is_none() && row.settled => PriorOwners::Inactive,
        Some(_) => PriorOwners::MayBeActive,
    };
    let row = ShardRow {
        owner: Some(me.clone()),
        epoch,
        settled: false,
    };
    let shard_key = key::shard(&view.shard);
    let op = format!(
        "claim/{}/{}/{}/{epoch}",
        me.daemon, me.incarnation, view.shard
    );
    Claim {
        txn: Txn {
            op: OpId::from(op),
            checks: vec![Check {
                key: shard_key.clone(),
                version: view.version,
            }],
            writes: vec![Write {
                key: shard_key,
                value: Some(serde_json::to_value(row).expect("a shard's row is JSON")),
            }],
        },
        ownership: Ownership {
            shard: view.shard.clone(),
            owner: me.clone(),
            epoch,
            version: view.version.next(),
            prior_owners,
        },
    }
}

/// How well a place suits the owner of a shard; lower is better.
fn placement_penalty(shard: &Place, daemon: &Place) -> u8 {
    if shard.region != daemon.region {
        2
    } else if shard.data_centre == daemon.data_centre {
        1
    } else {
        0
    }
}

/// The weight of a daemon for a shard in rendezvous hashing.
fn rendezvous_weight(shard: &ShardId, daemon: &DaemonId) -> u64 {
    combine(
        stable(shard.as_str().as_bytes()),
        stable(daemon.as_str().as_bytes()),
    )
}

/// Decides from successive reads which shards this daemon takes and gives back.
#[derive(Clone, Debug)]
pub struct Claimer {
    me: Owner,
    unowned_since: Map<ShardId, Mono>,
    last_rebalance: Option<Mono>,
}

impl Claimer {
    /// Makes the claimer of one life of a daemon.
    #[must_use]
    pub fn new(me: Owner) -> Self {
        Self {
            me,
            unowned_since: Map::default(),
            last_rebalance: None,
        }
    }

    /// Decides what to do now. `running` are the shards for which this daemon runs an owner or has a
    /// claim under way.
    pub fn decide(
        &mut self,
        liveness: &LivenessMonitor,
        shards: &[ShardView],
        running: &Set<ShardId>,
        now: Mono,
    ) -> Vec<Decision> {
        let mut members: Vec<&MemberRow> = liveness.live().filter(|row| !row.draining).collect();
        members.sort_by(|left, right| left.daemon.cmp(&right.daemon));
        let mut shards: Vec<&ShardView> = shards.iter().collect();
        shards.sort_by(|left, right| left.shard.cmp(&right.shard));
        let mut loads = Loads::count(&members, &shards, liveness);
        let mut decisions = self.release_shards(&members, &shards, &loads, running, liveness, now);
        for view in &shards {
            decisions.extend(self.decide_shard(view, &members, &mut loads, running, liveness, now));
        }
        decisions
    }

    fn decide_shard(
        &mut self,
        view: &ShardView,
        members: &[&MemberRow],
        loads: &mut Loads,
        running: &Set<ShardId>,
        liveness: &LivenessMonitor,
        now: Mono,
    ) -> Option<Decision> {
        if let Some(owner) = live_owner(view, liveness) {
            self.unowned_since.remove(&view.shard);
            let ours = *owner == self.me && !running.contains(&view.shard);
            return ours.then(|| Decision::Resume(self.resume(view)));
        }
        let order = loads.preference_order(view, members);
        let first = order.first()?;
        loads.add(first);
        let since = *self.unowned_since.entry(view.shard.clone()).or_insert(now);
        if running.contains(&view.shard) {
            return None;
        }
        let rank = order.iter().position(|daemon| **daemon == self.me.daemon)?;
        let delay = TAKEOVER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        (now.since(since) >= delay).then(|| Decision::Claim(claim_shard(view, &self.me)))
    }

    fn resume(&self, view: &ShardView) -> Ownership {
        Ownership {
            shard: view.shard.clone(),
            owner: self.me.clone(),
            epoch: view.row.as_ref().map_or(Epoch(0), |row| row.epoch),
            version: view.version,
            prior_owners: PriorOwners::MayBeActive,
        }
    }

    fn release_shards(
        &mut self,
        members: &[&MemberRow],
        shards: &[&ShardView],
        loads: &Loads,
        running: &Set<ShardId>,
        liveness: &LivenessMonitor,
        now: Mono,
    ) -> Vec<Decision> {
        let owned = shards
            .iter()
            .filter(|view| running.contains(&view.shard))
            .filter(|view| live_owner(view, liveness) == Some(&self.me));
        let Some(me) = members.iter().find(|row| row.daemon == self.me.daemon) else {
            let draining = liveness
                .member(&self.me.daemon)
                .is_some_and(|row| row.draining);
            let all = owned.map(|view| Decision::ReleaseShard(view.shard.clone()));
            return all.filter(|_| draining).collect();
        };
        let recent = |at: Mono| now.since(at) < REBALANCE_INTERVAL;
        if self.last_rebalance.is_some_and(recent) {
            return Vec::new();
        }
        let moved = owned
            .filter(|view| loads.should_move(view, me, members))
            .max_by_key(|view| placement_penalty(&view.place, &me.place));
        let Some(view) = moved else {
            return Vec::new();
        };
        self.last_rebalance = Some(now);
        vec![Decision::ReleaseShard(view.shard.clone())]
    }
}

/// The owner of a shard whose heartbeat has not lapsed.
fn live_owner<'a>(view: &'a ShardView, liveness: &LivenessMonitor) -> Option<&'a Owner> {
    let owner = view.row.as_ref()?.owner.as_ref()?;
    (!liveness.has_expired(owner)).then_some(owner)
}

/// How many shards each daemon owns, and how many it should at most.
struct Loads {
    owned: Map<DaemonId, usize>,
    shards: Map<model::id::RegionId, usize>,
}

impl Loads {
    fn count(members: &[&MemberRow], shards: &[&ShardView], liveness: &LivenessMonitor) -> Self {
        let mut loads = Self {
            owned: Map::default(),
            shards: Map::default(),
        };
        for row in members {
            loads.owned.insert(row.daemon.clone(), 0);
        }
        for view in shards {
            *loads.shards.entry(view.place.region.clone()).or_default() += 1;
            if let Some(owner) = live_owner(view, liveness) {
                *loads.owned.entry(owner.daemon.clone()).or_default() += 1;
            }
        }
        loads
    }

    fn add(&mut self, daemon: &DaemonId) {
        *self.owned.entry(daemon.clone()).or_default() += 1;
    }

    fn owned_by(&self, daemon: &DaemonId) -> usize {
        self.owned.get(daemon).copied().unwrap_or(0)
    }

    /// The even part of a region's shards, for each of the daemons that may own them.
    fn fair_share(&self, view: &ShardView, members: &[&MemberRow]) -> usize {
        let local = members
            .iter()
            .filter(|row| row.place.region == view.place.region)
            .count();
        let daemons = if local == 0 { members.len() } else { local };
        let shards = self.shards.get(&view.place.region).copied().unwrap_or(0);
        shards.div_ceil(daemons.max(1))
    }

    /// The daemons in the order in which they should take a shard.
    fn preference_order<'a>(
        &self,
        view: &ShardView,
        members: &[&'a MemberRow],
    ) -> Vec<&'a DaemonId> {
        let fair_share = self.fair_share(view, members);
        let mut order: Vec<&MemberRow> = members.to_vec();
        order.sort_by_key(|row| {
            let outside_region = row.place.region != view.place.region;
            let excess = self
                .owned_by(&row.daemon)
                .saturating_sub(fair_share.saturating_sub(1));
            let penalty = placement_penalty(&view.place, &row.place);
            (
                outside_region,
                excess,
                penalty,
                std::cmp::Reverse(rendezvous_weight(&view.shard, &row.daemon)),
            )
        });
        order.into_iter().map(|row| &row.daemon).collect()
    }

    /// Whether a shard would be clearly better off elsewhere.
    fn should_move(&self, view: &ShardView, me: &MemberRow, members: &[&MemberRow]) -> bool {
        let Some(best) = self.preference_order(view, members).first().copied() else {
            return false;
        };
        let outside_region = me.place.region != view.place.region;
        let local = members
            .iter()
            .any(|row| row.place.region == view.place.region);
        let overloaded = self.owned_by(&me.daemon) > self.fair_share(view, members) + 1;
        let below_share = self.owned_by(best) < self.fair_share(view, members);
        *best != me.daemon && ((outside_region && local) || (overloaded && below_share))
    }
}
