//! The state of the model: two hosts that can own the executors, two executors, the store, and
//! messages in flight. There is one job of two steps with one task each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::JobId;
use job::id::TaskId;
use job::scheduler::Batch;
use job::scheduler::Command;
use job::scheduler::Report;
use job::scheduler::Scheduler;
use job::task::RunNumber;
use model::Mono;

use super::binding::Calls;
use super::binding::KnownClocks;
use super::executor::Executor;
use super::executor::Response;
use super::step::FAULTY;
use super::takeover::Takeover;

/// A long delay: one exceeds the lease, three exceed every lease that a previous owner may have
/// granted.
pub const WAIT: Duration = Duration::from_secs(6);
/// A short delay: it exceeds every backoff and cooldown that occurs in the model, but not a lease.
pub const PAUSE: Duration = Duration::from_millis(500);
/// How long an owner continues without the store, as in the crate `dispatch`.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of failures of a task.
pub const ATTEMPTS: u32 = 2;

/// How long an owner awaits the answer to a poll, as in the crate `dispatch`.
pub const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a member of a gang waits for the others.
pub const GANG_TIMEOUT: Duration = Duration::from_secs(2);

/// The job of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum World {
    /// Two steps of one task each; the second waits for the first.
    TwoSteps,
    /// One step of one task.
    OneTask,
    /// One step of one task; the clock of the executor that gets it first is 2% slow.
    SlowClock,
    /// One step of two tasks that only work together. Each fills more than half of an executor.
    Gang,
    /// One task that runs until the job is cancelled.
    LongRunning,
}

/// The remaining number of faults of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Commands that are lost or delayed, or whose response is lost.
    pub network: u32,
    /// Commands whose execution and whose answer take their time.
    pub slow_calls: u32,
    /// Start commands that an executor refuses for a reason of its own.
    pub refusals: u32,
    /// Polls whose response is lost, late or overtaken.
    pub polls: u32,
    /// Takeovers by the other host, whether the owner is alive or not.
    pub takeovers: u32,
    /// Takeovers by the other host that take their time to read the store.
    pub slow_takeovers: u32,
    /// Owners that crash.
    pub crashes: u32,
    /// Transactions that are executed late.
    pub late_writes: u32,
    /// Executors that restart.
    pub restarts: u32,
    /// Executors that become unreachable.
    pub disconnects: u32,
    /// Tasks that fail.
    pub failures: u32,
    /// Cancellations of the job.
    pub cancels: u32,
    /// Delays of [`PAUSE`].
    pub pauses: u32,
    /// Delays of [`WAIT`].
    pub waits: u32,
    /// Delays that end when an owner takes a lease for expired.
    pub expiries: u32,
}

/// A rule that the system violates, to show that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// No rule is violated.
    None,
    /// Commands are sent before the assignment is stored.
    StartBeforeStore,
    /// Ended runs are acknowledged before they are stored.
    AcknowledgeBeforeStore,
    /// A new owner does not wait for leases that the previous one granted.
    IgnoreLeases,
    /// A new owner assumes that a command that has not arrived can no longer arrive.
    IgnorePreviousSender,
    /// Executors accept every epoch.
    IgnoreEpochs,
    /// The store does not check the version of the owner's row.
    IgnoreVersions,
    /// A command without a response counts as refused.
    TreatUnansweredAsRefused,
    /// A refusal releases a task although an earlier copy of the command is unanswered.
    ReleaseUnansweredOnRefusal,
    /// A refusal releases a task although a report has shown its run.
    ReleaseReportedOnRefusal,
    /// A refusal because the run has ended releases a task although a report has shown its run.
    ReleaseReportedOnSuperseded,
    /// A late report counts as if its poll had been sent when it arrives.
    IgnorePollTimes,
    /// A new owner reads the store before it claims the executors.
    ReadBeforeClaim,
    /// An owner stores a cancellation, but does not tell the scheduler.
    IgnoreCancellation,
    /// Failed runs are reported as interrupted.
    IgnoreFailures,
    /// The second member of a gang is not started.
    LoseMemberStart,
    /// A long-running task counts as one that ends.
    IgnoreLongRunning,
    /// A new owner that hears that the previous one has stopped trusts polls sent before.
    TrustEarlierPolls,
    /// A slow clock is ten times slower than owners allow for.
    SlowerClocks,
    /// An owner does not assume the longest lease for a new incarnation of an executor.
    IgnoreMaxLease,
}

