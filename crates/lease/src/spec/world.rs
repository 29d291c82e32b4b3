//! The state of the specification: daemons, workers, the table and what is under way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Priority;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::Incarnation;
use model::id::RowVersion;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use model::place::Place;
use plat::commit::TxnOutcome;
use plat::hosts::HostState;
use plat::table::Txn;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use super::budget::Broken;
use super::budget::Budget;
use super::step;
use super::step::Step;
use super::store::Store;
use crate::Action;
use crate::Event;
use crate::ShardOwner;
use crate::Timing;
use crate::agent::Agent;
use crate::agent::Effect;
use crate::claim;
use crate::claim::Prior;
use crate::claim::ShardView;
use crate::owner::ListedWorker;
use crate::record::JobRow;
use crate::record::Owner;
use crate::record::Phase;
use crate::record::TaskRow;
use crate::record::TaskSpec;
use crate::record::key;

/// Three of these outlast a worker's lease, six the grants of an earlier owner.
pub(super) const WAIT: Duration = Duration::from_secs(8);
pub(super) const TIMING: Timing = Timing {
    worker_lease: Duration::from_secs(20),
    owner_without_store: Duration::from_secs(20),
};
pub(super) const TASKS: [&str; 2] = ["crest", "ice"];
pub(super) const WORKERS: [&str; 2] = ["w0", "w1"];
/// Each worker holds one task.
pub(super) const ROOM: Size = Size::new(1000, 1024, 0);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) owner: Option<ShardOwner>,
    pub(super) incarnation: Incarnation,
    pub(super) commits: Vec<Txn>,
    pub(super) messages: Vec<(usize, WorkerMessage)>,
    pub(super) held: Vec<HeldAnswer>,
    pub(super) paused: bool,
    pub(super) store_away: bool,
}

/// An answer that a daemon has not read yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldAnswer {
    pub(super) worker: usize,
    pub(super) sequence: u64,
    pub(super) answer: Result<WorkerReport, WorkerError>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) now: Mono,
    pub(super) store: Arc<Store>,
    pub(super) daemons: [Arc<Daemon>; 2],
    pub(super) agents: [Arc<Agent>; 2],
    pub(super) lives: [u32; 2],
    pub(super) late_messages: Vec<(usize, WorkerMessage)>,
    pub(super) late_commits: Vec<Txn>,
    /// Daemons and workers that cannot reach each other.
    pub(super) cuts: BTreeSet<(usize, usize)>,
    /// A worker whose host has died for good.
    pub(super) dead: Option<usize>,
    pub(super) budget: Budget,
    pub(super) started: BTreeMap<(TaskId, Attempt), u8>,
    pub(super) saved: BTreeMap<TaskId, CheckpointId>,
    pub(super) evict_requests: u32,
    pub(super) violation: Option<String>,
}

pub(super) fn shard() -> ShardId {
    ShardId::from("rack")
}

fn spec(task: &str) -> TaskSpec {
    TaskSpec {
        task: TaskId::from(task),
        team: "hydro".into(),
        class: "study".into(),
        priority: Priority::Normal,
        size: ROOM,
        run_ms: None,
        max_failures: 3,
    }
}

impl World {
    /// A shard with an owner, reachable workers and two tasks whose grants are being written.
    pub(super) fn new(budget: Budget, broken: Broken) -> Self {
        let daemon = Arc::new(Daemon {
            owner: None,
            incarnation: Incarnation(0),
            commits: Vec::new(),
            messages: Vec::new(),
            held: Vec::new(),
            paused: false,
            store_away: false,
        });
        let mut world = Self {
            now: Mono(1_000_000),
            store: Arc::default(),
            daemons: [daemon.clone(), daemon],
            agents: [1, 1].map(|life| Arc::new(Agent::new(life))),
            lives: [1, 1],
            late_messages: Vec::new(),
            late_commits: Vec::new(),
            cuts: BTreeSet::new(),
            dead: None,
            budget,
            started: BTreeMap::new(),
            saved: BTreeMap::new(),
            evict_requests: 0,
            violation: None,
        };
        world.take_over(0, broken);
        world.settle_messages(broken);
        for task in TASKS {
            world.tell(0, Event::Submit(spec(task)));
        }
        for _ in TASKS {
            world.deliver_commit(0, broken);
        }
        world
    }

    pub(super) fn daemon(&mut self, daemon: usize) -> &mut Daemon {
        Arc::make_mut(&mut self.daemons[daemon])
    }

    fn agent(&mut self, worker: usize) -> &mut Agent {
        Arc::make_mut(&mut self.agents[worker])
    }

