//! Decides which shards this daemon claims and which it releases.
//!
//! Every daemon computes the same assignment from the rows that it has read. If two daemons read
//! different rows, the compare-and-set on the shard's row lets only one of them succeed. Choice 3
//! of `docs/DESIGN.md` explains why the owner is preferably in the rack's region but in another
//! data centre.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::Set;
use model::hash::combine_hashes;
use model::hash::stable_hash;
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

/// How long a daemon waits for each daemon that precedes it in a shard's preference order.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// The minimum interval between two releases that rebalance the load.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(60);

/// A shard as listed in the host list and the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardView {
    /// The id of the shard, which is that of its rack.
    pub shard: ShardId,
    /// The region and data centre of the rack.
    pub place: Place,
    /// The shard's row, or `None` if the shard has never had an owner.
    pub row: Option<ShardRow>,
    /// The version of the row, or 0 if there is none.
    pub version: RowVersion,
}

/// Whether prior owners of a shard may still renew worker leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PriorOwners {
    /// No prior owner renews leases any more; workers may still hold unexpired ones.
    Inactive,
    /// A prior owner that cannot reach the store may still be renewing worker leases.
    MayBeActive,
}

/// The ownership of a shard by this daemon, valid once its claim is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The owned shard.
    pub shard: ShardId,
    /// This daemon and its incarnation.
    pub owner: Owner,
    /// The epoch that fences out prior owners.
    pub epoch: Epoch,
    /// The version of the shard's row, on which every write is conditional.
    pub version: RowVersion,
    /// Whether prior owners may still renew worker leases.
    pub prior_owners: PriorOwners,
}

/// A transaction that claims a shard, and the resulting ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The compare-and-set on the shard's row.
    pub txn: Txn,
    /// The ownership that takes effect when the transaction is committed.
    pub ownership: Ownership,
}

/// An ownership change to carry out for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Commit the claim, then start a [`crate::ShardOwner`].
    Claim(Claim),
    /// Start a [`crate::ShardOwner`]: the row already names this incarnation of this daemon, from a
    /// claim whose answer was lost.
    Resume(Ownership),
    /// Send [`crate::Event::ReleaseShard`] to the running [`crate::ShardOwner`].
    ReleaseShard(ShardId),
}

/// Returns the transaction by which `me` claims a shard under the next epoch.
///
/// # Panics
///
/// Never: a shard's row can always be represented as JSON.
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

/// Returns the penalty for placing the owner of a shard at `daemon`; 0 is the preferred placement.
fn placement_penalty(shard: &Place, daemon: &Place) -> u8 {
    if shard.region != daemon.region {
        2
    } else if shard.data_centre == daemon.data_centre {
        1
    } else {
        0
    }
}

/// Returns the weight of a daemon for a shard in rendezvous hashing.
fn rendezvous_weight(shard: &ShardId, daemon: &DaemonId) -> u64 {
    combine_hashes(
        stable_hash(shard.as_str().as_bytes()),
        stable_hash(daemon.as_str().as_bytes()),
    )
}

/// Decides from successive reads of the table which shards this daemon claims and releases.
#[derive(Clone, Debug)]
pub struct Claimer {
    me: Owner,
    /// When each shard was first read without a live owner.
    unowned_since: Map<ShardId, Mono>,
    /// When the last shard was released to rebalance the load.
    last_rebalance: Option<Mono>,
}

impl Claimer {
    /// Creates the claimer of one incarnation of a daemon.
    #[must_use]
    pub fn new(me: Owner) -> Self {
        Self {
            me,
            unowned_since: Map::default(),
            last_rebalance: None,
        }
    }

    /// Returns the ownership changes that are due.
    ///
    /// `running` contains the shards for which this daemon runs an owner or has a claim in flight.
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
            let is_lost_claim = *owner == self.me && !running.contains(&view.shard);
            return is_lost_claim.then(|| Decision::Resume(self.resume(view)));
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
        let candidate = owned
            .filter(|view| loads.should_move(view, me, members))
            .max_by_key(|view| placement_penalty(&view.place, &me.place));
        let Some(view) = candidate else {
            return Vec::new();
        };
        self.last_rebalance = Some(now);
        vec![Decision::ReleaseShard(view.shard.clone())]
    }
}

/// Returns the owner of a shard if it is alive according to `liveness`.
fn live_owner<'a>(view: &'a ShardView, liveness: &LivenessMonitor) -> Option<&'a Owner> {
    let owner = view.row.as_ref()?.owner.as_ref()?;
    (!liveness.has_expired(owner)).then_some(owner)
}

/// The number of shards that each daemon owns and that each region has.
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

    /// Returns an even share, per daemon, of the shards in the view's region. The shards of a
    /// region without daemons are shared by all daemons.
    fn fair_share(&self, view: &ShardView, members: &[&MemberRow]) -> usize {
        let local = members
            .iter()
            .filter(|row| row.place.region == view.place.region)
            .count();
        let daemons = if local == 0 { members.len() } else { local };
        let shards = self.shards.get(&view.place.region).copied().unwrap_or(0);
        shards.div_ceil(daemons.max(1))
    }

    /// Returns the daemons in the order of preference for owning a shard: in its region first, then
    /// by load, placement and rendezvous hash.
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

    /// Returns whether a shard should move to another daemon: from another region into its own, or
    /// from a daemon more than one shard above the fair share to one below it.
    fn should_move(&self, view: &ShardView, me: &MemberRow, members: &[&MemberRow]) -> bool {
        let Some(best) = self.preference_order(view, members).first().copied() else {
            return false;
        };
        let outside_region = me.place.region != view.place.region;
        let has_local = members
            .iter()
            .any(|row| row.place.region == view.place.region);
        let overloaded = self.owned_by(&me.daemon) > self.fair_share(view, members) + 1;
        let below_share = self.owned_by(best) < self.fair_share(view, members);
        *best != me.daemon && ((outside_region && has_local) || (overloaded && below_share))
    }
}
