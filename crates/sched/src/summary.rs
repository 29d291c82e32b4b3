//! Exports the state of the scheduler: a summary for other daemons and a dump for operators.

use model::Map;
use model::Size;
use model::id::DaemonId;
use model::id::TaskId;

use crate::decision::UnrunnableReason;
use crate::dump::ClassDump;
use crate::dump::Dump;
use crate::dump::LIST_LIMIT;
use crate::dump::PairDump;
use crate::dump::TeamDump;
use crate::dump::WorkerDump;
use crate::input::PeerShard;
use crate::input::PeerSummary;
use crate::key::Index;
use crate::sched::Sched;
use crate::task::Phase;
use crate::team::Team;
use crate::worker::Worker;

impl Sched {
    /// Replaces the summaries of other daemons; daemons that are absent are removed.
    pub fn set_peers(&mut self, peers: Vec<PeerSummary>) {
        self.peers = peers
            .into_iter()
            .map(|peer| (peer.daemon.clone(), peer))
            .collect();
        self.cluster.set_peers(self.peers.values());
    }

    /// Returns the summary of this daemon for other daemons.
    #[must_use]
    pub fn summary(&self, daemon: &DaemonId) -> PeerSummary {
        let is_using = |team: &&Team| team.used != Size::ZERO;
        let teams = self.cluster.teams.values().filter(is_using);
        PeerSummary {
            daemon: daemon.clone(),
            teams: teams.map(|team| (team.id.clone(), team.used)).collect(),
            capacity: self.cluster.capacity,
            shards: self.shards(),
        }
    }

    fn shards(&self) -> Vec<PeerShard> {
        let mut shards: Map<Index, PeerShard> = Map::default();
        for worker in self
            .cluster
            .workers
            .values()
            .filter(|worker| worker.is_schedulable())
        {
            let shard = shards.entry(worker.rack).or_insert_with(|| PeerShard {
                shard: self.cluster.racks.get(worker.rack).clone(),
                place: self.cluster.sites.get(worker.site).clone(),
                largest: Size::ZERO,
                free: Size::ZERO,
            });
            shard.largest = shard.largest.max(&worker.capacity);
            let free = free_for_peers(worker);
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
        let running = self
            .cluster
            .tasks
            .values()
            .filter(|task| task.run().is_some());
        let refused = self
            .cluster
            .tasks
            .values()
            .filter_map(|task| match &task.phase {
                Phase::Unrunnable(reason) => Some((task.id.clone(), reason.clone())),
                _ => None,
            });
        let refused: Vec<(TaskId, UnrunnableReason)> = refused.collect();
        let workers = self.cluster.workers.values().map(dump_worker);
        Dump {
            queued: self.queue.len,
            running: running.count(),
            unrunnable: refused.len(),
            workers: workers.take(LIST_LIMIT).collect(),
            teams: self.dump_teams(),
            classes: self.dump_classes(),
            pairs: self.dump_pairs(),
            refused: refused.into_iter().take(LIST_LIMIT).collect(),
            recent: self.recent_decisions.iter().cloned().collect(),
        }
    }

    fn dump_teams(&self) -> Vec<TeamDump> {
        let teams = self.cluster.teams.values().map(|team| {
            let lanes = team
                .lanes
                .iter()
                .filter_map(|lane| self.queue.lanes.get(*lane));
            TeamDump {
                id: team.id.clone(),
                queued: lanes.map(|lane| lane.len).sum(),
                used: team.used,
                used_elsewhere: team.used_elsewhere,
            }
        });
        teams.take(LIST_LIMIT).collect()
    }

    fn dump_classes(&self) -> Vec<ClassDump> {
        let classes = self.cluster.classes.values().map(|class| {
            let (size, learned) = class.sizes.reservation(&Size::ZERO);
            ClassDump {
                id: class.id.clone(),
                runs: class.sizes.runs,
                learned: learned.then_some(size),
                run_ms: class.sizes.run_p90_ms,
            }
        });
        classes.take(LIST_LIMIT).collect()
    }

    fn dump_pairs(&self) -> Vec<PairDump> {
        let classes = &self.cluster.classes;
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

/// Returns the free capacity of a worker that a task handed off by another daemon could use.
fn free_for_peers(worker: &Worker) -> Size {
    if worker.reserved_for.is_some() || worker.health.quarantine.is_some() {
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
        held: worker.reserved_for.is_some(),
        leaving: worker.leaving,
    }
}
