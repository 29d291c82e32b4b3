//! The state machine of one owned shard.
//!
//! [`ShardOwner::handle`] takes an event and returns the actions that follow from it. It starts a
//! task only after the transaction that grants it is committed, and grants a task again only after
//! its last run has certainly ended. `docs/TASKS.md` describes the states and explains the design.
//!
//! The submodules are:
//!
//! - `event`: the inputs and outputs.
//! - `task`: the state of a task and the row that follows from the outcome of its run.
//! - `worker`: the state of a worker.
//! - `txn`: the transactions that are in flight or in doubt.
//! - `commit`: sending transactions and applying their outcomes.
//! - `messages`: the message exchange with workers.
//! - `requests`: requests of the scheduler, submitters and operators.

mod commit;
mod event;
mod messages;
mod requests;
mod task;
mod txn;
mod worker;

use std::collections::BTreeMap;

use model::Mono;
use model::Size;
use model::id::RowVersion;
use model::id::TaskId;
use model::id::WorkerId;
use plat::hosts::HostState;
use plat::table::Row;

pub use event::Action;
pub use event::Event;
pub use event::ListedWorker;
pub use event::Notification;
pub use event::Refusal;
pub use event::RequeueCause;
pub use event::StopReason;
pub use event::SubmitOutcome;

use self::task::Task;
use self::txn::PendingTxn;
use self::worker::Worker;
use crate::claim::Ownership;
use crate::record::Phase;
use crate::record::ShardRow;
use crate::record::TaskRow;
use crate::record::key;
use crate::timing::Timing;

/// The owner of one shard.
///
/// Its maps are ordered, so that the same events always lead to the same actions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShardOwner {
    ownership: Ownership,
    timing: Timing,
    /// When this owner learned that its claim was committed.
    claimed_at: Mono,
    /// When the latest read that found this owner in the shard's row was sent.
    verified_at: Mono,
    loaded: bool,
    store_reachable: bool,
    /// Whether the shard has to be released once no transaction is pending.
    releasing: bool,
    stopped: Option<StopReason>,
    tasks: BTreeMap<TaskId, Task>,
    workers: BTreeMap<WorkerId, Worker>,
    pending_txns: BTreeMap<u64, PendingTxn>,
    /// The number of the last transaction. Each transaction's number is part of its id.
    last_txn_number: u64,
    /// When the next transaction may be started after one was refused.
    backoff_until: Option<Mono>,
}

impl ShardOwner {
    /// Creates the owner of a shard whose claim was sent at `sent` and found committed at `now`.
    #[must_use]
    pub fn new(ownership: Ownership, timing: Timing, sent: Mono, now: Mono) -> Self {
        Self {
            ownership,
            timing,
            claimed_at: now,
            verified_at: sent,
            loaded: false,
            store_reachable: true,
            releasing: false,
            stopped: None,
            tasks: BTreeMap::new(),
            workers: BTreeMap::new(),
            pending_txns: BTreeMap::new(),
            last_txn_number: 0,
            backoff_until: None,
        }
    }

