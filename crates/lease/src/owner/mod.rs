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
mod op;
mod requests;
mod task;
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
pub use event::Cause;
pub use event::Event;
pub use event::Fact;
pub use event::ListedWorker;
pub use event::Reason;
pub use event::Refusal;
pub use event::Submission;

use self::op::Op;
use self::task::Task;
use self::worker::Worker;
use crate::claim::Claimed;
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
    claimed: Claimed,
    timing: Timing,
    /// When the claim was known to be committed.
    since: Mono,
    /// When the newest read was sent that showed this owner in the shard's row.
    verified: Mono,
    loaded: bool,
    store_reachable: bool,
    giving_back: bool,
    stopped: Option<Reason>,
    tasks: BTreeMap<TaskId, Task>,
    workers: BTreeMap<WorkerId, Worker>,
    ops: BTreeMap<u64, Op>,
    /// Counts the transactions, for their ids.
    last_op: u64,
    /// When the next transaction may be begun, after one was refused.
    hold_until: Option<Mono>,
}

impl ShardOwner {
    /// Makes the owner of a shard whose claim was sent at `sent` and is committed at `now`.
    #[must_use]
    pub fn new(claimed: Claimed, timing: Timing, sent: Mono, now: Mono) -> Self {
        Self {
            claimed,
            timing,
            since: now,
            verified: sent,
            loaded: false,
            store_reachable: true,
            giving_back: false,
            stopped: None,
            tasks: BTreeMap::new(),
            workers: BTreeMap::new(),
            ops: BTreeMap::new(),
            last_op: 0,
            hold_until: None,
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
            self.stop(Reason::Lapsed, &mut actions);
            return actions;
        }
        self.dispatch(event, now, &mut actions);
        if self.stopped.is_none() {
            self.lapse_workers(now, &mut actions);
            self.commit_due(now, &mut actions);
            self.send_due(now, &mut actions);
        }
        actions
    }

    fn dispatch(&mut self, event: Event, now: Mono, actions: &mut Vec<Action>) {
        match event {
            Event::Loaded(rows) => self.load(rows, now, actions),
            Event::Rows(rows) => self.adopt(rows, actions),
            Event::ShardRow { row, sent } => self.verify(row, sent, actions),
            Event::Settled { op, settled } => self.settled(&op, settled, now, actions),
            Event::Answer {
                worker,
                sequence,
                answer,
            } => self.answered(&worker, sequence, answer, now, actions),
            Event::Listed(list) => self.list(list, actions),
            Event::Lost(worker) => {
                self.workers.entry(worker.clone()).or_default();
                self.lose(&worker, actions);
            }
            Event::Store { reachable } => self.store_reachable = reachable,
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
            Event::GiveBack => self.giving_back = true,
            Event::Tick => {}
        }
    }

    fn stop(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        self.stopped = Some(reason);
        actions.push(Action::StepDown(reason));
    }

    fn load(&mut self, rows: Vec<Row>, now: Mono, actions: &mut Vec<Action>) {
        if self.loaded {
            return self.adopt(rows, actions);
        }
        self.loaded = true;
        for row in rows {
            if let Some((row, version)) = parse(&row, actions) {
                self.insert(row, version, actions);
            }
        }
        for worker in self.workers.values_mut() {
            worker.next_send = now;
        }
    }

    /// Takes in queued tasks that were handed over by another owner.
    fn adopt(&mut self, rows: Vec<Row>, actions: &mut Vec<Action>) {
        if !self.loaded {
            return;
        }
        for row in rows {
            let Some((row, version)) = parse(&row, actions) else {
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
            Phase::Queued => actions.push(Action::Notify(Fact::Queued { task: task.clone() })),
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
    fn verify(&mut self, row: Option<Row>, sent: Mono, actions: &mut Vec<Action>) {
        let ours = |row: ShardRow| {
            row.epoch == self.claimed.epoch && row.owner.as_ref() == Some(&self.claimed.owner)
        };
        let value = row.and_then(|row| serde_json::from_value(row.value).ok());
        if value.is_some_and(ours) {
            self.verified = self.verified.max(sent);
        } else if sent >= self.since && !self.gives_back_now() {
            self.stop(Reason::Superseded, actions);
        }
    }

    fn list(&mut self, list: Vec<ListedWorker>, actions: &mut Vec<Action>) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for entry in list {
            let leaving = entry.state == HostState::Leaving;
            let worker = self.workers.entry(entry.worker.clone()).or_default();
            if leaving && !worker.leaving {
                let worker = entry.worker.clone();
                actions.push(Action::Notify(Fact::Leaving { worker }));
            }
            worker.listed = true;
            worker.leaving = leaving;
            worker.capacity = entry.capacity;
        }
    }

    /// Returns whether this owner may still act, by its own clock.
    #[must_use]
    pub fn may_act(&self, now: Mono) -> bool {
        now.since(self.verified) < self.timing.owner_without_store
    }

    /// Returns what this owner owns, and under which epoch.
    #[must_use]
    pub const fn claimed(&self) -> &Claimed {
        &self.claimed
    }

    /// Returns whether the shard's rows have been read.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns why this owner has stopped, if it has.
    #[must_use]
    pub const fn stopped(&self) -> Option<Reason> {
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
        self.tasks.get(task).is_some_and(|task| task.op.is_some())
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
        if !self.loaded || !known.takes_tasks(now, &self.timing) || self.runs_stray(known) {
            return Size::ZERO;
        }
        known.capacity.saturating_sub(&self.reserved(worker))
    }

    /// Returns what is reserved on a worker, by granted tasks and by grants that are under way or in
    /// doubt.
    #[must_use]
    pub fn reserved(&self, worker: &WorkerId) -> Size {
        let granted = self.tasks.values().map(|task| &task.row);
        let in_doubt = self.ops.values().flat_map(|op| op.kind.moves());
        let starts = in_doubt.filter(|moved| moved.life.is_some());
        granted
            .chain(starts.map(|moved| &moved.row))
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
        let limit = self.verified.after(self.timing.owner_without_store);
        let sends = self.workers.iter().filter_map(|(name, worker)| {
            let due = worker.in_flight.is_none() && self.converses(name, worker);
            due.then_some(worker.next_send)
        });
        let lapses = self
            .workers
            .iter()
            .filter(|(name, worker)| !worker.lapsed && self.has_runs(name))
            .map(|(_, worker)| worker.grants_lapse(self.since, self.claimed.prior, &self.timing));
        let retries = self.ops.values().filter_map(|op| op.retry_at);
        let timers = sends.chain(lapses).chain(retries);
        let earliest = timers.chain(self.hold_until).min();
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
    fn gives_back_now(&self) -> bool {
        let mut ops = self.ops.values();
        ops.any(|op| op.kind == op::Kind::GiveBack)
    }
}

/// Reads a task's row, or tells that it cannot be read.
fn parse(row: &Row, actions: &mut Vec<Action>) -> Option<(TaskRow, RowVersion)> {
    if let Ok(task) = serde_json::from_value::<TaskRow>(row.value.clone()) {
        return Some((task, row.version));
    }
    let key = row.key.clone();
    actions.push(Action::Notify(Fact::Unreadable { key }));
    None
}

/// The key of a task's row below the owner's shard.
fn task_key(claimed: &Claimed, task: &TaskId) -> String {
    key::task(&claimed.shard, task)
}