impl Mutation {
    /// Returns whether the mutation keeps a job from its end instead of breaking an invariant.
    pub const fn is_checked_at_the_end(self) -> bool {
        matches!(
            self,
            Self::None | Self::LoseMemberStart | Self::IgnoreLongRunning | Self::IgnoreMaxLease
        )
    }
}

/// The contents of the store.
#[derive(Clone, Debug, Default, Hash)]
pub struct Store {
    /// The owner's row: its epoch and the number of its last transaction.
    pub owner: (u64, u64),
    /// The record of the job.
    pub record: Option<Vec<u8>>,
    /// Whether the caller has cancelled the job.
    pub cancelled: bool,
}

/// A transaction in flight.
#[derive(Clone, Debug)]
pub struct Write {
    /// The owner's row that it expects.
    pub expects: (u64, u64),
    /// The record that it writes.
    pub record: Option<Vec<u8>>,
    /// The scheduler's batch that it stores.
    pub batch: Batch,
    /// Whether it has been executed.
    pub applied: bool,
    /// When it was sent.
    pub sent: Mono,
}

/// A transaction that may still be executed.
#[derive(Clone, Debug)]
pub struct LateWrite {
    /// The owner's row that it expects.
    pub expects: (u64, u64),
    /// The record that it writes.
    pub record: Option<Vec<u8>>,
}

/// A host that owns the executors, or assumes that it does.
#[derive(Clone, Debug)]
pub struct Owner {
    pub epoch: u64,
    pub scheduler: Scheduler,
    /// The owner's row after its last transaction.
    pub row: (u64, u64),
    pub confirmed: Mono,
    pub write: Option<Write>,
    /// Commands to be sent or sent again.
    pub commands: Vec<Command>,
    /// Reports in flight. They may arrive in any order.
    pub reports: Vec<LateReport>,
    /// The time until which the previous owner was assumed at the takeover to have granted leases.
    pub assumed: Option<Mono>,
    pub cancel_received: bool,
    /// The incarnations of the executors on whose clocks it computes deadlines.
    pub clocks: KnownClocks,
}

/// An answer to a poll that has not arrived.
#[derive(Clone, Debug)]
pub struct LateReport {
    pub executor: usize,
    pub report: Report,
    /// When the poll was sent.
    pub sent: Mono,
    /// The sequence number up to which the poll acknowledged ended runs.
    pub acknowledged: u64,
    /// Whether the owner has taken the executor for unreachable since. It processes the report all
    /// the same.
    pub timed_out: bool,
}

/// A command that may still arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct LateCall {
    pub epoch: u64,
    pub executor: usize,
    /// The start time of the incarnation that the call is bound to.
    pub incarnation: u64,
    pub task: TaskId,
    pub run: RunNumber,
    /// The end of the lease that it grants, on the executor's clock as known to the owner; `None`
    /// for a stop command.
    pub deadline_ms: Option<u64>,
}

/// A command whose sender waits for the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowCall {
    /// The host that sent it.
    pub host: usize,
    pub command: Command,
    pub call: LateCall,
    /// The answer in flight, and the reading of the executor's clock that it contains.
    pub response: Option<(Response, u64)>,
}

