//! The state of the model: two hosts that may own the executors, two executors, the store, and what is
//! under way. There is one job of two steps, each of one task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use job::fleet::Executor as KnownExecutor;
use job::fleet::ExecutorKey;
use job::id::JobId;
use job::id::TaskId;
use job::record::JobRecord;
use job::scheduler::Batch;
use job::scheduler::Command;
use job::scheduler::Report;
use job::scheduler::Scheduler;
use job::scheduler::Submission;
use job::scheduler::TaskKey;
use job::scheduler::Timing;
use job::spec::JobSpec;
use job::spec::StepSpec;
use job::task::RunNumber;
use model::Mono;

use super::executor::Executor;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;
use crate::fixture::QUEUE;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// One outlasts a lease, three what an earlier owner may have granted.
pub const WAIT: Duration = Duration::from_secs(6);
/// This outlasts every pause of an owner and no lease.
pub const PAUSE: Duration = Duration::from_millis(500);
/// How long an owner goes on without the store, as the crate `dispatch` has it.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a task may fail.
pub const ATTEMPTS: u32 = 2;

/// How often each kind of fault may still come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Orders that are lost, or carried out late, or whose answer is lost.
    pub network: u32,
    /// Looks whose answer is lost or overtaken.
    pub polls: u32,
    /// Claims of the other host while the owner lives or not.
    pub takeovers: u32,
    /// Owners that die.
    pub crashes: u32,
    /// Transactions that are carried out late.
    pub late_writes: u32,
    /// Executors that start anew.
    pub restarts: u32,
    /// Executors that cannot be reached from some moment on.
    pub disconnects: u32,
    /// Tasks that fail.
    pub failures: u32,
    /// Cancellations.
    pub cancels: u32,
    /// Spans of [`PAUSE`] that pass.
    pub pauses: u32,
    /// Spans of [`WAIT`] that pass.
    pub waits: u32,
}

/// A rule that a world goes against, to show that the model would notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// None.
    None,
    /// Orders go out before the assignment is stored.
    StartBeforeStore,
    /// Ends are acknowledged before they are stored.
    AcknowledgeBeforeStore,
    /// A successor does not wait for leases that the owner before it granted.
    IgnoreLeases,
    /// A successor takes an order that it does not find for one that cannot come any more.
    IgnorePreviousSender,
    /// Executors obey any epoch.
    IgnoreEpochs,
    /// The store does not look at the version of the owner's row.
    IgnoreVersions,
    /// An order without an answer counts as refused.
    TreatUnansweredAsRefused,
}

/// What the store holds.
#[derive(Clone, Debug, Default, Hash)]
pub struct Store {
    /// The owner's row: its epoch and the number of its last transaction.
    pub owner: (u64, u64),
    /// The record of the job.
    pub record: Option<Vec<u8>>,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
}

/// A transaction that was sent.
#[derive(Clone, Debug)]
pub struct Write {
    /// The owner's row that it expects.
    pub expects: (u64, u64),
    /// The record that it writes.
    pub record: Option<Vec<u8>>,
    /// What it releases.
    pub batch: Batch,
    /// Whether it has taken effect.
    pub applied: bool,
    /// When it was sent.
    pub sent: Mono,
}

/// A transaction that may still be carried out.
#[derive(Clone, Debug)]
pub struct LateWrite {
    /// The owner's row that it expects.
    pub expects: (u64, u64),
    /// The record that it writes.
    pub record: Option<Vec<u8>>,
}

/// A host that owns the executors, or thinks so.
#[derive(Clone, Debug)]
pub struct Owner {
    pub epoch: u64,
    pub scheduler: Scheduler,
    /// The owner's row as its last transaction left it.
    pub row: (u64, u64),
    pub confirmed: Mono,
    pub write: Option<Write>,
    /// Orders that wait to be sent or sent again.
    pub commands: Vec<Command>,
    /// A report that has not arrived yet: from whom, when it was asked for, and up to which number ends
    /// were acknowledged with it.
    pub report: Option<(usize, Report, Mono, u64)>,
    /// Until when the owner before may have granted leases, as was taken at the takeover.
    pub assumed: Option<Mono>,
    pub cancel_received: bool,
}

/// An order that may still arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct LateCall {
    pub epoch: u64,
    pub executor: usize,
    pub task: TaskId,
    pub run: RunNumber,
    /// The end of the lease that it grants, on the clock that the owner knew; none if it is an order to stop.
    pub deadline_ms: Option<u64>,
}

/// Everything.
#[derive(Clone, Debug)]
pub struct State {
    pub now: Mono,
    pub store: Store,
    pub owners: [Option<Owner>; 2],
    pub executors: [Executor; 2],
    pub late_calls: Vec<LateCall>,
    pub late_writes: Vec<LateWrite>,
    pub budget: Budget,
    pub mutation: Mutation,
    /// Tasks that have ended well, by whether that end was acknowledged.
    pub done: BTreeMap<TaskId, bool>,
    /// Failed ends of each task that were acknowledged.
    pub failed: BTreeMap<TaskId, u32>,
    /// Runs that were started, so that a run that is there is not counted again.
    pub started: BTreeSet<(usize, u64, TaskId, RunNumber)>,
    pub violation: Option<String>,
}

pub fn job() -> JobId {
    JobId::parse("00000000000000aa").expect("a name")
}

pub fn task(step: u32) -> TaskId {
    TaskId {
        job: job(),
        occurrence: 0,
        step,
        index: 0,
    }
}

