//! Which shards this daemon takes and which it gives back.
//!
//! Every daemon computes the same plan from the rows it has read; where two read different rows, the
//! compare-and-set on the shard's row lets one of them win. Choice 3 of `docs/DESIGN.md` says why
//! the owner is by preference in the same region but in another data centre than the rack.

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

use crate::record::MemberRow;
use crate::record::Owner;
use crate::record::ShardRow;
use crate::record::key;
use crate::watch::Watch;

/// How long a daemon that is further down the order waits for each one before it.
const STEP_IN_DELAY: Duration = Duration::from_secs(4);
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
pub enum Prior {
    /// Nobody can hold a grant of an earlier owner any more but a worker within its lease.
    Settled,
    /// An earlier owner may go on renewing workers' leases without the store.
    MayAct,
}

/// A shard that this daemon owns once the claim has been committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimed {
    /// The shard.
    pub shard: ShardId,
    /// This daemon.
    pub owner: Owner,
    /// The epoch under which it acts.
    pub epoch: Epoch,
    /// The version of the shard's row, on which every write is conditional.
    pub version: RowVersion,
    /// What earlier owners may still be doing.
    pub prior: Prior,
}

/// A transaction that takes a shard, and what it gives once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The compare-and-set of the shard's row.
    pub txn: Txn,
    /// What this daemon owns afterwards.
    pub claimed: Claimed,
}

/// What to do about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Commit the claim, then start a [`crate::ShardOwner`].
    Take(Claim),
    /// The row already names this life of this daemon, from a claim whose answer was lost.
    Resume(Claimed),
    /// Tell the running [`crate::ShardOwner`] to give the shard back.
    GiveBack(ShardId),
}

/// Makes the transaction by which `me` takes a shard.
///
/// # Panics
///
/// Never: a shard's row is always representable as JSON.
#[must_use]
pub fn take(view: &ShardView, me: &Owner) -> Claim {
    let epoch = view.row.as_ref().map_or(Epoch(1), |row| row.epoch.next());
    let prior = match &view.row {
        None => Prior::Settled,
        Some(row) if row.owner.is_none() && row.settled => Prior::Settled,
        Some(_) => Prior::MayAct,
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
        claimed: Claimed {
            shard: view.shard.clone(),
            owner: me.clone(),
            epoch,
            version: view.version.next(),
            prior,
        },
    }
}

/// How well a place suits the owner of a shard; lower is better.
fn distance(shard: &Place, daemon: &Place) -> u8 {
    if shard.region != daemon.region {
        2
    } else if shard.data_centre == daemon.data_centre {
        1
    } else {
        0
    }
}

/// The weight of a daemon for a shard in rendezvous hashing.
fn weight(shard: &ShardId, daemon: &DaemonId) -> u64 {
    combine_hashes(
        stable_hash(shard.as_str().as_bytes()),
        stable_hash(daemon.as_str().as_bytes()),
    )
}

/// Decides from successive reads which shards this daemon takes and gives back.
#[derive(Clone, Debug)]
pub struct Claimer {
    me: Owner,
    free_since: Map<ShardId, Mono>,
    rebalanced: Option<Mono>,
}

impl Claimer {
    /// Makes the claimer of one life of a daemon.
    #[must_use]
    pub fn new(me: Owner) -> Self {
        Self {
            me,
            free_since: Map::default(),
            rebalanced: None,
        }
    }

    /// Decides what to do now. `running` are the shards for which this daemon runs an owner or has a
    /// claim under way.
    pub fn decide(
        &mut self,
        watch: &Watch,
        shards: &[ShardView],
        running: &Set<ShardId>,
        now: Mono,
    ) -> Vec<Decision> {
        let mut members: Vec<&MemberRow> = watch.live().filter(|row| !row.draining).collect();
        members.sort_by(|left, right| left.daemon.cmp(&right.daemon));
        let mut shards: Vec<&ShardView> = shards.iter().collect();
        shards.sort_by(|left, right| left.shard.cmp(&right.shard));
        let mut loads = Loads::count(&members, &shards, watch);
        let mut decisions = self.give_back(&members, &shards, &loads, running, watch, now);
        for view in &shards {
            decisions.extend(self.consider(view, &members, &mut loads, running, watch, now));
        }
        decisions
    }

    fn consider(
        &mut self,
        view: &ShardView,
        members: &[&MemberRow],
        loads: &mut Loads,
        running: &Set<ShardId>,
        watch: &Watch,
        now: Mono,
    ) -> Option<Decision> {
        if let Some(owner) = holder(view, watch) {
            self.free_since.remove(&view.shard);
            let ours = *owner == self.me && !running.contains(&view.shard);
            return ours.then(|| Decision::Resume(self.resume(view)));
        }
        let order = loads.order(view, members);
        let first = order.first()?;
        loads.add(first);
        let since = *self.free_since.entry(view.shard.clone()).or_insert(now);
        if running.contains(&view.shard) {
            return None;
        }
        let rank = order.iter().position(|daemon| **daemon == self.me.daemon)?;
        let delay = STEP_IN_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        (now.since(since) >= delay).then(|| Decision::Take(take(view, &self.me)))
    }

