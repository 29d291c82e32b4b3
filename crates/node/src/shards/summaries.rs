//! Exchanges with the other daemons what room and load there is.

use model::Mono;
use peer::summary::ShardCapacity;
use peer::summary::TeamUsage;
use sched::input::PeerShard;
use sched::input::PeerSummary;

use crate::shards::driver::Driver;

impl Driver {
    /// Tells the other daemons of the room here and takes in what they tell.
    pub(super) fn exchange_summaries(&mut self, now: Mono) {
        let own = self.cx.settings.daemon.clone();
        let summary = self.sched.summary(&own);
        let mut view = self.cx.view();
        let crate::cx::View {
            members, gossip, ..
        } = &mut *view;
        let peers: Vec<PeerSummary> = gossip
            .summaries(members, now)
            .map(|(daemon, told)| peer_facts(daemon, told))
            .collect();
        gossip.update(&own, |told| {
            told.capacity = summary.capacity;
            told.shards = summary.shards.into_iter().map(room).collect();
            told.teams = summary
                .teams
                .into_iter()
                .map(|(team, used)| TeamUsage { team, used })
                .collect();
        });
        drop(view);
        self.sched.set_peers(peers);
    }
}

fn room(shard: PeerShard) -> ShardCapacity {
    ShardCapacity {
        shard: shard.shard,
        place: shard.place,
        largest: shard.largest,
        free: shard.free,
    }
}

fn peer_facts(daemon: &model::id::DaemonId, told: &peer::summary::Summary) -> PeerSummary {
    let shard = |room: &ShardCapacity| PeerShard {
        shard: room.shard.clone(),
        place: room.place.clone(),
        largest: room.largest,
        free: room.free,
    };
    PeerSummary {
        daemon: daemon.clone(),
        teams: told
            .teams
            .iter()
            .map(|one| (one.team.clone(), one.used))
            .collect(),
        capacity: told.capacity,
        shards: told.shards.iter().map(shard).collect(),
    }
}