    fn settle_messages(&mut self, broken: Broken) {
        while let Some((worker, _)) = self.daemons[0].messages.first() {
            self.deliver_message(0, *worker, broken);
        }
    }

    /// The state after some steps, which take nothing from the budget.
    pub(super) fn after(mut self, steps: &[Step], broken: Broken) -> Self {
        let budget = self.budget;
        for step in steps {
            self = step::take(&self, step, broken);
        }
        self.budget = budget;
        self
    }

    /// A daemon takes the shard and reads its rows.
    pub(super) fn take_over(&mut self, daemon: usize, broken: Broken) {
        let incarnation = self.daemons[daemon].incarnation.next();
        self.daemon(daemon).incarnation = incarnation;
        let me = Owner {
            daemon: format!("d{daemon}").into(),
            incarnation,
        };
        let shard_key = key::shard(&shard());
        let row = self.store.read(&shard_key);
        let view = ShardView {
            shard: shard(),
            place: Place::new("quebec-est", "rimouski"),
            version: row.map_or(RowVersion(0), |row| row.version),
            row: self.store.parsed(&shard_key),
        };
        let mut claim = claim::take(&view, &me);
        assert_eq!(
            Arc::make_mut(&mut self.store).commit(&claim.txn),
            TxnOutcome::Committed
        );
        if broken == Broken::TakeoverWithoutWaiting {
            claim.claimed.prior = Prior::Settled;
        }
        let owner = ShardOwner::new(claim.claimed, TIMING, self.now, self.now);
        self.daemon(daemon).owner = Some(owner);
        let rows = self.store.scan(&key::tasks(&shard()));
        self.tell(daemon, Event::Loaded(rows));
        let list = WORKERS.map(|worker| ListedWorker {
            worker: WorkerId::from(worker),
            capacity: ROOM,
            state: HostState::Live,
        });
        self.tell(daemon, Event::Listed(list.to_vec()));
    }

    /// Tells a daemon's owner of an event, then lets its scheduler place what waits.
    pub(super) fn tell(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        let Some(owner) = &mut self.daemon(daemon).owner else {
            return;
        };
        let mut actions = owner.handle(event, now);
        for task in TASKS.map(TaskId::from) {
            let waits = |row: &TaskRow| row.phase == Phase::Queued;
            if !owner.task(&task).is_some_and(waits) || owner.is_in_doubt(&task) {
                continue;
            }
            let mut workers = WORKERS.map(WorkerId::from).into_iter();
            if let Some(worker) = workers.find(|worker| ROOM.fits(&owner.free(worker, now))) {
                let reserved = ROOM;
                let start = Event::Start {
                    task,
                    worker,
                    reserved,
                };
                actions.extend(owner.handle(start, now));
            }
        }
        for action in actions {
            self.act(daemon, action);
        }
    }

    fn act(&mut self, daemon: usize, action: Action) {
        let daemon = self.daemon(daemon);
        match action {
            Action::Commit(txn) => daemon.commits.push(txn),
            Action::Send { worker, message } => {
                let index = WORKERS.iter().position(|name| *name == worker.as_str());
                daemon
                    .messages
                    .push((index.expect("a known worker"), message));
                daemon.messages.sort_by_key(|(worker, _)| *worker);
            }
            Action::Notify(_) => {}
            Action::StepDown(_) => daemon.owner = None,
        }
    }

    /// Carries out a transaction and checks what it changed.
    pub(super) fn commit(&mut self, txn: &Txn, broken: Broken) -> TxnOutcome {
        let before = TASKS.map(|task| self.row(task));
        let mut txn = txn.clone();
        if broken == Broken::RowsUnchecked {
            txn.checks.retain(|check| !check.key.starts_with("task/"));
        }
        let settled = Arc::make_mut(&mut self.store).commit(&txn);
        for (task, before) in TASKS.into_iter().zip(before) {
            self.check_row(task, before);
        }
        settled
    }

    pub(super) fn row(&self, task: &str) -> Option<TaskRow> {
        self.store.parsed(&key::task(&shard(), &TaskId::from(task)))
    }

    pub(super) fn job(&self, task: &str) -> Option<JobRow> {
        self.store.parsed(&key::job(&TaskId::from(task)))
    }

    pub(super) fn deliver_commit(&mut self, daemon: usize, broken: Broken) {
        let txn = self.daemon(daemon).commits.remove(0);
        let settled = self.commit(&txn, broken);
        self.tell(
            daemon,
            Event::Settled {
                op: txn.op,
                settled,
            },
        );
    }

