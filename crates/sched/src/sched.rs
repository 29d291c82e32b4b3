//! The state of the scheduler and the events that change it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use conf::doc::Document;
use model::Mono;
use model::Size;
use model::id::DaemonId;
use model::id::TaskId;
use model::id::WorkerId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cluster::Cluster;
use crate::config::Config;
use crate::decision::Decision;
use crate::decision::Reason;
use crate::decision::RecentDecision;
use crate::health::FailedJobs;
use crate::input::PeerSummary;
use crate::input::QueuedTask;
use crate::input::RunOutcome;
use crate::input::WorkerSpec;
use crate::interference::InterferenceModel;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::placement::Placer;
use crate::policy::Policy;
use crate::queue::LaneId;
use crate::queue::Queue;
use crate::sizes::PeakUsage;
use crate::task::Phase;
use crate::task::Run;
use crate::task::Task;

/// The backoff after the first failure of a task; doubled after each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// The maximum backoff after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The scheduler of the shards that one daemon owns.
#[derive(Debug)]
pub struct Sched {
    pub(crate) cfg: Config,
    pub(crate) rng: SmallRng,
    pub(crate) now: Mono,
    pub(crate) has_document: bool,
    pub(crate) policy: Policy,
    pub(crate) cluster: Cluster,
    pub(crate) queue: Queue,
    pub(crate) placer: Placer,
    pub(crate) interference: InterferenceModel,
    pub(crate) failed_jobs: FailedJobs,
    /// Workers with a fresh report since the last round.
    pub(crate) reported: Vec<WorkerKey>,
    /// Workers that are reserved for a task.
    pub(crate) reserved_workers: Vec<WorkerKey>,
    /// Workers on which a job failed since the last round.
    pub(crate) suspects: Vec<WorkerKey>,
    /// Quarantined workers.
    pub(crate) quarantined: Vec<WorkerKey>,
    /// Tasks that no worker could ever run, in the order in which they are checked again.
    pub(crate) unrunnable: VecDeque<TaskKey>,
    pub(crate) peers: BTreeMap<DaemonId, PeerSummary>,
    pub(crate) recent_decisions: VecDeque<RecentDecision>,
}

