//! The state machine of one owned shard.
//!
//! [`ShardOwner::handle`] is told what has happened and returns what is to be done. It starts a task
//! only after the transaction that grants it is committed, and grants a task again only after its
//! last run has certainly ended. `docs/TASKS.md` has the states and the reasons.
//!
//! The submodules each hold one part: `event` what goes in and out, `task` which row follows from a
//! run, `worker` what is known of a worker, `op` the transactions, `commit` their fate, `messages`
//! the conversation with workers, `requests` what the scheduler and submitters ask for.

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
/// Its maps are ordered, so that the same events lead to the same actions in every run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShardOwner {
    ownership: Ownership,
    timing: Timing,
    /// When the claim was known to be committed.
    claimed_at: Mono,
    /// When the newest read was sent that showed this owner in the shard's row.
    verified_at: Mono,
    loaded: bool,
    store_reachable: bool,
    releasing: bool,
    stopped: Option<StopReason>,
    tasks: BTreeMap<TaskId, Task>,
    workers: BTreeMap<WorkerId, Worker>,
    pending_txns: BTreeMap<u64, PendingTxn>,
    /// Counts the transactions, for their ids.
    last_txn_number: u64,
    /// When the next transaction may be begun, after one was refused.
    backoff_until: Option<Mono>,
}

impl ShardOwner {
    /// Makes the owner of a shard whose claim was sent at `sent` and is committed at `now`.
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

    /// Takes in an event and returns what is to be done, in this order.
    ///
    /// An owner that has stopped returns nothing any more.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.stopped.is_some() {
            return actions;
        }
        if !self.may_act(now) {
            self.stop(StopReason::Lapsed, &mut actions);
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

    /// Takes in queued tasks that were handed over by another owner.
    fn adopt_queued(&mut self, rows: Vec<Row>, actions: &mut Vec<Action>) {
        if !self.loaded {
            return;
        }
        for row in rows {
            let Some((row, version)) = parse_task_row(&row, actions) else {
                continue;
            };
            let waits = row.phase == Phase::Queued;
            if waits && !self.tasks.contains_key(&row.spec.task) {
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

    /// Takes in the shard's own row: the right to act counts from when the read was sent.
    ///
    /// The owner's own heartbeat would not do: it can still be written after a successor has taken
    /// the shard.
    fn verify_ownership(&mut self, row: Option<Row>, sent: Mono, actions: &mut Vec<Action>) {
        let ours = |row: ShardRow| {
            row.epoch == self.ownership.epoch && row.owner.as_ref() == Some(&self.ownership.owner)
        };
        let value = row.and_then(|row| serde_json::from_value(row.value).ok());
        if value.is_some_and(ours) {
            self.verified_at = self.verified_at.max(sent);
        } else if sent >= self.claimed_at && !self.is_releasing() {
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

    /// Returns whether this owner may still act, by its own clock.
    #[must_use]
    pub fn may_act(&self, now: Mono) -> bool {
        now.since(self.verified_at) < self.timing.owner_store_timeout
    }

    /// Returns what this owner owns, and under which epoch.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns whether the shard's rows have been read.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns why this owner has stopped, if it has.
    #[must_use]
    pub const fn stopped(&self) -> Option<StopReason> {
        self.stopped
    }

    /// Returns a task's row as the table is known to hold it.
    #[must_use]
    pub fn task(&self, task: &TaskId) -> Option<&TaskRow> {
        self.tasks.get(task).map(|task| &task.row)
    }

    /// Returns all tasks that have not ended, in the order of their names.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskRow> {
        self.tasks.values().map(|task| &task.row)
    }

    /// Returns whether a write of the task's row is under way or in doubt.
    #[must_use]
    pub fn is_in_doubt(&self, task: &TaskId) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|task| task.pending_txn.is_some())
    }

    /// Returns the workers, in the order of their names.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.keys()
    }

    /// Returns what new tasks may reserve on a worker now, nothing where it cannot take any.
    ///
    /// Tasks whose fate is unknown count with all that is reserved for them. While a worker runs
    /// something that the table does not grant to it, nothing is free, because a report does not say
    /// how large that is.
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

    /// Returns what is reserved on a worker, by granted tasks and by grants that are under way or in
    /// doubt.
    #[must_use]
    pub fn reserved(&self, worker: &WorkerId) -> Size {
        let granted = self.tasks.values().map(|task| &task.row);
        let in_doubt = self.pending_txns.values().flat_map(|op| op.kind.updates());
        let starts = in_doubt.filter(|update| update.agent_incarnation.is_some());
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

    /// Returns when [`Event::Tick`] is due at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Mono {
        let limit = self.verified_at.after(self.timing.owner_store_timeout);
        let sends = self.workers.iter().filter_map(|(name, worker)| {
            let due = worker.in_flight.is_none() && self.needs_messages(name, worker);
            due.then_some(worker.next_send)
        });
        let lapses = self
            .workers
            .iter()
            .filter(|(name, worker)| !worker.lease_expired && self.has_runs(name))
            .map(|(_, worker)| {
                worker.grants_expire_at(self.claimed_at, self.ownership.prior_owners, &self.timing)
            });
        let retries = self.pending_txns.values().filter_map(|op| op.retry_at);
        let timers = sends.chain(lapses).chain(retries);
        let earliest = timers.chain(self.backoff_until).min();
        earliest.map_or(limit, |at| at.min(limit))
    }

    /// Whether any granted task may be running on a worker.
    fn has_runs(&self, worker: &WorkerId) -> bool {
        let mut granted = self.tasks.values();
        granted.any(|task| {
            task.row.worker() == Some(worker) && task.run.as_ref().is_some_and(|r| r.end.is_none())
        })
    }

    /// Whether the transaction that gives the shard back is under way or in doubt.
    fn is_releasing(&self) -> bool {
        let mut ops = self.pending_txns.values();
        ops.any(|op| op.kind == txn::TxnKind::ReleaseShard)
    }
}

/// Reads a task's row, or tells that it cannot be read.
fn parse_task_row(row: &Row, actions: &mut Vec<Action>) -> Option<(TaskRow, RowVersion)> {
    if let Ok(task) = serde_json::from_value::<TaskRow>(row.value.clone()) {
        return Some((task, row.version));
    }
    let key = row.key.clone();
    actions.push(Action::Notify(Notification::UnreadableRow { key }));
    None
}

/// The key of a task's row below the owner's shard.
fn task_key(ownership: &Ownership, task: &TaskId) -> String {
    key::task(&ownership.shard, task)
}
