//! The state of the model: daemons, workers, the table, and calls in flight.

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

use super::budget::BrokenRule;
use super::budget::Budget;
use super::step;
use super::step::Step;
use super::store::Store;
use crate::Action;
use crate::Event;
use crate::ShardOwner;
use crate::Timing;
use crate::agent::Agent;
use crate::claim;
use crate::claim::PriorOwners;
use crate::claim::ShardView;
use crate::owner::ListedWorker;
use crate::record::JobRow;
use crate::record::Owner;
use crate::record::Phase;
use crate::record::TaskRow;
use crate::record::TaskSpec;
use crate::record::key;

/// The duration of [`Step::Wait`]. Three of them exceed a worker's lease, six exceed all grants of
/// a prior owner.
pub(super) const WAIT: Duration = Duration::from_secs(8);
pub(super) const TIMING: Timing = Timing {
    worker_lease: Duration::from_secs(20),
    owner_store_timeout: Duration::from_secs(20),
};
pub(super) const TASKS: [&str; 2] = ["crest", "ice"];
pub(super) const WORKERS: [&str; 2] = ["w0", "w1"];
/// The capacity of each worker, which fits one task.
pub(super) const WORKER_CAPACITY: Size = Size::new(1000, 1024, 0);

/// A daemon and the calls that it waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) owner: Option<ShardOwner>,
    pub(super) incarnation: Incarnation,
    /// Transactions in flight.
    pub(super) commits: Vec<Txn>,
    /// Messages in flight, with the worker's index.
    pub(super) messages: Vec<(usize, WorkerMessage)>,
    pub(super) delayed_answers: Vec<DelayedAnswer>,
    pub(super) paused: bool,
    pub(super) store_unreachable: bool,
}

/// An answer that a daemon has not received yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct DelayedAnswer {
    pub(super) worker: usize,
    pub(super) sequence: u64,
    pub(super) answer: Result<WorkerReport, WorkerError>,
}

/// A state of the model, with the observations that the invariants need.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    pub(super) now: Mono,
    pub(super) store: Arc<Store>,
    pub(super) daemons: [Arc<Daemon>; 2],
    pub(super) agents: [Arc<Agent>; 2],
    /// The incarnation of each worker's agent.
    pub(super) incarnations: [u32; 2],
    /// Copies of messages that may still arrive, with the worker's index.
    pub(super) late_messages: Vec<(usize, WorkerMessage)>,
    /// Copies of transactions that may still arrive.
    pub(super) late_commits: Vec<Txn>,
    /// Pairs of a daemon and a worker that cannot reach each other.
    pub(super) partitions: BTreeSet<(usize, usize)>,
    /// The worker whose host has failed permanently.
    pub(super) dead: Option<usize>,
    pub(super) budget: Budget,
    /// How often each attempt was started.
    pub(super) started: BTreeMap<(TaskId, Attempt), u8>,
    /// The last checkpoint that each task stored.
    pub(super) saved_checkpoints: BTreeMap<TaskId, CheckpointId>,
    pub(super) evict_requests: u32,
    /// The first violated invariant.
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
        size: WORKER_CAPACITY,
        run_ms: None,
        max_failures: 3,
    }
}

impl ModelState {
    /// Creates the initial state: a shard with an owner, reachable workers, and two tasks whose
    /// grants are in flight.
    pub(super) fn new(budget: Budget, broken: BrokenRule) -> Self {
        let daemon = Arc::new(Daemon {
            owner: None,
            incarnation: Incarnation(0),
            commits: Vec::new(),
            messages: Vec::new(),
            delayed_answers: Vec::new(),
            paused: false,
            store_unreachable: false,
        });
        let mut state = Self {
            now: Mono(1_000_000),
            store: Arc::default(),
            daemons: [daemon.clone(), daemon],
            agents: [1, 1].map(|incarnation| Arc::new(Agent::new(incarnation))),
            incarnations: [1, 1],
            late_messages: Vec::new(),
            late_commits: Vec::new(),
            partitions: BTreeSet::new(),
            dead: None,
            budget,
            started: BTreeMap::new(),
            saved_checkpoints: BTreeMap::new(),
            evict_requests: 0,
            violation: None,
        };
        state.take_over(0, broken);
        state.deliver_all_messages(broken);
        for task in TASKS {
            state.handle_event(0, Event::Submit(spec(task)));
        }
        for _ in TASKS {
            state.deliver_commit(0, broken);
        }
        state
    }

