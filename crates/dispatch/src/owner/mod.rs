//! The owner: the one host at a time that places all tasks and sends commands to the executors.
//!
//! [`takeover`] restores the state that an earlier owner left. From then on these parts run
//! concurrently: [`commit`] stores changes, [`commands`] sends commands, [`polls`] extends leases
//! and receives the ends of runs, [`feeds`] receives jobs, evacuations and executors, `admission`
//! estimates how long new jobs would wait, `cleanup` removes rows of ended jobs, `waiting` logs why
//! jobs wait, and placement runs whenever something has changed. All of them stop once another owner
//! has taken over.

mod admission;
mod advice;
mod calls;
mod cleanup;
mod command_slots;
mod command_trace;
pub mod commands;
pub mod commit;
mod evacuations;
pub mod feeds;
mod keep_claim;
mod lease_row;
mod load;
pub mod pacing;
pub mod polls;
mod predecessor;
pub mod processor_pace;
mod refused;
mod rejected_entries;
mod release;
mod starts;
pub mod takeover;
mod telemetry;
mod waiting;
mod witnesses;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::authority::Authority;
use job::fleet::ExecutorKey;
use job::id::JobId;
use job::id::TaskId;
use job::placement::RoundBudget;
use job::plan::Plan;
use job::scheduler::JobState;
use job::scheduler::Scheduler;
use job::scheduler::TaskKey;
use job::task::RunNumber;
use model::Map;
use model::Mono;
use model::Set;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::admission::OwnerAdmission;
use self::command_slots::CommandSlots;
use self::evacuations::EvacuationFeed;
use self::lease_row::LeaseRow;
use self::load::OwnerLoad;
use self::pacing::CommandWindow;
use self::processor_pace::ProcessorPace;
use self::rejected_entries::RejectedEntries;
pub use self::takeover::Claim;
pub use self::takeover::take_over;
use crate::dependencies::Target;
use crate::events;
use crate::node::Node;
use crate::node::SendTime;
use crate::relay::pool::RelayPool;
use crate::rows::OwnerRecord;
use crate::tombstones::Tombstones;

/// How long an owner continues without a confirmation from the store. A successor that cannot reach
/// an executor waits for this time plus the duration of a lease.
pub const MAX_UNCONFIRMED: Duration = Duration::from_secs(10);
/// Interval of checks for expired leases, leaving executors and jobs that become due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a placement round as a multiple of its duration, so that placement leaves most of
/// the processor to the calls that free executors.
const PLACEMENT_PAUSE_FACTOR: u32 = 4;
/// Maximum pause after a placement round. The duration of a round includes the time for which the
/// host ran nothing, so that one round may seem to take seconds.
const MAX_PLACEMENT_PAUSE: Duration = Duration::from_millis(40);
/// Delay before placement that batches events in quick succession.
const PLACEMENT_DEBOUNCE: Duration = Duration::from_millis(2);