/// The complete state of the model.
#[derive(Clone, Debug)]
pub struct State {
    pub now: Mono,
    pub store: Store,
    pub owners: [Option<Owner>; 2],
    pub takeovers: [Option<Takeover>; 2],
    pub executors: [Executor; 2],
    pub late_calls: Vec<LateCall>,
    pub slow_calls: Vec<SlowCall>,
    pub late_writes: Vec<LateWrite>,
    pub world: World,
    pub budget: Budget,
    pub calls: Calls,
    pub mutation: Mutation,
    /// Steps whose task or gang has succeeded, and whether the end was acknowledged.
    pub done: BTreeMap<u32, bool>,
    /// Failed runs in the order of their ends.
    pub failed: Vec<(TaskId, RunNumber)>,
    /// Failed runs whose end was acknowledged.
    pub failures_acknowledged: BTreeSet<(TaskId, RunNumber)>,
    /// The number of runs that had failed before each start.
    pub failed_before: BTreeMap<(TaskId, RunNumber), usize>,
    /// Runs that were started, by executor and incarnation, to detect runs that start twice.
    pub started: BTreeSet<(usize, u64, TaskId, RunNumber)>,
    /// Whether no fault can occur that excuses a member of a gang that waits for the others in vain.
    pub must_meet: bool,
    pub violation: Option<String>,
}

pub fn job() -> JobId {
    JobId::parse("00000000000000aa").expect("a valid job identifier")
}

/// Returns the number of a task among all tasks of the job. No step of the model but the last has
/// more than one task.
pub const fn slot(task: TaskId) -> u32 {
    task.step + task.index
}

impl Budget {
    /// Returns whether nothing can go wrong but what tasks and callers do themselves.
    fn has_only_own_faults(self) -> bool {
        let own = Self {
            failures: self.failures,
            cancels: self.cancels,
            pauses: self.pauses,
            ..Self::default()
        };
        self == own
    }
}

impl State {
    /// Creates a state in which the job is accepted and the first host has taken over.
    pub fn new(world: World, budget: Budget, calls: Calls, mutation: Mutation) -> Self {
        let mut state = Self {
            now: Mono(10_000),
            store: Store::default(),
            owners: [None, None],
            takeovers: [None, None],
            executors: [Executor::new(), Executor::new()],
            late_calls: Vec::new(),
            slow_calls: Vec::new(),
            late_writes: Vec::new(),
            world,
            budget,
            calls,
            mutation,
            done: BTreeMap::new(),
            failed: Vec::new(),
            failures_acknowledged: BTreeSet::new(),
            failed_before: BTreeMap::new(),
            started: BTreeSet::new(),
            must_meet: budget.has_only_own_faults(),
            violation: None,
        };
        if world == World::SlowClock {
            state.executors[FAULTY].clock_percent = match mutation {
                Mutation::SlowerClocks => 80,
                _ => 98,
            };
        }
        state.take_over(0);
        state
    }

    /// Runs everything that an event has made possible.
    pub fn settle(&mut self, host: usize) {
        let now = self.now;
        let mutation = self.mutation;
        let Some(owner) = &mut self.owners[host] else {
            return;
        };
        owner.scheduler.place(now, 0);
        if mutation == Mutation::StartBeforeStore {
            let batch = owner.scheduler.take_batch(10, usize::MAX);
            owner.scheduler.batch_stored(batch, now);
        }
        // Two equal commands are two attempts at the same one.
        for command in owner.scheduler.take_commands() {
            let is_second = |command: &Command| matches!(command, Command::Start { task, .. } if task.index == 1);
            if mutation == Mutation::LoseMemberStart && is_second(&command) {
                continue;
            }
            if !owner.commands.contains(&command) {
                owner.commands.push(command);
            }
        }
        owner.scheduler.take_events();
    }

    /// Returns the identifier of a task.
    pub fn task(&self, slot: u32) -> TaskId {
        let (step, index) = match self.world {
            World::Gang => (0, slot),
            World::TwoSteps | World::OneTask | World::SlowClock | World::LongRunning => (slot, 0),
        };
        TaskId {
            job: job(),
            occurrence: 0,
            step,
            index,
        }
    }

    /// Records the violation of an invariant.
    pub fn record_violation(&mut self, rule: String) {
        self.violation.get_or_insert(rule);
    }
}

impl Owner {
    /// Returns the index of an executor.
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
            .expect("the executor is listed")
    }
}
