//! In-memory executors that record every violation of the scheduling guarantees.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::dependencies::CommandOutcome;
use dispatch::dependencies::CommandReply;
use dispatch::dependencies::ExecutorRead;
use dispatch::dependencies::RejectedEntry;
use dispatch::dependencies::RunRequest;
use dispatch::dependencies::StartRequest;
use dispatch::dependencies::Target;
use job::fleet::Listing;
use job::id::TaskId;
use job::scheduler::ActiveRun;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::task::RunMetrics;
use model::Size;
use tokio::time::Instant;

use crate::by_caller::Callers;
use crate::relay::Relay;

/// The longest lease that an executor accepts; a longer one is shortened.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// Default duration of a task.
pub const TASK_DURATION: Duration = Duration::from_millis(600);

/// The reading of a clock in entries that no executor has written.
const FOREIGN_CLOCK_MS: u64 = 5_000;

/// An ended run that has not been acknowledged.
struct UnacknowledgedEnd {
    end: EndedRun,
    at: Instant,
    /// How often an expired lease had ended runs before.
    lease_lapses: u64,
}

/// An executor with its lease, its runs and its ended runs.
pub struct FakeExecutor {
    id: Arc<str>,
    address: Arc<str>,
    started_unix_ms: u64,
    started_at: Instant,
    fencing_epoch: Cell<u64>,
    lease_end: Cell<Instant>,
    runs: RefCell<BTreeMap<TaskId, (u64, Instant)>>,
    highest_run: RefCell<BTreeMap<TaskId, u64>>,
    ended: RefCell<Vec<UnacknowledgedEnd>>,
    /// How often an expired lease has ended runs.
    lease_lapses: Cell<u64>,
    end_count: Cell<u64>,
    /// Whether the list contains the executor.
    pub listed: Cell<bool>,
    /// Whether the list says that the executor shuts down.
    pub draining: Cell<bool>,
    /// The data centre of the executor.
    pub data_centre: RefCell<Arc<str>>,
    /// Until when the executor is slow after its start.
    pub cold_until: Cell<Instant>,
    /// Number of runs that the executor has started.
    pub starts: Cell<u64>,
    /// Whether calls reach the executor.
    pub reachable: Cell<bool>,
    /// Duration of the tasks on this executor.
    pub task_duration: Cell<Duration>,
    /// Whether runs that are due end as failed.
    pub fails_runs: Cell<bool>,
    /// The CPU share that was last set for each task.
    pub cpu_shares: RefCell<BTreeMap<TaskId, u32>>,
    /// How much later than usual the answer to a poll arrives.
    pub answer_delay: Cell<Duration>,
    /// If set, commands are not answered and are executed after this delay.
    pub command_delay: Cell<Option<Duration>>,
    /// If set, a command is executed and answered after this delay, and not executed at all if it is
    /// broken off before.
    pub command_latency: Cell<Option<Duration>>,
    /// Whether start commands are neither executed nor answered, while all else is.
    pub hangs_starts: Cell<bool>,
    /// The epochs of the start commands that were neither executed nor answered.
    pub hung_starts: RefCell<Vec<u64>>,
}