    fn resume(&self, view: &ShardView) -> Claimed {
        Claimed {
            shard: view.shard.clone(),
            owner: self.me.clone(),
            epoch: view.row.as_ref().map_or(Epoch(0), |row| row.epoch),
            version: view.version,
            prior: Prior::MayAct,
        }
    }

    fn give_back(
        &mut self,
        members: &[&MemberRow],
        shards: &[&ShardView],
        loads: &Loads,
        running: &Set<ShardId>,
        watch: &Watch,
        now: Mono,
    ) -> Vec<Decision> {
        let owned = shards
            .iter()
            .filter(|view| running.contains(&view.shard))
            .filter(|view| holder(view, watch) == Some(&self.me));
        let Some(me) = members.iter().find(|row| row.daemon == self.me.daemon) else {
            let draining = watch
                .member(&self.me.daemon)
                .is_some_and(|row| row.draining);
            let all = owned.map(|view| Decision::GiveBack(view.shard.clone()));
            return all.filter(|_| draining).collect();
        };
        let recent = |at: Mono| now.since(at) < REBALANCE_INTERVAL;
        if self.rebalanced.is_some_and(recent) {
            return Vec::new();
        }
        let moved = owned
            .filter(|view| loads.should_move(view, me, members))
            .max_by_key(|view| distance(&view.place, &me.place));
        let Some(view) = moved else {
            return Vec::new();
        };
        self.rebalanced = Some(now);
        vec![Decision::GiveBack(view.shard.clone())]
    }
}

/// The owner of a shard whose heartbeat has not lapsed.
fn holder<'a>(view: &'a ShardView, watch: &Watch) -> Option<&'a Owner> {
    let owner = view.row.as_ref()?.owner.as_ref()?;
    (!watch.has_lapsed(owner)).then_some(owner)
}

/// How many shards each daemon owns, and how many it should at most.
struct Loads {
    owned: Map<DaemonId, usize>,
    shards: Map<model::id::RegionId, usize>,
}

impl Loads {
    fn count(members: &[&MemberRow], shards: &[&ShardView], watch: &Watch) -> Self {
        let mut loads = Self {
            owned: Map::default(),
            shards: Map::default(),
        };
        for row in members {
            loads.owned.insert(row.daemon.clone(), 0);
        }
        for view in shards {
            *loads.shards.entry(view.place.region.clone()).or_default() += 1;
            if let Some(owner) = holder(view, watch) {
                *loads.owned.entry(owner.daemon.clone()).or_default() += 1;
            }
        }
        loads
    }

    fn add(&mut self, daemon: &DaemonId) {
        *self.owned.entry(daemon.clone()).or_default() += 1;
    }

    fn of(&self, daemon: &DaemonId) -> usize {
        self.owned.get(daemon).copied().unwrap_or(0)
    }

    /// The even part of a region's shards, for each of the daemons that may own them.
    fn even(&self, view: &ShardView, members: &[&MemberRow]) -> usize {
        let local = members
            .iter()
            .filter(|row| row.place.region == view.place.region)
            .count();
        let daemons = if local == 0 { members.len() } else { local };
        let shards = self.shards.get(&view.place.region).copied().unwrap_or(0);
        shards.div_ceil(daemons.max(1))
    }

    /// The daemons in the order in which they should take a shard.
    fn order<'a>(&self, view: &ShardView, members: &[&'a MemberRow]) -> Vec<&'a DaemonId> {
        let even = self.even(view, members);
        let mut order: Vec<&MemberRow> = members.to_vec();
        order.sort_by_key(|row| {
            let away = row.place.region != view.place.region;
            let excess = self.of(&row.daemon).saturating_sub(even.saturating_sub(1));
            let far = distance(&view.place, &row.place);
            (
                away,
                excess,
                far,
                std::cmp::Reverse(weight(&view.shard, &row.daemon)),
            )
        });
        order.into_iter().map(|row| &row.daemon).collect()
    }

    /// Whether a shard would be clearly better off elsewhere.
    fn should_move(&self, view: &ShardView, me: &MemberRow, members: &[&MemberRow]) -> bool {
        let Some(best) = self.order(view, members).first().copied() else {
            return false;
        };
        let away = me.place.region != view.place.region;
        let local = members
            .iter()
            .any(|row| row.place.region == view.place.region);
        let crowded = self.of(&me.daemon) > self.even(view, members) + 1;
        let roomy = self.of(best) < self.even(view, members);
        *best != me.daemon && ((away && local) || (crowded && roomy))
    }
}
