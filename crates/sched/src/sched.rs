//! The scheduler's state and the events that change it.

use std::collections::VecDeque;

use conf::doc::Document;
use model::Map;
use model::Mono;
use model::Size;
use model::id::DaemonId;
use model::id::TaskId;
use model::id::WorkerId;

use crate::config::Config;
use crate::decision::Budget;
use crate::decision::Decision;
use crate::decision::Recent;
use crate::dump::Dump;
use crate::facts::End;
use crate::facts::PeerSummary;
use crate::facts::Queued;
use crate::facts::ReportFacts;
use crate::facts::WorkerFacts;

/// The scheduler of the shards that one daemon owns.
#[derive(Debug)]
pub struct Sched {
    cfg: Config,
    document: Option<Document>,
    workers: Map<WorkerId, WorkerFacts>,
    tasks: Map<TaskId, Queued>,
    peers: Map<DaemonId, PeerSummary>,
    recent: VecDeque<Recent>,
}

impl Sched {
    /// Makes a scheduler that breaks ties by `seed`; it decides nothing before it has a document.
    #[must_use]
    pub fn new(_seed: u64, cfg: Config) -> Self {
        Self {
            cfg,
            document: None,
            workers: Map::default(),
            tasks: Map::default(),
            peers: Map::default(),
            recent: VecDeque::with_capacity(cfg.recent),
        }
    }

    /// Puts a document into force.
    pub fn set_document(&mut self, document: &Document) {
        self.document = Some(document.clone());
    }

    /// Adds a worker or replaces what is known of it; its tasks stay.
    pub fn upsert_worker(&mut self, facts: WorkerFacts) {
        self.workers.insert(facts.id.clone(), facts);
    }

    /// Forgets a worker; tasks still assigned to it stay so until their end is told.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Adds a task that waits, or puts one that ran or was taken over back into the queue.
    pub fn enqueue(&mut self, queued: Queued) {
        self.tasks.insert(queued.task.clone(), queued);
    }

    /// Confirms that a known task is assigned to a worker, after a start of ours or at a takeover.
    pub fn assigned(&mut self, _task: &TaskId, _worker: &WorkerId, _reserved: Size, _now: Mono) {}

    /// Says that a decision on a task could not be carried out: a start goes back into the queue, an
    /// eviction or a move is forgotten.
    pub fn abandoned(&mut self, _task: &TaskId, _now: Mono) {}

    /// Ends a run and forgets the task; one that goes on is queued again by [`Self::enqueue`].
    pub fn ended(&mut self, task: &TaskId, _end: End, _now: Mono) {
        self.tasks.remove(task);
    }

    /// Forgets a task that was cancelled or moved away, whether it waited or ran.
    pub fn cancelled(&mut self, task: &TaskId) {
        self.tasks.remove(task);
    }

    /// Takes in a worker's report; one that is older than a former one is dropped.
    pub fn report(&mut self, _worker: &WorkerId, _report: &ReportFacts, _now: Mono) {}

    /// Replaces what is known of other daemons; absent ones are forgotten.
    pub fn set_peers(&mut self, peers: Vec<PeerSummary>) {
        self.peers = peers
            .into_iter()
            .map(|peer| (peer.daemon.clone(), peer))
            .collect();
    }

    /// Returns this daemon's own summary for the others.
    #[must_use]
    pub fn summary(&self, daemon: &DaemonId) -> PeerSummary {
        PeerSummary {
            daemon: daemon.clone(),
            teams: Vec::new(),
            capacity: Size::ZERO,
            shards: Vec::new(),
        }
    }

    /// Decides what to start, throttle, evict, move or quarantine at `now`.
    pub fn decide(&mut self, _now: Mono, _budget: Budget) -> Vec<Decision> {
        Vec::new()
    }

    /// Returns the settings.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns a bounded snapshot for the operators' dump.
    #[must_use]
    pub fn dump(&self) -> Dump {
        Dump {
            queued: self.tasks.len(),
            running: 0,
            unrunnable: 0,
            workers: Vec::new(),
            teams: Vec::new(),
            classes: Vec::new(),
            pairs: Vec::new(),
            refused: Vec::new(),
            recent: self.recent.iter().cloned().collect(),
        }
    }

    /// Returns the last decisions, the newest last.
    pub fn recent(&self) -> impl Iterator<Item = &Recent> {
        self.recent.iter()
    }
}