/// All executors and the violations observed on them.
#[derive(Default)]
pub struct Fleet {
    executors: RefCell<BTreeMap<Arc<str>, Rc<FakeExecutor>>>,
    /// Tasks whose successful end was acknowledged without an expiry of the lease in between. They
    /// must not start again.
    acknowledged_tasks: RefCell<BTreeSet<TaskId>>,
    last_start: RefCell<BTreeMap<TaskId, Instant>>,
    /// Number of started runs.
    pub starts: Cell<u64>,
    /// From when on no task may start in a data centre.
    pub no_starts_from: RefCell<BTreeMap<Arc<str>, Instant>>,
    /// The executors that the advisor grants, or `None` without an advisor.
    pub granted_executors: RefCell<Option<Vec<String>>>,
    /// Whether the next answer with the list of executors makes its reader panic.
    pub list_panics: Cell<bool>,
    /// Whether the next answer to a poll makes its reader panic.
    pub poll_panics: Cell<bool>,
    /// Number of calls that hosts have sent to executors.
    pub calls: Cell<u64>,
    /// Number of requests to the advisor.
    pub advice_requests: Cell<u64>,
    /// The calls by the hosts that send them.
    pub callers: Callers,
    /// Carries calls to executors.
    pub relay: Relay,
    /// The entries of the list that name no executor.
    pub rejected: RefCell<Vec<RejectedEntry>>,
    /// Entries of the list that no executor has written.
    pub foreign: RefCell<Vec<Listing>>,
    /// Descriptions of observed violations.
    pub violations: RefCell<Vec<String>>,
}

impl Fleet {
    /// Adds the executor with this number.
    pub fn add(&self, number: usize) {
        let id = format!("e{number}");
        self.insert(&id, &id, 1);
    }

    /// Replaces the process of an executor, which crashes, by one under another name at the same
    /// address.
    pub fn replace(&self, number: usize, id: &str) {
        let earlier = format!("e{number}");
        self.executors.borrow_mut().remove(&*earlier);
        self.insert(id, &earlier, 2);
    }

    /// Adds a process under another name at the address of an executor that has crashed and is still listed.
    pub fn follow(&self, number: usize, id: &str) {
        let earlier = self.executor(number);
        earlier.interrupt_all();
        self.insert(id, &earlier.address, earlier.started_unix_ms + 1);
    }

    /// Adds an entry that no executor has written. It repeats that of an executor under another name, and
    /// names a later start.
    pub fn add_foreign_entry(&self, number: usize, id: &str) {
        let copied = self.executor(number).listing();
        self.foreign.borrow_mut().push(Listing {
            id: id.into(),
            started_unix_ms: copied.started_unix_ms + 1,
            ..copied
        });
    }

    /// Lets an executor crash and start anew under its name. What ran there is gone.
    pub fn restart(&self, number: usize) {
        let earlier = self.executor(number);
        let (id, address) = (earlier.id.clone(), earlier.address.clone());
        self.insert(&id, &address, earlier.started_unix_ms + 1);
    }

    /// Lets an executor crash and start anew after its system clock was set back, so that it seems to have
    /// started before its earlier incarnation.
    pub fn restart_set_back(&self, number: usize) {
        let earlier = self.executor(number);
        let (id, address) = (earlier.id.clone(), earlier.address.clone());
        self.insert(&id, &address, earlier.started_unix_ms - 1);
    }

    fn insert(&self, id: &str, address: &str, started_unix_ms: u64) {
        let id: Arc<str> = id.into();
        let now = Instant::now();
        let executor = Rc::new(FakeExecutor {
            id: id.clone(),
            address: address.into(),
            started_unix_ms,
            started_at: now,
            fencing_epoch: Cell::new(0),
            lease_end: Cell::new(now),
            runs: RefCell::default(),
            highest_run: RefCell::default(),
            ended: RefCell::default(),
            lease_lapses: Cell::new(0),
            end_count: Cell::new(0),
            listed: Cell::new(true),
            draining: Cell::new(false),
            data_centre: RefCell::new("dc".into()),
            cold_until: Cell::new(now),
            starts: Cell::new(0),
            reachable: Cell::new(true),
            task_duration: Cell::new(TASK_DURATION),
            fails_runs: Cell::new(false),
            cpu_shares: RefCell::default(),
            answer_delay: Cell::default(),
            command_delay: Cell::new(None),
            command_latency: Cell::new(None),
            hangs_starts: Cell::new(false),
            hung_starts: RefCell::default(),
        });
        self.executors.borrow_mut().insert(id, executor);
    }

