//! What the scheduler tells: other daemons its room, operators its state.

use model::Map;
use model::Size;
use model::id::DaemonId;
use model::id::TaskId;

use crate::decision::Unrunnable;
use crate::dump::ClassDump;
use crate::dump::Dump;
use crate::dump::LIST_LIMIT;
use crate::dump::PairDump;
use crate::dump::TeamDump;
use crate::dump::WorkerDump;
use crate::facts::PeerShard;
use crate::facts::PeerSummary;
use crate::key::Index;
use crate::sched::Sched;
use crate::task::Phase;
use crate::team::Team;
use crate::worker::Worker;

impl Sched {
    /// Replaces what is known of other daemons; absent ones are forgotten.
    pub fn set_peers(&mut self, peers: Vec<PeerSummary>) {
        self.peers = peers
            .into_iter()
            .map(|peer| (peer.daemon.clone(), peer))
            .collect();
        self.book.set_peers(self.peers.values());
    }

    /// Returns this daemon's own summary for the others.
    #[must_use]
    pub fn summary(&self, daemon: &DaemonId) -> PeerSummary {
        let holding = |team: &&Team| team.used != Size::ZERO;
        let teams = self.book.teams.values().filter(holding);
        PeerSummary {
            daemon: daemon.clone(),
            teams: teams.map(|team| (team.id.clone(), team.used)).collect(),
            capacity: self.book.capacity,
            shards: self.shards(),
        }
    }

    fn shards(&self) -> Vec<PeerShard> {
        let mut shards: Map<Index, PeerShard> = Map::default();
        for worker in self.book.workers.values().filter(|worker| worker.is_open()) {
            let shard = shards.entry(worker.rack).or_insert_with(|| PeerShard {
                shard: self.book.racks.get(worker.rack).clone(),
                place: self.book.sites.get(worker.site).clone(),
                largest: Size::ZERO,
                free: Size::ZERO,
            });
            shard.largest = shard.largest.max(&worker.capacity);
            let free = room_for_others(worker);
            if free.cpu_millis > shard.free.cpu_millis {
                shard.free = free;
            }
        }
        let mut shards: Vec<PeerShard> = shards.into_values().collect();
        shards.sort_by(|left, right| left.shard.cmp(&right.shard));
        shards
    }

    /// Returns a bounded snapshot for the operators' dump.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let running = self.book.tasks.values().filter(|task| task.run().is_some());
        let refused = self
            .book
            .tasks
            .values()
            .filter_map(|task| match &task.phase {
                Phase::Refused(reason) => Some((task.id.clone(), reason.clone())),
                _ => None,
            });
        let refused: Vec<(TaskId, Unrunnable)> = refused.collect();
        let workers = self.book.workers.values().map(dump_worker);
        Dump {
            queued: self.queue.live,
            running: running.count(),
            unrunnable: refused.len(),
            workers: workers.take(LIST_LIMIT).collect(),
            teams: self.dump_teams(),
            classes: self.dump_classes(),
            pairs: self.dump_pairs(),
            refused: refused.into_iter().take(LIST_LIMIT).collect(),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    fn dump_teams(&self) -> Vec<TeamDump> {
        let teams = self.book.teams.values().map(|team| {
            let lanes = team
                .lanes
                .iter()
                .filter_map(|lane| self.queue.lanes.get(*lane));
            TeamDump {
                id: team.id.clone(),
                queued: lanes.map(|lane| lane.live).sum(),
                used: team.used,
                used_elsewhere: team.elsewhere,
            }
        });
        teams.take(LIST_LIMIT).collect()
    }

    fn dump_classes(&self) -> Vec<ClassDump> {
        let classes = self.book.classes.values().map(|class| {
            let (size, learned) = class.sizes.reservation(&Size::ZERO);
            ClassDump {
                id: class.id.clone(),
                runs: class.sizes.runs,
                learned: learned.then_some(size),
                run_ms: class.sizes.run_high_ms,
            }
        });
        classes.take(LIST_LIMIT).collect()
    }

    fn dump_pairs(&self) -> Vec<PairDump> {
        let classes = &self.book.classes;
        let pairs = self.interference.pairs().filter_map(|pair| {
            let (service, batch, factor, reports) = pair;
            Some(PairDump {
                service: classes.get(service)?.id.clone(),
                batch: classes.get(batch)?.id.clone(),
                factor,
                reports,
            })
        });
        pairs.take(LIST_LIMIT).collect()
    }
}

/// Returns the room on a worker that a task from another daemon's queue could take.
fn room_for_others(worker: &Worker) -> Size {
    if worker.hold.is_some() || worker.health.quarantine.is_some() {
        return Size::ZERO;
    }
    worker.free()
}

fn dump_worker(worker: &Worker) -> WorkerDump {
    WorkerDump {
        id: worker.id.clone(),
        capacity: worker.capacity,
        reserved: worker.reserved,
        tasks: worker.tasks.len(),
        quarantined: worker.health.quarantine.is_some(),
        held: worker.hold.is_some(),
        leaving: worker.leaving,
    }
}
