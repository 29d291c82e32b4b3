//! The scheduler's state and the events that change it.

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

use crate::book::Book;
use crate::config::Config;
use crate::decision::Decision;
use crate::decision::Recent;
use crate::decision::Why;
use crate::facts::End;
use crate::facts::PeerSummary;
use crate::facts::Queued;
use crate::facts::WorkerFacts;
use crate::health::FailedJobs;
use crate::interfere::Interference;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::place::Placer;
use crate::policy::Policy;
use crate::queue::LaneId;
use crate::queue::Queue;
use crate::sizes::Peak;
use crate::task::Phase;
use crate::task::Run;
use crate::task::Task;

/// How long a task waits after its first failure; doubled after each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// The longest wait after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The scheduler of the shards that one daemon owns.
#[derive(Debug)]
pub struct Sched {
    pub(crate) cfg: Config,
    pub(crate) rng: SmallRng,
    pub(crate) now: Mono,
    pub(crate) has_document: bool,
    pub(crate) policy: Policy,
    pub(crate) book: Book,
    pub(crate) queue: Queue,
    pub(crate) placer: Placer,
    pub(crate) interference: Interference,
    pub(crate) jobs: FailedJobs,
    /// Workers with a fresh report since the last decision.
    pub(crate) reported: Vec<WorkerKey>,
    /// Workers that are kept for a task.
    pub(crate) holds: Vec<WorkerKey>,
    /// Workers on which a job failed since the last decision.
    pub(crate) suspects: Vec<WorkerKey>,
    /// Quarantined workers.
    pub(crate) quarantined: Vec<WorkerKey>,
    /// Tasks that no worker could ever hold, in the order in which they are looked at again.
    pub(crate) refused: VecDeque<TaskKey>,
    pub(crate) peers: BTreeMap<DaemonId, PeerSummary>,
    pub(crate) recent: VecDeque<Recent>,
}

impl Sched {
    /// Makes a scheduler that breaks ties by `seed`; it decides nothing before it has a document.
    #[must_use]
    pub fn new(seed: u64, cfg: Config) -> Self {
        let book = Book::default();
        Self {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            now: Mono::ZERO,
            has_document: false,
            policy: Policy::of(&book.sharing),
            book,
            queue: Queue::default(),
            placer: Placer::default(),
            interference: Interference::default(),
            jobs: FailedJobs::default(),
            reported: Vec::new(),
            holds: Vec::new(),
            suspects: Vec::new(),
            quarantined: Vec::new(),
            refused: VecDeque::new(),
            peers: BTreeMap::new(),
            recent: VecDeque::with_capacity(cfg.recent),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.cfg
    }

    /// Puts a document into force.
    pub fn set_document(&mut self, document: &Document) {
        self.book.set_document(document);
        self.book.recount_all(None);
        self.policy = Policy::of(&self.book.sharing);
        self.has_document = true;
    }

    /// Adds a worker or replaces what is known of it; its tasks stay.
    pub fn upsert_worker(&mut self, facts: WorkerFacts) {
        self.book.upsert_worker(&facts);
    }

    /// Forgets a worker; tasks still assigned to it stay so until their end is told.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.book.remove_worker(worker);
    }

    /// Adds a task that waits, or puts one that ran or was taken over back into the queue.
    ///
    /// A task that is known to wait already keeps its place. One whose start is under way keeps its
    /// room there, because the start may yet take effect; [`Self::abandoned`] says that it has not.
    pub fn enqueue(&mut self, queued: Queued) {
        if let Some(key) = self.book.task_key(&queued.task) {
            let known = &self.book.tasks[key];
            let waits = known.run().is_none() && !matches!(known.phase, Phase::Moving);
            let is_starting = known.run().is_some_and(|run| !run.confirmed);
            if is_starting
                || waits && known.declared == queued.declared && known.failures == queued.failures
            {
                return;
            }
            self.forget(key);
        }
        let failures = queued.failures;
        let task = self.task_of(queued);
        let key = self.book.add_task(task);
        if failures == 0 {
            self.push(key, false);
        } else {
            let doublings = (failures - 1).min(10);
            let backoff = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
            self.queue.delay(key, self.now.after(backoff));
        }
    }

    fn task_of(&mut self, queued: Queued) -> Task {
        Task {
            team: self.book.intern_team(&queued.team),
            class: self.book.intern_class(&queued.class),
            id: queued.task,
            priority: queued.priority,
            declared: queued.declared,
            run_ms: queued.run_ms,
            checkpoint: queued.checkpoint,
            progress_ms: queued.progress_ms,
            failures: queued.failures,
            evictions: queued.evictions,
            submitted_at: queued.submitted_at,
            held: None,
            phase: Phase::Delayed,
        }
    }