    /// Returns the executor with this number.
    pub fn executor(&self, number: usize) -> Rc<FakeExecutor> {
        self.executors.borrow()[&*format!("e{number}")].clone()
    }

    /// Returns the executor with this id.
    pub fn find(&self, id: &str) -> Option<Rc<FakeExecutor>> {
        self.executors.borrow().get(id).cloned()
    }

    /// Returns the executor with this id if calls reach it.
    pub fn find_reachable(&self, id: &str) -> Option<Rc<FakeExecutor>> {
        self.find(id).filter(|executor| executor.reachable.get())
    }

    /// Returns whether another executor than the intended one answers a call.
    pub fn is_answered_by_another(&self, target: &Target) -> bool {
        let executors = self.executors.borrow();
        let mut others = executors.values().filter(|other| other.id != target.id);
        others.any(|other| other.reachable.get() && other.address == target.address)
    }

    /// Returns the list of executors with the readings of their clocks.
    ///
    /// # Panics
    ///
    /// Panics once if the test asks for it.
    pub fn listings(&self) -> Vec<(Listing, u64)> {
        assert!(!self.list_panics.take(), "the list makes its reader panic");
        let foreign = self.foreign.borrow().clone().into_iter();
        let executors = self.executors.borrow();
        let listed = executors.values().filter(|executor| executor.listed.get());
        listed
            .map(|executor| (executor.listing(), executor.clock_ms()))
            .chain(foreign.map(|entry| (entry, FOREIGN_CLOCK_MS)))
            .collect()
    }

    /// Returns the list of executors as a host reads it, with the entries that name none.
    pub fn read_list(&self) -> ExecutorRead {
        ExecutorRead {
            listings: self.listings(),
            rejected: self.rejected.borrow().clone(),
        }
    }

    /// Returns whether the advisor grants an executor.
    pub fn grants(&self, id: &str) -> bool {
        let granted_executors = self.granted_executors.borrow();
        let names = granted_executors.as_ref();
        names.is_none_or(|names| names.iter().any(|name| name == id))
    }

    /// Returns when a run of the task was last started.
    pub fn last_start(&self, task: TaskId) -> Option<Instant> {
        self.last_start.borrow().get(&task).copied()
    }

    /// Ends all runs that are due on all executors.
    pub fn settle(&self) {
        let executors: Vec<Rc<FakeExecutor>> = self.executors.borrow().values().cloned().collect();
        for executor in executors {
            executor.settle();
        }
    }

    /// Records that an end was acknowledged. The task must not start afterwards, and must not have
    /// started since it ended.
    fn record_acknowledged(&self, task: TaskId, ended: Instant) {
        self.acknowledged_tasks.borrow_mut().insert(task);
        if self.last_start.borrow().get(&task) > Some(&ended) {
            let text = format!("{task:?} started after the end that is acknowledged now");
            self.violations.borrow_mut().push(text);
        }
    }

    fn record_start(&self, executor: &FakeExecutor, task: TaskId) {
        self.starts.set(self.starts.get() + 1);
        executor.starts.set(executor.starts.get() + 1);
        self.last_start.borrow_mut().insert(task, Instant::now());
        let data_centre = executor.data_centre.borrow();
        let limit = self.no_starts_from.borrow().get(&*data_centre).copied();
        if let Some(late) = limit.and_then(|limit| Instant::now().checked_duration_since(limit)) {
            let text =
                format!("{task:?} started in {data_centre}, which is evacuated, {late:?} too late");
            self.violations.borrow_mut().push(text);
        }
        if self.acknowledged_tasks.borrow().contains(&task) {
            let text = format!(
                "{task:?} started on {} after its success was acknowledged",
                executor.id
            );
            self.violations.borrow_mut().push(text);
        }
        let is_running = self
            .executors
            .borrow()
            .values()
            .any(|other| other.runs.borrow().contains_key(&task));
        if is_running {
            let text = format!("{task:?} started on {} during another run", executor.id);
            self.violations.borrow_mut().push(text);
        }
    }
}