fn submission() -> Submission {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1, 1_000)
    };
    Submission {
        id: job(),
        queue: QUEUE.into(),
        age_ms: 0,
        spec: Arc::new(JobSpec {
            payload: "payload".into(),
            steps: vec![step(1, 1, 1_000), second],
            repeat: None,
        }),
        row_version: 1,
    }
}

impl State {
    /// Makes a world whose job is accepted and that nobody owns yet.
    pub fn new(budget: Budget, mutation: Mutation) -> Self {
        let mut state = Self {
            now: Mono(10_000),
            store: Store::default(),
            owners: [None, None],
            executors: [Executor::new(), Executor::new()],
            late_calls: Vec::new(),
            late_writes: Vec::new(),
            budget,
            mutation,
            done: BTreeMap::new(),
            failed: BTreeMap::new(),
            started: BTreeSet::new(),
            violation: None,
        };
        state.take_over(0);
        state
    }

    /// Has a host claim the executors and read what is stored.
    pub fn take_over(&mut self, host: usize) {
        let row = (self.store.owner.0 + 1, self.store.owner.1 + 1);
        self.store.owner = row;
        let timing = Timing {
            lease: LEASE,
            max_lease: MAX_LEASE,
            stop_timeout: Duration::from_millis(900),
        };
        let mut scheduler = Scheduler::new(plan(ATTEMPTS), timing);
        match &self.store.record {
            Some(row) => {
                let record: JobRecord = serde_json::from_slice(row).expect("a record");
                scheduler.restore(submission(), &record, self.now);
            }
            None => {
                scheduler.submit(submission(), self.now);
            }
        }
        if self.store.cancelled {
            scheduler.cancel(job());
        }
        let lease = LEASE + LEASE / 49 + Duration::from_millis(300);
        let assumed = match self.mutation {
            Mutation::IgnoreLeases => self.now,
            _ => self.now.after(STORE_TIMEOUT).after(lease),
        };
        let sends_until = match self.mutation {
            Mutation::IgnorePreviousSender => self.now,
            _ => self.now.after(STORE_TIMEOUT),
        };
        scheduler.inherit_leases(sends_until, assumed);
        self.owners[host] = Some(Owner {
            epoch: row.0,
            scheduler,
            row,
            confirmed: self.now,
            write: None,
            commands: Vec::new(),
            report: None,
            assumed: (row.0 > 1).then_some(assumed),
            cancel_received: self.store.cancelled,
        });
        self.list(host);
    }

    /// Has an owner read the list of executors.
    pub fn list(&mut self, host: usize) {
        let listings = (0..2)
            .map(|at| {
                let mut listing = listing(at + 1);
                listing.started_unix_ms = self.executors[at].started_unix_ms;
                (listing, self.executors[at].clock_ms(self.now))
            })
            .collect();
        if let Some(owner) = &mut self.owners[host] {
            owner.scheduler.update_executors(listings, self.now);
        }
        self.settle(host);
    }

    /// Lets everything follow that an event has made possible.
    pub fn settle(&mut self, host: usize) {
        let now = self.now;
        let mutation = self.mutation;
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        owner.scheduler.place(now, 0);
        if mutation == Mutation::StartBeforeStore {
            let batch = owner.scheduler.take_batch(10);
            owner.scheduler.batch_stored(batch, now);
        }
        // The same order twice is two tries of it.
        for command in owner.scheduler.take_commands() {
            if !owner.commands.contains(&command) {
                owner.commands.push(command);
            }
        }
        owner.scheduler.take_events();
    }

    /// Notes a rule that is broken.
    pub fn record_violation(&mut self, rule: String) {
        self.violation.get_or_insert(rule);
    }

    /// Returns a number that differs for states that differ.
    pub fn digest(&self) -> u64 {
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        self.now.hash(&mut hasher);
        self.store.hash(&mut hasher);
        self.budget.hash(&mut hasher);
        let rest = (
            &self.executors,
            &self.late_calls,
            &self.late_writes,
            &self.done,
            &self.failed,
            &self.started,
            &self.violation,
        );
        format!("{rest:?}").hash(&mut hasher);
        for owner in &self.owners {
            owner.as_ref().map(Owner::state_text).hash(&mut hasher);
        }
        hasher.finish()
    }
}

impl Owner {
    /// Returns all that decides what it does next, in an order that does not depend on how its maps
    /// are laid out.
    fn state_text(&self) -> String {
        let job = self
            .scheduler
            .find(job())
            .and_then(|key| self.scheduler.job(key));
        let executors: Vec<(KnownExecutor, Vec<TaskKey>)> = self
            .scheduler
            .fleet
            .iter()
            .map(|(_, executor)| {
                let mut tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
                tasks.sort();
                let mut executor = executor.clone();
                executor.tasks.clear();
                (executor, tasks)
            })
            .collect();
        let scheduler = (job, executors, self.scheduler.state(super::state::job()));
        let own = (
            self.epoch,
            self.row,
            self.confirmed,
            &self.write,
            &self.commands,
        );
        let rest = (&self.report, self.assumed, self.cancel_received);
        format!(
            "{scheduler:?} {own:?} {rest:?} {}",
            self.scheduler.has_changes()
        )
    }

    /// Returns the number of an executor.
    pub fn number(&self, key: ExecutorKey) -> usize {
        let id = self
            .scheduler
            .fleet
            .get(key)
            .map(|executor| executor.listing.id.clone());
        usize::from(id.as_deref() == Some("e2"))
    }

    /// Returns the key of an executor.
    pub fn key(&self, number: usize) -> ExecutorKey {
        self.scheduler
            .fleet
            .find(&format!("e{}", number + 1))
            .expect("a listed executor")
    }
}