    /// Confirms that a known task is assigned to a worker, after a start of ours or at a takeover.
    ///
    /// The table's word is taken as it stands, also for a worker that is not listed or that has
    /// less room; no further task then starts there until there is.
    pub fn assigned(&mut self, task: &TaskId, worker: &WorkerId, reserved: Size, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.book.task_key(task) else {
            return;
        };
        let worker = self.book.intern_worker(worker);
        let same = |run: &Run| run.worker == worker && run.reserved == reserved;
        if !self.book.tasks[key].run().is_some_and(same) {
            self.detach(key);
            self.book.reserve(key, worker, reserved, now);
        }
        if let Some(run) = self.book.tasks[key].run_mut() {
            run.confirmed = true;
        }
    }

    /// Says that a decision on a task could not be carried out: a start goes back into the queue, an
    /// eviction or a move is forgotten.
    pub fn abandoned(&mut self, task: &TaskId, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.book.task_key(task) else {
            return;
        };
        match &mut self.book.tasks[key].phase {
            Phase::Running(run) if run.confirmed => run.evicting = false,
            Phase::Running(_) | Phase::Moving => {
                self.detach(key);
                self.push(key, true);
            }
            Phase::Queued(_) | Phase::Delayed | Phase::Refused(_) => {}
        }
    }

    /// Ends a run and forgets the task; one that goes on is queued again by [`Self::enqueue`].
    pub fn ended(&mut self, task: &TaskId, end: End, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.book.task_key(task) else {
            return;
        };
        if let Some(run) = self.detach(key) {
            self.learn_sizes(key, &run, end, now);
            self.judge(key, &run, end, now);
        }
        if end != End::Failed {
            self.jobs.forget(task);
        }
        self.book.remove_task(key);
    }

    fn learn_sizes(&mut self, key: TaskKey, run: &Run, end: End, now: Mono) {
        if !self.cfg.learning {
            return;
        }
        let task = &self.book.tasks[key];
        let sizes = &mut self.book.classes[task.class].sizes;
        if run.sampled_at.is_none() && run.peak != Size::ZERO && end != End::Failed {
            sizes.record(&Peak {
                usage: run.peak,
                declared: task.declared,
                reserved: run.reserved,
            });
        }
        if end == End::Succeeded {
            sizes.record_run(model::time::millis(now.since(run.since)));
        }
    }

    /// Forgets a task that was cancelled or moved away and certainly runs nowhere any more.
    pub fn cancelled(&mut self, task: &TaskId) {
        if let Some(key) = self.book.task_key(task) {
            self.forget(key);
            self.jobs.forget(task);
        }
    }

    fn forget(&mut self, key: TaskKey) {
        if let Some(run) = self.detach(key) {
            self.drop_probe(key, &run);
        }
        self.book.remove_task(key);
    }

    /// Takes a task out of its lane or off its worker; its phase is then [`Phase::Delayed`].
    pub(crate) fn detach(&mut self, key: TaskKey) -> Option<Box<Run>> {
        self.drop_hold(key);
        let task = &mut self.book.tasks[key];
        if let Phase::Queued(lane) = task.phase {
            task.phase = Phase::Delayed;
            self.leave_lane(lane);
            return None;
        }
        if task.run().is_none() {
            task.phase = Phase::Delayed;
            return None;
        }
        self.book.release(key)
    }

    fn leave_lane(&mut self, lane: LaneKey) {
        let tasks = &self.book.tasks;
        let is_there = |key| waits_in(tasks.get(key), lane);
        if let Some(team) = self.queue.leave(lane, is_there) {
            let lanes = &mut self.book.teams[team].lanes;
            lanes.retain(|known| *known != lane);
        }
    }

    /// Puts a task into its lane.
    pub(crate) fn push(&mut self, key: TaskKey, first: bool) {
        let task = &self.book.tasks[key];
        let id = LaneId::of(task.team, task.class, task.priority, &task.declared);
        let (lane, is_new) = self.queue.push(id, key, first);
        if is_new {
            self.book.teams[task.team].lanes.push(lane);
        }
        self.book.tasks[key].phase = Phase::Queued(lane);
    }

    /// Returns the oldest task of a lane.
    pub(crate) fn head(&mut self, lane: LaneKey) -> Option<TaskKey> {
        let tasks = &self.book.tasks;
        self.queue.head(lane, |key| waits_in(tasks.get(key), lane))
    }

    /// Marks a task as being evicted.
    pub(crate) fn evict(&mut self, key: TaskKey, why: Why, out: &mut Vec<Decision>) {
        let task = &mut self.book.tasks[key];
        let id = task.id.clone();
        if let Some(run) = task.run_mut()
            && !run.evicting
        {
            run.evicting = true;
            out.push(Decision::Evict { task: id, why });
        }
    }

    /// Returns the last decisions, the newest last.
    pub fn recent(&self) -> impl Iterator<Item = &Recent> {
        self.recent.iter()
    }
}

/// Returns whether a task waits in this lane.
pub(crate) fn waits_in(task: Option<&Task>, lane: LaneKey) -> bool {
    task.is_some_and(|task| matches!(task.phase, Phase::Queued(at) if at == lane))
}