    /// Processes an event and returns the actions to execute, in order.
    ///
    /// An owner that has stopped returns no actions.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.stopped.is_some() {
            return actions;
        }
        if !self.may_act(now) {
            self.stop(StopReason::StoreTimeout, &mut actions);
            return actions;
        }
        self.handle_event(event, now, &mut actions);
        if self.stopped.is_none() {
            self.expire_worker_leases(now, &mut actions);
            self.commit_due(now, &mut actions);
            self.send_due(now, &mut actions);
        }
        actions
    }

    fn handle_event(&mut self, event: Event, now: Mono, actions: &mut Vec<Action>) {
        match event {
            Event::Loaded(rows) => self.load(rows, now, actions),
            Event::RowsRead(rows) => self.adopt_queued(rows, actions),
            Event::ShardRow { row, sent } => self.verify_ownership(row, sent, actions),
            Event::Settled { op, settled } => self.handle_settled(&op, settled, now, actions),
            Event::Answer {
                worker,
                sequence,
                answer,
            } => self.handle_answer(&worker, sequence, answer, now, actions),
            Event::WorkersListed(list) => self.update_workers(list, actions),
            Event::WorkerLost(worker) => {
                self.workers.entry(worker.clone()).or_default();
                self.mark_worker_lost(&worker, actions);
            }
            Event::StoreStatus { reachable } => self.store_reachable = reachable,
            Event::Submit(spec) => self.submit(spec, actions),
            Event::Cancel(task) => self.cancel(&task, actions),
            Event::Start {
                task,
                worker,
                reserved,
            } => self.start(&task, &worker, reserved, now, actions),
            Event::Evict(task) => self.evict(&task, actions),
            Event::Throttle { task, permille } => self.throttle(&task, permille, actions),
            Event::HandOff { task, to } => self.hand_off(&task, &to, actions),
            Event::ReleaseShard => self.releasing = true,
            Event::Tick => {}
        }
    }

    fn stop(&mut self, reason: StopReason, actions: &mut Vec<Action>) {
        self.stopped = Some(reason);
        actions.push(Action::StepDown(reason));
    }

    fn load(&mut self, rows: Vec<Row>, now: Mono, actions: &mut Vec<Action>) {
        if self.loaded {
            return self.adopt_queued(rows, actions);
        }
        self.loaded = true;
        for row in rows {
            if let Some((row, version)) = parse_task_row(&row, actions) {
                self.insert(row, version, actions);
            }
        }
        for worker in self.workers.values_mut() {
            worker.next_send = now;
        }
    }

    /// Adds queued tasks that were handed off by another owner.
    fn adopt_queued(&mut self, rows: Vec<Row>, actions: &mut Vec<Action>) {
        if !self.loaded {
            return;
        }
        for row in rows {
            let Some((row, version)) = parse_task_row(&row, actions) else {
                continue;
            };
            let is_queued = row.phase == Phase::Queued;
            if is_queued && !self.tasks.contains_key(&row.spec.task) {
                self.insert(row, version, actions);
            }
        }
    }

    fn insert(&mut self, row: TaskRow, version: RowVersion, actions: &mut Vec<Action>) {
        let task = row.spec.task.clone();
        match &row.phase {
            Phase::Queued => {
                actions.push(Action::Notify(Notification::Queued { task: task.clone() }));
            }
            Phase::Assigned { worker, .. } => {
                self.workers.entry(worker.clone()).or_default();
            }
            _ => {}
        }
        self.tasks.insert(task, Task::inherited(row, version));
    }

    /// Verifies the ownership against the shard's row. The owner may act for
    /// [`Timing::owner_store_timeout`] from the time at which the read was sent.
    ///
    /// A successful write of the daemon's heartbeat would not prove ownership: the heartbeat can
    /// still be written after a successor has claimed the shard.
    fn verify_ownership(&mut self, row: Option<Row>, sent: Mono, actions: &mut Vec<Action>) {
        let is_current = |row: ShardRow| {
            row.epoch == self.ownership.epoch && row.owner.as_ref() == Some(&self.ownership.owner)
        };
        let value = row.and_then(|row| serde_json::from_value(row.value).ok());
        if value.is_some_and(is_current) {
            self.verified_at = self.verified_at.max(sent);
        } else if sent >= self.claimed_at && !self.is_release_pending() {
            self.stop(StopReason::Superseded, actions);
        }
    }

    fn update_workers(&mut self, list: Vec<ListedWorker>, actions: &mut Vec<Action>) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for entry in list {
            let leaving = entry.state == HostState::Leaving;
            let worker = self.workers.entry(entry.worker.clone()).or_default();
            if leaving && !worker.leaving {
                let worker = entry.worker.clone();
                actions.push(Action::Notify(Notification::WorkerLeaving { worker }));
            }
            worker.listed = true;
            worker.leaving = leaving;
            worker.capacity = entry.capacity;
        }
    }

    /// Returns whether this owner may still act, according to its own clock.
    #[must_use]
    pub fn may_act(&self, now: Mono) -> bool {
        now.since(self.verified_at) < self.timing.owner_store_timeout
    }

    /// Returns the shard that this owner owns, its epoch and its row's version.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns whether the shard's task rows have been loaded.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the reason why this owner stopped, or `None` if it has not.
    #[must_use]
    pub const fn stopped(&self) -> Option<StopReason> {
        self.stopped
    }

    /// Returns the last row of a task that is known to be stored in the table.
    #[must_use]
    pub fn task(&self, task: &TaskId) -> Option<&TaskRow> {
        self.tasks.get(task).map(|task| &task.row)
    }

    /// Returns the rows of all tasks that have not ended, ordered by name.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRow> {
        self.tasks.values().map(|task| &task.row)
    }

    /// Returns whether a write of the task's row is in flight or in doubt.
    #[must_use]
    pub fn is_in_doubt(&self, task: &TaskId) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|task| task.pending_txn.is_some())
    }

    /// Returns the shard's workers, ordered by name.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.keys()
    }

    /// Returns the capacity that new tasks may reserve on a worker, or zero if it accepts no tasks.
    ///
    /// Tasks whose state is unknown count with their whole reservation. While a worker runs a task
    /// that the table does not grant to it, none of its capacity is free, because reports do not
    /// contain the size of such a run.
    #[must_use]
    pub fn free(&self, worker: &WorkerId, now: Mono) -> Size {
        let Some(known) = self.workers.get(worker) else {
            return Size::ZERO;
        };
        if !self.loaded || !known.accepts_tasks(now, &self.timing) || self.runs_ungranted(known) {
            return Size::ZERO;
        }
        known.capacity.saturating_sub(&self.reserved(worker))
    }

    /// Returns the capacity reserved on a worker by granted tasks and by grants that are in flight
    /// or in doubt.
    #[must_use]
    pub fn reserved(&self, worker: &WorkerId) -> Size {
        let granted = self.tasks.values().map(|task| &task.row);
        let updates = self
            .pending_txns
            .values()
            .flat_map(|txn| txn.kind.updates());
        let starts = updates.filter(|update| update.agent_incarnation.is_some());
        granted
            .chain(starts.map(|update| &update.row))
            .filter_map(|row| match &row.phase {
                Phase::Assigned {
                    worker: granted,
                    reserved,
                } => (granted == worker).then_some(*reserved),
                _ => None,
            })
            .sum()
    }

    /// Returns the latest time at which [`Event::Tick`] must be sent.
    #[must_use]
    pub fn next_wake(&self) -> Mono {
        let limit = self.verified_at.after(self.timing.owner_store_timeout);
        let messages = self.workers.iter().filter_map(|(name, worker)| {
            let due = worker.in_flight.is_none() && self.needs_messages(name, worker);
            due.then_some(worker.next_send)
        });
        let lease_expiries = self
            .workers
            .iter()
            .filter(|(name, worker)| !worker.lease_expired && self.has_runs(name))
            .map(|(_, worker)| {
                worker.grants_expire_at(self.claimed_at, self.ownership.prior_owners, &self.timing)
            });
        let retries = self.pending_txns.values().filter_map(|txn| txn.retry_at);
        let timers = messages.chain(lease_expiries).chain(retries);
        let earliest = timers.chain(self.backoff_until).min();
        earliest.map_or(limit, |at| at.min(limit))
    }

    /// Returns whether any granted task may be running on a worker.
    fn has_runs(&self, worker: &WorkerId) -> bool {
        let mut granted = self.tasks.values();
        granted.any(|task| {
            task.row.worker() == Some(worker) && task.run.as_ref().is_some_and(|r| r.end.is_none())
        })
    }

    /// Returns whether the transaction that releases the shard is in flight or in doubt.
    fn is_release_pending(&self) -> bool {
        let mut pending = self.pending_txns.values();
        pending.any(|txn| txn.kind == txn::TxnKind::ReleaseShard)
    }
}

/// Parses a task's row, or reports that it is unreadable.
fn parse_task_row(row: &Row, actions: &mut Vec<Action>) -> Option<(TaskRow, RowVersion)> {
    if let Ok(task) = serde_json::from_value::<TaskRow>(row.value.clone()) {
        return Some((task, row.version));
    }
    let key = row.key.clone();
    actions.push(Action::Notify(Notification::UnreadableRow { key }));
    None
}

/// Returns the key of a task's row in the owner's shard.
fn task_key(ownership: &Ownership, task: &TaskId) -> String {
    key::task(&ownership.shard, task)
}