impl Sched {
    /// Creates a scheduler that breaks ties by `seed`. It makes no decisions before it has a
    /// document.
    #[must_use]
    pub fn new(seed: u64, cfg: Config) -> Self {
        let cluster = Cluster::default();
        Self {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            now: Mono::ZERO,
            has_document: false,
            policy: Policy::from_sharing(&cluster.sharing),
            cluster,
            queue: Queue::default(),
            placer: Placer::default(),
            interference: InterferenceModel::default(),
            failed_jobs: FailedJobs::default(),
            reported: Vec::new(),
            reserved_workers: Vec::new(),
            suspects: Vec::new(),
            quarantined: Vec::new(),
            unrunnable: VecDeque::new(),
            peers: BTreeMap::new(),
            recent_decisions: VecDeque::with_capacity(cfg.max_recent),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Applies a document.
    pub fn set_document(&mut self, document: &Document) {
        self.cluster.set_document(document);
        self.cluster.recompute_workers(None);
        self.policy = Policy::from_sharing(&self.cluster.sharing);
        self.has_document = true;
    }

    /// Adds a worker or updates it; its tasks stay.
    pub fn upsert_worker(&mut self, spec: WorkerSpec) {
        self.cluster.upsert_worker(&spec);
    }

    /// Removes a worker; tasks that are assigned to it stay assigned until their end is reported.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.cluster.remove_worker(worker);
    }

    /// Adds a waiting task, or queues a known one again after a run or a takeover.
    ///
    /// A task that is already waiting keeps its place. A task whose start is in progress keeps its
    /// resources, because the start may still take effect; [`Self::decision_failed`] reports that
    /// it did not.
    pub fn enqueue(&mut self, queued: QueuedTask) {
        if let Some(key) = self.cluster.task_key(&queued.task) {
            let task = &self.cluster.tasks[key];
            let is_waiting = task.run().is_none() && !matches!(task.phase, Phase::Moving);
            let is_starting = task.run().is_some_and(|run| !run.confirmed);
            if is_starting
                || is_waiting
                    && task.declared == queued.declared
                    && task.failures == queued.failures
            {
                return;
            }
            self.remove_task(key);
        }
        let failures = queued.failures;
        let task = self.new_task(queued);
        let key = self.cluster.add_task(task);
        if failures == 0 {
            self.push_to_lane(key, false);
        } else {
            let doublings = (failures - 1).min(10);
            let backoff = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
            self.queue.delay(key, self.now.after(backoff));
        }
    }

    fn new_task(&mut self, queued: QueuedTask) -> Task {
        Task {
            team: self.cluster.intern_team(&queued.team),
            class: self.cluster.intern_class(&queued.class),
            id: queued.task,
            priority: queued.priority,
            declared: queued.declared,
            run_ms: queued.run_ms,
            checkpoint: queued.checkpoint,
            progress_ms: queued.progress_ms,
            failures: queued.failures,
            evictions: queued.evictions,
            submitted_at: queued.submitted_at,
            reserved_worker: None,
            phase: Phase::Delayed,
        }
    }

    /// Confirms that a known task is assigned to a worker, after a start decision or at a takeover.
    ///
    /// The assignment in the store is authoritative, even if the worker is not listed or has less
    /// capacity; no further task starts there until enough capacity is free.
    pub fn assigned(&mut self, task: &TaskId, worker: &WorkerId, reserved: Size, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.cluster.task_key(task) else {
            return;
        };
        let worker_key = self.cluster.intern_worker(worker);
        let is_same_run = |run: &Run| run.worker == worker_key && run.reserved == reserved;
        if !self.cluster.tasks[key].run().is_some_and(is_same_run) {
            if let Some(run) = self.detach(key)
                && run.worker != worker_key
            {
                self.cancel_probe(key, &run);
            }
            // An unlisted worker is forgotten with its last run, which may just have been detached.
            let worker_key = self.cluster.intern_worker(worker);
            self.cluster.reserve(key, worker_key, reserved, now);
        }
        if let Some(run) = self.cluster.tasks[key].run_mut() {
            run.confirmed = true;
        }
    }

    /// Reports that a decision on a task could not be carried out: a failed start or handover
    /// returns the task to the queue, a failed eviction leaves it running.
    pub fn decision_failed(&mut self, task: &TaskId, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.cluster.task_key(task) else {
            return;
        };
        match &mut self.cluster.tasks[key].phase {
            Phase::Running(run) if run.confirmed => run.evicting = false,
            Phase::Running(_) | Phase::Moving => {
                if let Some(run) = self.detach(key) {
                    self.cancel_probe(key, &run);
                }
                self.push_to_lane(key, true);
            }
            Phase::Queued(_) | Phase::Delayed | Phase::Unrunnable(_) => {}
        }
    }

    /// Reports the end of a run and removes the task; [`Self::enqueue`] queues a task that
    /// continues.
    pub fn ended(&mut self, task: &TaskId, outcome: RunOutcome, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.cluster.task_key(task) else {
            return;
        };
        if let Some(run) = self.detach(key) {
            self.learn_sizes(key, &run, outcome, now);
            self.record_run_outcome(key, &run, outcome, now);
        }
        if outcome != RunOutcome::Failed {
            self.failed_jobs.remove(task);
        }
        self.cluster.remove_task(key);
    }

    fn learn_sizes(&mut self, key: TaskKey, run: &Run, outcome: RunOutcome, now: Mono) {
        if !self.cfg.learning {
            return;
        }
        let task = &self.cluster.tasks[key];
        let sizes = &mut self.cluster.classes[task.class].sizes;
        if run.sampled_at.is_none() && run.peak != Size::ZERO && outcome != RunOutcome::Failed {
            sizes.record(&PeakUsage {
                usage: run.peak,
                declared: task.declared,
                reserved: run.reserved,
            });
        }
        if outcome == RunOutcome::Succeeded {
            sizes.record_run(model::time::millis(now.since(run.started_at)));
        }
    }

    /// Removes a task that was cancelled or handed off and is certain not to run any more.
    pub fn cancelled(&mut self, task: &TaskId) {
        if let Some(key) = self.cluster.task_key(task) {
            self.remove_task(key);
            self.failed_jobs.remove(task);
        }
    }

    fn remove_task(&mut self, key: TaskKey) {
        if let Some(run) = self.detach(key) {
            self.cancel_probe(key, &run);
        }
        self.cluster.remove_task(key);
    }

    /// Removes a task from its lane or its worker; its phase is then [`Phase::Delayed`].
    pub(crate) fn detach(&mut self, key: TaskKey) -> Option<Box<Run>> {
        self.release_reserved_worker(key);
        let task = &mut self.cluster.tasks[key];
        if let Phase::Queued(lane) = task.phase {
            task.phase = Phase::Delayed;
            self.remove_from_lane(lane);
            return None;
        }
        if task.run().is_none() {
            task.phase = Phase::Delayed;
            return None;
        }
        self.cluster.release(key)
    }

    fn remove_from_lane(&mut self, lane: LaneKey) {
        let tasks = &self.cluster.tasks;
        let is_queued = |key| is_queued_in(tasks.get(key), lane);
        if let Some(team) = self.queue.remove(lane, is_queued) {
            let lanes = &mut self.cluster.teams[team].lanes;
            lanes.retain(|known| *known != lane);
        }
    }

    /// Adds a task to its lane.
    pub(crate) fn push_to_lane(&mut self, key: TaskKey, at_front: bool) {
        let task = &self.cluster.tasks[key];
        let id = LaneId::new(task.team, task.class, task.priority, &task.declared);
        let (lane, is_new) = self.queue.push(id, key, at_front);
        if is_new {
            self.cluster.teams[task.team].lanes.push(lane);
        }
        self.cluster.tasks[key].phase = Phase::Queued(lane);
    }

    /// Returns the oldest task of a lane.
    pub(crate) fn head(&mut self, lane: LaneKey) -> Option<TaskKey> {
        let tasks = &self.cluster.tasks;
        self.queue
            .head(lane, |key| is_queued_in(tasks.get(key), lane))
    }

    /// Decides to evict a task, unless it is already being evicted.
    pub(crate) fn evict(&mut self, key: TaskKey, why: Reason, decisions: &mut Vec<Decision>) {
        let task = &mut self.cluster.tasks[key];
        let id = task.id.clone();
        if let Some(run) = task.run_mut()
            && !run.evicting
        {
            run.evicting = true;
            decisions.push(Decision::Evict { task: id, why });
        }
    }

    /// Returns the most recent decisions, the newest last.
    pub fn recent_decisions(&self) -> impl Iterator<Item = &RecentDecision> {
        self.recent_decisions.iter()
    }
}

/// Returns whether a task waits in this lane.
pub(crate) fn is_queued_in(task: Option<&Task>, lane: LaneKey) -> bool {
    task.is_some_and(|task| matches!(task.phase, Phase::Queued(at) if at == lane))
}