/// The state of the owner.
pub struct Owner {
    /// The node on which it runs.
    pub node: Rc<Node>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// All jobs and executors, and the decisions about them.
    pub scheduler: RefCell<Scheduler>,
    /// The owner's row as last written.
    record: RefCell<OwnerRecord>,
    /// Version of the owner's row, which the next transaction expects.
    row_version: Cell<u64>,
    /// When the last confirmed transaction was sent.
    confirmed_at: Cell<Mono>,
    /// What entitles this owner to extend leases.
    authority: RefCell<Authority>,
    /// The row about leases.
    lease_row: LeaseRow,
    /// How much longer than its wait a poll of a slow executor may take, and until when that holds.
    answer_margins: RefCell<Map<ExecutorKey, (Duration, Mono)>>,
    /// When the latest poll was sent whose report has arrived.
    reports_requested: RefCell<Map<ExecutorKey, Mono>>,
    /// Executors with a poll in flight beside the usual ones.
    asked_executors: RefCell<Set<ExecutorKey>>,
    /// Whether all earlier owners are known to have ended.
    settled: Cell<bool>,
    /// Notified once a majority of the inherited witnesses has accepted this owner.
    majority: Notify,
    /// When the learned interference was last stored.
    interference_stored_at: Cell<Mono>,
    /// Whether the store refuses the row with the learned interference.
    interference_refused: Cell<bool>,
    /// Cancellations of jobs that are not stored.
    tombstones: RefCell<Tombstones>,
    /// When the store last answered a request for new jobs.
    jobs_synced_at: Cell<Mono>,
    /// Wakes the task that stores changes.
    commit_requested: Notify,
    /// Notified after each transaction that took effect.
    committed: Notify,
    /// Wakes the task that places tasks.
    placement_requested: Notify,
    /// Cancelled when the ownership ends.
    shutdown: CancellationToken,
    /// Whether a part of the owner panicked.
    failed: Cell<bool>,
    /// When this host took over.
    owned_since: Mono,
    /// Whether the next transaction releases the executors because the process shuts down.
    stopping: Cell<bool>,
    /// Whether the transaction that releases the executors has been sent. It may have taken effect
    /// although its answer was lost, so that nothing is sent to executors from then on.
    releasing: Cell<bool>,
    /// Limits the concurrent commands to each executor.
    command_slots: RefCell<Map<ExecutorKey, Rc<CommandSlots>>>,
    /// Start commands that wait for the slot of their first attempt.
    unsent_starts: RefCell<Set<(TaskKey, RunNumber)>>,
    /// Stop commands that are not settled, by whether the scheduler knows the run. Each report that
    /// still lists the run asks for its stop again.
    pending_stops: RefCell<Set<(ExecutorKey, TaskId, RunNumber, bool)>>,
    /// Executors that have a running poll task.
    polled_executors: RefCell<Set<ExecutorKey>>,
    /// Limits the start commands in flight.
    window: RefCell<CommandWindow>,
    /// Limits the starts that can wait.
    processor_pace: Cell<ProcessorPace>,
    /// The number of start commands that are being sent or await their answer.
    starts_in_flight: Cell<usize>,
    /// The number of tasks placed whose assignments are not stored.
    starts_unstored: Cell<usize>,
    /// The hosts that call executors for the owner.
    relays: RelayPool,
    /// Whether the owner's row is to say that calls go by way of relays.
    relays_wanted: Cell<bool>,
    /// The estimate of the waits of new jobs, and the markers of refusals.
    admission: OwnerAdmission,
    /// Counts what the owner does, for the log.
    load: OwnerLoad,
    /// When the evacuations of data centres were last read.
    evacuations: EvacuationFeed,
    /// Limits requests to the advisor to one at a time.
    advisor_slot: Semaphore,
    /// The entries in the newest list of executors that name none which could be used.
    pub(crate) rejected_entries: RefCell<RejectedEntries>,
}

impl Owner {
    /// Returns when the transaction was sent with which the store last confirmed the ownership.
    #[must_use]
    pub fn confirmed_at(&self) -> Mono {
        self.confirmed_at.get()
    }

    /// Returns when the store last answered a request for new jobs.
    #[must_use]
    pub fn jobs_synced_at(&self) -> Mono {
        self.jobs_synced_at.get()
    }