impl FakeExecutor {
    fn listing(&self) -> Listing {
        Listing {
            id: self.id.clone(),
            address: self.address.clone(),
            service: "service".into(),
            data_centre: self.data_centre.borrow().clone(),
            labels: Vec::new(),
            capacity: Size::new(64_000, 256_000, 0),
            started_unix_ms: self.started_unix_ms,
            draining: self.draining.get(),
            drain_remaining: None,
            cold_remaining: self
                .cold_until
                .get()
                .saturating_duration_since(Instant::now()),
        }
    }

    /// Returns whether a run of the task exists on the executor.
    pub fn runs(&self, task: TaskId) -> bool {
        self.runs.borrow().contains_key(&task)
    }

    /// Returns the tasks that run on the executor.
    pub fn tasks(&self) -> Vec<TaskId> {
        self.runs.borrow().keys().copied().collect()
    }

    /// Returns the progress in percent of a run that started at this time.
    fn progress(&self, since: Instant) -> u32 {
        let duration = self.task_duration.get().as_millis().max(1);
        let percent = since.elapsed().as_millis() * 100 / duration;
        u32::try_from(percent).map_or(99, |percent| percent.min(99))
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis())
            .expect("the milliseconds fit in 64 bits")
    }

    /// Ends runs that have completed or have lost their lease.
    pub fn settle(&self) {
        let now = Instant::now();
        let lease_expired = self.lease_end.get() <= now;
        let mut killed = false;
        let runs: Vec<(TaskId, u64, Instant)> = self
            .runs
            .borrow()
            .iter()
            .map(|(task, (run, since))| (*task, *run, *since))
            .collect();
        for (task, run, since) in runs {
            let ends = since + self.task_duration.get();
            if ends <= now && ends <= self.lease_end.get() {
                let outcome = if self.fails_runs.get() {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                self.end(task, run, outcome);
            } else if lease_expired {
                self.end(task, run, RunOutcome::LeaseExpired);
                killed = true;
            }
        }
        if killed {
            self.lease_lapses.set(self.lease_lapses.get() + 1);
        }
    }

    /// Interrupts all runs, as those of a gang that has lost a member.
    pub fn interrupt_all(&self) {
        let runs: Vec<(TaskId, u64)> = {
            let runs = self.runs.borrow();
            runs.iter().map(|(task, (run, _))| (*task, *run)).collect()
        };
        for (task, run) in runs {
            self.end(task, run, RunOutcome::Interrupted);
        }
    }

    fn end(&self, task: TaskId, run: u64, outcome: RunOutcome) {
        self.runs.borrow_mut().remove(&task);
        self.highest_run.borrow_mut().insert(task, run);
        self.end_count.set(self.end_count.get() + 1);
        let end = EndedRun {
            sequence: self.end_count.get(),
            task: Some(task),
            run,
            outcome,
            checkpoint: None,
        };
        self.ended.borrow_mut().push(UnacknowledgedEnd {
            end,
            at: Instant::now(),
            lease_lapses: self.lease_lapses.get(),
        });
    }

    /// Returns whether a call is meant for this incarnation.
    pub fn is_meant(&self, target: &Target) -> bool {
        target
            .incarnation
            .is_none_or(|it| it == self.started_unix_ms)
    }

    /// Returns whether a call is from the latest owner known here, and remembers its epoch.
    pub fn accepts_epoch(&self, target: &Target) -> bool {
        if target.epoch < self.fencing_epoch.get() {
            return false;
        }
        self.fencing_epoch.set(target.epoch);
        true
    }

    /// Extends the lease, by at most the longest that the executor accepts.
    pub fn extend(&self, lease_deadline_ms: u64) {
        let deadline = self.started_at + Duration::from_millis(lease_deadline_ms);
        let deadline = deadline.min(Instant::now() + MAX_LEASE);
        self.lease_end.set(self.lease_end.get().max(deadline));
    }

    /// Executes a start command.
    pub fn start(&self, fleet: &Fleet, call: &StartRequest) -> CommandOutcome<StartAnswer> {
        fleet.settle();
        if !self.accepts_epoch(&call.target) {
            return CommandOutcome::Fenced;
        }
        let current_run = self.runs.borrow().get(&call.task).map(|(run, _)| *run);
        if current_run == Some(call.run) {
            return CommandOutcome::Answered(StartAnswer::Started);
        }
        if self.highest_run.borrow().get(&call.task) >= Some(&call.run) {
            return CommandOutcome::Answered(StartAnswer::Superseded);
        }
        let advised = fleet.granted_executors.borrow().is_some();
        if advised && call.ticket != Some(ticket(&self.id)) {
            return CommandOutcome::Answered(StartAnswer::NoTicket);
        }
        if !fleet.grants(&self.id) {
            let text = format!("{:?} started on {} without a grant", call.task, self.id);
            fleet.violations.borrow_mut().push(text);
            return CommandOutcome::Answered(StartAnswer::NoTicket);
        }
        if call.lease_deadline_ms <= self.clock_ms() {
            return CommandOutcome::Answered(StartAnswer::TooLate);
        }
        self.extend(call.lease_deadline_ms);
        fleet.record_start(self, call.task);
        let run = (call.run, Instant::now());
        self.runs.borrow_mut().insert(call.task, run);
        CommandOutcome::Answered(StartAnswer::Started)
    }

    /// Executes a stop command.
    pub fn stop(&self, fleet: &Fleet, call: &RunRequest) -> CommandOutcome<bool> {
        fleet.settle();
        if !self.accepts_epoch(&call.target) {
            return CommandOutcome::Fenced;
        }
        let running = self.runs.borrow().get(&call.task).map(|(run, _)| *run);
        if running == Some(call.run) {
            self.end(call.task, call.run, RunOutcome::Interrupted);
        }
        let mut highest_run = self.highest_run.borrow_mut();
        let run = highest_run.entry(call.task).or_insert(0);
        *run = (*run).max(call.run);
        CommandOutcome::Answered(true)
    }

    /// Removes the ended runs up to a sequence number.
    pub fn acknowledge(&self, fleet: &Fleet, sequence: u64) {
        let mut ended = self.ended.borrow_mut();
        for ended in ended.iter().filter(|ended| ended.end.sequence <= sequence) {
            let is_final = ended.end.outcome == RunOutcome::Done
                && ended.lease_lapses == self.lease_lapses.get();
            if is_final {
                let task = ended.end.task.expect("every fake end has a task id");
                fleet.record_acknowledged(task, ended.at);
            }
        }
        ended.retain(|ended| ended.end.sequence > sequence);
    }

    /// Returns the report of a poll.
    pub fn report(&self) -> Report {
        Report {
            started_unix_ms: Some(self.started_unix_ms),
            clock_ms: self.clock_ms(),
            running: self
                .runs
                .borrow()
                .iter()
                .map(|(task, (run, since))| ActiveRun {
                    task: Some(*task),
                    run: *run,
                    checkpoint: None,
                    metrics: RunMetrics {
                        progress: self.progress(*since),
                        tail_ms_or_cpu_millis: 0,
                    },
                })
                .collect(),
            ended: self
                .ended
                .borrow()
                .iter()
                .map(|ended| ended.end.clone())
                .collect(),
        }
    }

    /// Returns the answer to a command.
    pub fn reply<T>(&self, outcome: CommandOutcome<T>) -> CommandReply<T> {
        CommandReply {
            outcome,
            clock_ms: Some(self.clock_ms()),
        }
    }
}

/// Returns the ticket that a start on an executor has to present.
pub fn ticket(id: &str) -> Arc<str> {
    format!("ticket-{id}").into()
}