    pub(super) fn daemon(&mut self, daemon: usize) -> &mut Daemon {
        Arc::make_mut(&mut self.daemons[daemon])
    }

    /// Returns the state after the given steps, which are not charged to the budget.
    pub(super) fn after(mut self, steps: &[Step], broken: BrokenRule) -> Self {
        let budget = self.budget;
        for step in steps {
            self = step::apply(&self, step, broken);
        }
        self.budget = budget;
        self
    }

    /// Lets a daemon claim the shard and load its rows.
    pub(super) fn take_over(&mut self, daemon: usize, broken: BrokenRule) {
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
        let mut claim = claim::claim_shard(&view, &me);
        assert_eq!(
            Arc::make_mut(&mut self.store).commit(&claim.txn),
            TxnOutcome::Committed
        );
        if broken == BrokenRule::TakeoverWithoutWaiting {
            claim.ownership.prior_owners = PriorOwners::Inactive;
        }
        let owner = ShardOwner::new(claim.ownership, TIMING, self.now, self.now);
        self.daemon(daemon).owner = Some(owner);
        let rows = self.store.scan(&key::tasks(&shard()));
        self.handle_event(daemon, Event::Loaded(rows));
        let list = WORKERS.map(|worker| ListedWorker {
            worker: WorkerId::from(worker),
            capacity: WORKER_CAPACITY,
            state: HostState::Live,
        });
        self.handle_event(daemon, Event::WorkersListed(list.to_vec()));
    }

    /// Sends an event to a daemon's owner, then lets its scheduler assign queued tasks.
    pub(super) fn handle_event(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        let Some(owner) = &mut self.daemon(daemon).owner else {
            return;
        };
        let mut actions = owner.handle(event, now);
        for task in TASKS.map(TaskId::from) {
            let is_queued = |row: &TaskRow| row.phase == Phase::Queued;
            if !owner.task(&task).is_some_and(is_queued) || owner.is_in_doubt(&task) {
                continue;
            }
            let mut workers = WORKERS.map(WorkerId::from).into_iter();
            if let Some(worker) =
                workers.find(|worker| WORKER_CAPACITY.fits(&owner.free(worker, now)))
            {
                let reserved = WORKER_CAPACITY;
                let start = Event::Start {
                    task,
                    worker,
                    reserved,
                };
                actions.extend(owner.handle(start, now));
            }
        }
        for action in actions {
            self.perform(daemon, action);
        }
    }

    fn perform(&mut self, daemon: usize, action: Action) {
        let daemon = self.daemon(daemon);
        match action {
            Action::Commit(txn) => daemon.commits.push(txn),
            Action::Send { worker, message } => {
                let index = WORKERS.iter().position(|name| *name == worker.as_str());
                daemon
                    .messages
                    .push((index.expect("the worker exists"), message));
                daemon.messages.sort_by_key(|(worker, _)| *worker);
            }
            Action::Notify(_) => {}
            Action::StepDown(_) => daemon.owner = None,
        }
    }

    /// Executes a transaction and checks the rows that it changed.
    pub(super) fn commit(&mut self, txn: &Txn, broken: BrokenRule) -> TxnOutcome {
        let before = TASKS.map(|task| self.row(task));
        let mut txn = txn.clone();
        if broken == BrokenRule::RowsUnchecked {
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

    pub(super) fn deliver_commit(&mut self, daemon: usize, broken: BrokenRule) {
        let txn = self.daemon(daemon).commits.remove(0);
        let settled = self.commit(&txn, broken);
        self.handle_event(
            daemon,
            Event::Settled {
                op: txn.op,
                settled,
            },
        );
    }

    pub(super) fn evict(&mut self, daemon: usize, task: &str) {
        self.evict_requests += 1;
        self.handle_event(daemon, Event::Evict(TaskId::from(task)));
    }

    /// Advances the time by [`WAIT`]. Each running daemon that reaches the table reads the shard's
    /// row.
    pub(super) fn advance_time(&mut self) {
        self.now = self.now.after(WAIT);
        for agent in &mut self.agents {
            Arc::make_mut(agent).expire_lease(self.now);
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].paused {
                continue;
            }
            if self.daemons[daemon].store_unreachable {
                self.handle_event(daemon, Event::Tick);
            } else {
                self.read_shard(daemon);
            }
        }
    }

    pub(super) fn read_shard(&mut self, daemon: usize) {
        let row = self.store.read(&key::shard(&shard())).cloned();
        let sent = self.now;
        self.handle_event(daemon, Event::ShardRow { row, sent });
    }
}