    /// Returns the state of a job as shown to callers.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.scheduler.borrow().state(id)
    }

    /// Returns the number of jobs per queue that have not started.
    #[must_use]
    pub fn pending(&self) -> Map<Arc<str>, usize> {
        self.scheduler.borrow().pending()
    }

    /// Puts a newer document into force.
    pub fn set_plan(self: &Rc<Self>, plan: Arc<Plan>) {
        let now = self.now();
        self.scheduler.borrow_mut().set_plan(plan, now);
        self.dispatch_pending();
    }

    /// Waits until this host is no longer the owner.
    pub async fn ended(&self) {
        self.shutdown.cancelled().await;
    }

    /// Ends the ownership at once, because another owner has taken over or the store has not
    /// confirmed for too long that none has.
    pub fn end(&self, reason: &str) {
        if !self.shutdown.is_cancelled() {
            events::owner_ended(self.epoch, reason);
            self.shutdown.cancel();
        }
    }

    /// Ends the ownership because a part of the owner panicked.
    pub fn fail(&self) {
        self.failed.set(true);
        self.end("a part of the owner panicked");
    }

    /// Returns whether the ownership ended because a part of the owner panicked.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Returns whether this host may act as the owner, and ends the ownership if the store has not
    /// confirmed it for too long. This is checked before each message to an executor, because after
    /// a pause of the process the timers that are due fire in any order.
    fn may_act(&self) -> bool {
        let authority = self.authority.borrow();
        if authority.is_unconfirmed_for(MAX_UNCONFIRMED, self.node.boot_time()) {
            drop(authority);
            self.end("the store has not confirmed the ownership for too long");
        }
        !self.shutdown.is_cancelled()
    }

    /// Returns whether messages to executors may be sent. Once the release may have been recorded, a
    /// successor counts on it that none follows.
    fn may_send(&self) -> bool {
        self.may_act() && !self.releasing.get()
    }

    /// Releases the executors on shutdown: no lease is granted after the store has recorded the
    /// release.
    pub async fn release(&self) {
        self.stopping.set(true);
        self.commit_requested.notify_one();
        self.ended().await;
    }

    /// Processes everything that an event may have caused: logs events, sends commands and
    /// requests, starts polls, and requests a commit and a placement.
    pub fn dispatch_pending(self: &Rc<Self>) {
        self.log_events();
        commands::send_pending(self);
        advice::request_pending(self);
        polls::ensure(self);
        let has_changes = {
            let scheduler = self.scheduler.borrow();
            scheduler.has_changes() || self.is_lease_row_due(&scheduler)
        };
        if has_changes {
            self.commit_requested.notify_one();
        }
        self.placement_requested.notify_one();
    }

    fn now(&self) -> Mono {
        self.node.now()
    }

    /// Records that the store has confirmed the ownership with a call sent at `sent`.
    fn record_confirmation(&self, sent: SendTime) {
        self.confirmed_at.set(sent.mono);
        self.authority.borrow_mut().confirmed(sent.boot);
    }

    /// Limits the leases that the scheduler grants now to what this owner is entitled to.
    fn limit_leases(&self, scheduler: &mut Scheduler) {
        let horizon = self.authority.borrow().horizon();
        let left = horizon.map(|horizon| horizon.since(self.node.boot_time()));
        scheduler.grants_until = left.map_or(Mono(u64::MAX), |left| self.now().after(left));
    }

    /// Returns the target of a call to the known incarnation of an executor, whose clock the deadlines of
    /// leases refer to.
    fn target(&self, executor: ExecutorKey) -> Option<Target> {
        let scheduler = self.scheduler.borrow();
        let listing = &scheduler.fleet.get(executor)?.listing;
        (!listing.address.is_empty()).then(|| Target {
            address: listing.address.clone(),
            id: listing.id.clone(),
            incarnation: Some(listing.started_unix_ms).filter(|started| *started > 0),
            epoch: self.epoch,
        })
    }

    async fn run_placement(self: Rc<Self>) {
        let mut pause = PLACEMENT_DEBOUNCE;
        loop {
            tokio::select! {
                () = self.shutdown.cancelled() => return,
                () = self.placement_requested.notified() => {}
            }
            let due = Instant::now() + pause;
            tokio::time::sleep_until(due).await;
            if self.shutdown.is_cancelled() || self.stopping.get() || self.releasing.get() {
                return;
            }
            let started = Instant::now();
            let now = self.now();
            let in_flight = self.starts_in_flight.get() + self.starts_unstored.get();
            let mut pace = self.processor_pace.get();
            if !self.knows_evacuations(now) {
                // What would be placed now could not start; the feed asks for the next round.
                continue;
            }
            let budget = RoundBudget {
                tasks: self.window.borrow().free(in_flight),
                tasks_that_can_wait: pace.allowance(started.duration_since(due), now),
            };
            if budget.tasks == 0 {
                self.load.count_full_round();
            }
            let used = self
                .scheduler
                .borrow_mut()
                .place_within(budget, now, (self.node.unix_ms)());
            pace.placed(used.tasks_that_can_wait);
            self.processor_pace.set(pace);
            let placed = used.tasks;
            self.starts_unstored
                .set(self.starts_unstored.get() + placed);
            self.log_events();
            if placed > 0 {
                self.commit_requested.notify_one();
            }
            advice::request_pending(&self);
            let took = started.elapsed();
            let metrics = &self.node.metrics;
            metrics.placement_seconds.observe(took.as_secs_f64());
            self.load.count_round(took);
            pause = placement_pause(took);
        }
    }

    async fn tick(self: Rc<Self>) {
        while !self.shutdown.is_cancelled() {
            let due = self.now().after(TICK_INTERVAL);
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = self.now();
            self.load.count_timer_delay(now.since(due));
            if !self.may_act() {
                return;
            }
            self.scheduler.borrow_mut().tick(now);
            polls::ensure_all(&self);
            self.dispatch_pending();
        }
    }
}

/// Returns the pause after a placement round that took this long.
fn placement_pause(took: Duration) -> Duration {
    (took * PLACEMENT_PAUSE_FACTOR).clamp(PLACEMENT_DEBOUNCE, MAX_PLACEMENT_PAUSE)
}