    pub(super) fn take_message(&mut self, daemon: usize, worker: usize) -> WorkerMessage {
        let messages = &mut self.daemon(daemon).messages;
        let mut queue = messages.iter();
        let index = queue.position(|(to, _)| *to == worker);
        messages.remove(index.expect("a message under way")).1
    }

    pub(super) fn deliver_message(&mut self, daemon: usize, worker: usize, broken: Broken) {
        let message = self.take_message(daemon, worker);
        let answer = self.receive(worker, &message, broken);
        self.answer(daemon, worker, message.sequence, answer);
    }

    pub(super) fn answer(
        &mut self,
        daemon: usize,
        worker: usize,
        sequence: u64,
        answer: Result<WorkerReport, WorkerError>,
    ) {
        let event = Event::Answer {
            worker: WorkerId::from(WORKERS[worker]),
            sequence,
            answer,
        };
        self.tell(daemon, event);
    }

    /// A worker's agent receives a message.
    pub(super) fn receive(
        &mut self,
        worker: usize,
        message: &WorkerMessage,
        broken: Broken,
    ) -> Result<WorkerReport, WorkerError> {
        let now = self.now;
        let mut seen = message.clone();
        match broken {
            Broken::EpochUnchecked => {
                let obeyed = self.agents[worker].epoch();
                seen.epoch = seen.epoch.max(obeyed);
                seen.sequence = self.agents[worker].last_message() + 1;
            }
            Broken::LeaseFromReceipt => {
                let probe = WorkerMessage {
                    sequence: 0,
                    commands: Vec::new(),
                    ..message.clone()
                };
                let _ = self.agent(worker).handle(&probe, now);
                seen.last_report = self.agents[worker].last_report();
            }
            Broken::MessagesUnordered => seen.sequence = self.agents[worker].last_message() + 1,
            _ => {}
        }
        let (mut answer, effects) = self.agent(worker).handle(&seen, now);
        if let (Broken::EpochUnchecked, Ok(report)) = (broken, &mut answer) {
            report.epoch = message.epoch;
        }
        self.carry_out(worker, effects);
        answer
    }

    fn carry_out(&mut self, worker: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { task, attempt } => {
                    let count = self.started.entry((task, attempt)).or_default();
                    *count += 1;
                    if *count > 1 {
                        self.violate("an attempt was started twice".to_owned());
                    }
                }
                Effect::Stop {
                    task,
                    attempt,
                    checkpoint,
                } => {
                    let name = CheckpointId::from(format!("{task}-{attempt}"));
                    let name = checkpoint.then_some(name);
                    if let Some(name) = &name {
                        self.saved.insert(task.clone(), name.clone());
                    }
                    self.agent(worker).stopped(&task, attempt, name);
                }
                Effect::Throttle { .. } => {}
            }
        }
        self.check_runs();
    }

    pub(super) fn evict(&mut self, daemon: usize, task: &str) {
        self.evict_requests += 1;
        self.tell(daemon, Event::Evict(TaskId::from(task)));
    }

    pub(super) fn finish(&mut self, worker: usize, task: &TaskId, attempt: Attempt) {
        self.agent(worker).ended(task, attempt, true);
    }

    /// The host of a worker is started again, with a new agent that runs nothing.
    pub(super) fn restart(&mut self, worker: usize) {
        self.lives[worker] += 1;
        self.agents[worker] = Arc::new(Agent::new(self.lives[worker]));
    }

    /// The host of a worker dies for good; the other one stays.
    pub(super) fn die(&mut self, worker: usize) {
        self.restart(worker);
        self.dead = Some(worker);
    }

    /// Whether a daemon's messages reach a worker.
    pub(super) fn reaches(&self, daemon: usize, worker: usize) -> bool {
        self.dead != Some(worker) && !self.cuts.contains(&(daemon, worker))
    }

    /// Time passes; each daemon that can reads the shard's row.
    pub(super) fn wait(&mut self) {
        self.now = self.now.after(WAIT);
        for agent in &mut self.agents {
            Arc::make_mut(agent).lapse(self.now);
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].paused {
                continue;
            }
            if self.daemons[daemon].store_away {
                self.tell(daemon, Event::Tick);
            } else {
                self.read_shard(daemon);
            }
        }
    }

    pub(super) fn read_shard(&mut self, daemon: usize) {
        let row = self.store.read(&key::shard(&shard())).cloned();
        let sent = self.now;
        self.tell(daemon, Event::ShardRow { row, sent });
    }
}
