//! Exchanges summaries of capacity and usage with the other daemons.

use model::Mono;
use peer::summary::ShardCapacity;
use peer::summary::TeamUsage;
use sched::input::PeerShard;
use sched::input::PeerSummary;

use crate::shards::driver::Driver;

impl Driver {
    /// Publishes the own summary by gossip and passes the received ones to the scheduler.
    pub(super) fn exchange_summaries(&mut self, now: Mono) {
        let own = self.cx.settings.daemon.clone();
        let summary = self.sched.summary(&own);
        let mut view = self.cx.view();
        let crate::context::ClusterView {
            members, gossip, ..
        } = &mut *view;
        let peers: Vec<PeerSummary> = gossip
            .summaries(members, now)
            .map(|(daemon, received)| peer_summary(daemon, received))
            .collect();
        gossip.update(&own, |own_summary| {
            own_summary.capacity = summary.capacity;
            own_summary.shards = summary.shards.into_iter().map(shard_capacity).collect();
            own_summary.teams = summary
                .teams
                .into_iter()
                .map(|(team, used)| TeamUsage { team, used })
                .collect();
        });
        drop(view);
        self.sched.set_peers(peers);
    }
}

fn shard_capacity(shard: PeerShard) -> ShardCapacity {
    ShardCapacity {
        shard: shard.shard,
        place: shard.place,
        largest: shard.largest,
        free: shard.free,
    }
}

fn peer_summary(daemon: &model::id::DaemonId, received: &peer::summary::Summary) -> PeerSummary {
    let shard = |capacity: &ShardCapacity| PeerShard {
        shard: capacity.shard.clone(),
        place: capacity.place.clone(),
        largest: capacity.largest,
        free: capacity.free,
    };
    PeerSummary {
        daemon: daemon.clone(),
        teams: received
            .teams
            .iter()
            .map(|usage| (usage.team.clone(), usage.used))
            .collect(),
        capacity: received.capacity,
        shards: received.shards.iter().map(shard).collect(),
    }
}
