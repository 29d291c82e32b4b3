//! The state and the event loop of the part that owns shards.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lease::ShardOwner;
use lease::claim::Claimer;
use lease::claim::ShardView;
use lease::owner::Event;
use lease::owner::Notification;
use model::Map;
use model::Mono;
use model::Set;
use model::Size;
use model::id::Epoch;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use sched::Sched;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::shards::input::Input;
use crate::shards::input::Reply;
use crate::shards::input::ShardStatus;
use crate::shards::input::Snapshot;
use crate::shards::input::TaskStatus;

/// Interval at which owners receive a tick and the scheduler runs.
const TICK: Duration = Duration::from_millis(100);
/// Interval between reads of the shards' rows, and between retries of failed reads.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between rescans of the task rows of a shard, which find tasks whose hand-off
/// notification was lost.
const RESCAN_INTERVAL: Duration = Duration::from_secs(30);

/// How many waiting tasks of a shard get a wait reason in a snapshot; computing one examines all
/// workers.
const MAX_EXPLAINED_TASKS: usize = 50;

/// A shard whose owner runs in this daemon.
pub(super) struct OwnedShard {
    /// The state machine that owns the shard.
    pub owner: ShardOwner,
    /// When its task rows were last requested.
    pub scanned_at: Mono,
    /// Whether that read failed. It is then repeated soon, because it may have been meant to find a
    /// task whose start is already decided.
    pub scan_failed: bool,
}

/// A decided start that waits until its task has been handed off to the shard of its worker.
pub(super) struct PlannedStart {
    pub shard: ShardId,
    pub worker: WorkerId,
    pub reserved: Size,
}

/// The part that owns shards: the owners, the scheduler, and the callers that wait for replies.
pub struct Driver {
    pub(super) cx: Arc<DaemonContext>,
    pub(super) tx: mpsc::Sender<Input>,
    pub(super) sched: Sched,
    pub(super) claimer: Claimer,
    pub(super) owned: Map<ShardId, OwnedShard>,
    pub(super) claiming: Set<ShardId>,
    /// For each shard, the epoch of the last owner that was started here.
    pub(super) last_started: Map<ShardId, Epoch>,
    pub(super) shard_views: Vec<ShardView>,
    pub(super) notifications: VecDeque<(ShardId, Notification)>,
    pub(super) stopped_shards: Vec<ShardId>,
    pub(super) pending_replies: Map<TaskId, Vec<oneshot::Sender<Reply>>>,
    pub(super) planned_starts: Map<TaskId, PlannedStart>,
    pub(super) task_shards: Map<TaskId, ShardId>,
    pub(super) reading_shards: bool,
    pub(super) store_reachable: bool,
    pub(super) releasing: bool,
    release_waiters: Vec<oneshot::Sender<()>>,
    last_read_at: Option<Mono>,
}

impl Driver {
    /// Creates the state for one run of the part.
    #[must_use]
    pub fn new(cx: Arc<DaemonContext>, tx: mpsc::Sender<Input>) -> Self {
        let sched = Sched::new(cx.seed, sched::Config::default());
        let claimer = Claimer::new(cx.identity());
        Self {
            cx,
            tx,
            sched,
            claimer,
            owned: Map::default(),
            claiming: Set::default(),
            last_started: Map::default(),
            shard_views: Vec::new(),
            notifications: VecDeque::new(),
            stopped_shards: Vec::new(),
            pending_replies: Map::default(),
            planned_starts: Map::default(),
            task_shards: Map::default(),
            reading_shards: false,
            store_reachable: true,
            releasing: false,
            release_waiters: Vec::new(),
            last_read_at: None,
        }
    }

    /// Runs until `token` is cancelled.
    pub async fn run(mut self, rx: &mut mpsc::Receiver<Input>, token: CancellationToken) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut hosts = self.cx.hosts.subscribe();
        let mut doc = self.cx.doc.subscribe();
        self.set_document();
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(input) = rx.recv() => self.handle_input(input),
                _ = ticks.tick() => self.tick(),
                Ok(()) = hosts.changed() => self.handle_host_list(),
                Ok(()) = doc.changed() => self.set_document(),
            }
            self.process_notifications();
        }
    }

    pub(super) fn now(&self) -> Mono {
        self.cx.clock.now()
    }

    pub(super) fn owned_shard_ids(&self) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.owned.keys().cloned().collect();
        shards.sort();
        shards
    }

    /// Passes an event to the owner of a shard and executes the resulting actions.
    pub(super) fn drive(&mut self, shard: &ShardId, event: Event, now: Mono) {
        let Some(owned) = self.owned.get_mut(shard) else {
            return;
        };
        let actions = owned.owner.handle(event, now);
        let epoch = owned.owner.ownership().epoch;
        self.execute(shard, epoch, actions);
    }

    /// Passes an event to the owner that caused it. A later owner of the same shard has another
    /// epoch and does not receive it.
    fn drive_at_epoch(&mut self, shard: &ShardId, epoch: Epoch, event: Event) {
        let same_epoch = |owned: &OwnedShard| owned.owner.ownership().epoch == epoch;
        if self.owned.get(shard).is_some_and(same_epoch) {
            let now = self.now();
            self.drive(shard, event, now);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::ShardRows { rows, sent } => self.handle_shard_rows(rows, sent),
            Input::Claimed {
                claimed,
                sent,
                committed,
            } => self.handle_claim_result(claimed, sent, committed),
            Input::TaskRows {
                shard,
                epoch,
                rows,
                complete,
            } => {
                let same_epoch = |owned: &OwnedShard| owned.owner.ownership().epoch == epoch;
                if self.owned.get(&shard).is_some_and(same_epoch) {
                    self.handle_task_rows(&shard, rows, complete);
                }
            }
            Input::Settled {
                shard,
                epoch,
                op,
                settled,
            } => {
                self.drive_at_epoch(&shard, epoch, Event::Settled { op, settled });
            }
            Input::Answer {
                shard,
                epoch,
                worker,
                sequence,
                answer,
            } => {
                self.handle_worker_answer(&shard, &worker, &answer);
                self.drive_at_epoch(
                    &shard,
                    epoch,
                    Event::Answer {
                        worker,
                        sequence,
                        answer,
                    },
                );
            }
            Input::Request { request, reply } => self.handle_request(request, reply),
            Input::ReleaseAll { done } => self.release_all(done),
            Input::Snapshot { reply } => {
                // The requester may have gone away.
                let _ = reply.send(self.snapshot());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self
            .last_read_at
            .is_none_or(|at| now.since(at) >= READ_INTERVAL)
        {
            self.last_read_at = Some(now);
            self.read_shards();
            self.exchange_summaries(now);
            self.evict_from_leaving_workers(now);
        }
        for shard in self.owned_shard_ids() {
            let Some(owned) = self.owned.get(&shard) else {
                continue;
            };
            let loaded = owned.owner.is_loaded();
            let read_interval = if loaded && !owned.scan_failed {
                RESCAN_INTERVAL
            } else {
                READ_INTERVAL
            };
            if now.since(owned.scanned_at) >= read_interval {
                self.read_task_rows(&shard, !loaded);
            }
            self.drive(&shard, Event::Tick, now);
        }
        self.process_notifications();
        self.run_scheduler(now);
    }

    fn handle_host_list(&mut self) {
        let now = self.now();
        for shard in self.owned_shard_ids() {
            self.send_worker_list(&shard, now);
        }
        self.update_all_workers();
    }

    fn release_all(&mut self, done: oneshot::Sender<()>) {
        self.releasing = true;
        self.release_waiters.push(done);
        let now = self.now();
        for shard in self.owned_shard_ids() {
            self.drive(&shard, Event::ReleaseShard, now);
        }
    }

    /// Processes the notifications of the owners, including those that this produces, then removes
    /// the owners that have stepped down.
    fn process_notifications(&mut self) {
        while let Some((shard, notification)) = self.notifications.pop_front() {
            self.handle_notification(&shard, notification);
        }
        for shard in std::mem::take(&mut self.stopped_shards) {
            self.remove_shard(&shard);
        }
        if self.releasing && self.owned.is_empty() && self.claiming.is_empty() {
            for done in self.release_waiters.drain(..) {
                let _ = done.send(());
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let status = |view: &ShardView| {
            let owned = self.owned.get(&view.shard);
            let owner = view.row.as_ref().and_then(|row| row.owner.as_ref());
            let now = self.now();
            let hosts = self.cx.hosts.borrow();
            let workers = hosts
                .workers
                .iter()
                .filter(|entry| entry.rack == view.shard)
                .count();
            let here = owned.is_some_and(|owned| owned.owner.may_act(now));
            ShardStatus {
                shard: view.shard.clone(),
                owner: owner.map(|owner| owner.daemon.clone()),
                epoch: view.row.as_ref().map_or(Epoch(0), |row| row.epoch),
                here,
                workers,
                tasks: owned
                    .map(|owned| self.task_statuses(owned))
                    .unwrap_or_default(),
            }
        };
        Snapshot {
            shards: self.shard_views.iter().map(status).collect(),
            store_reachable: self.store_reachable,
            sched: serde_json::to_value(self.sched.dump()).unwrap_or_default(),
            recent: self
                .sched
                .recent_decisions()
                .filter_map(|decision| serde_json::to_value(decision).ok())
                .collect(),
        }
    }
}

impl Driver {
    fn task_statuses(&self, owned: &OwnedShard) -> Vec<TaskStatus> {
        let owner = &owned.owner;
        let now = self.now();
        let mut explained = 0;
        let status = |row: &lease::record::TaskRow| {
            let explain = row.worker().is_none() && explained < MAX_EXPLAINED_TASKS;
            explained += usize::from(explain);
            let reason = explain.then(|| self.sched.wait_reason(&row.spec.task, now));
            TaskStatus {
                task: row.spec.task.clone(),
                attempt: row.attempt,
                worker: row.worker().cloned(),
                reserved: match &row.phase {
                    lease::record::Phase::Assigned { reserved, .. } => Some(*reserved),
                    _ => None,
                },
                in_doubt: owner.is_in_doubt(&row.spec.task),
                wait_reason: reason.flatten().map(|reason| reason.to_string()),
            }
        };
        owner.tasks().map(status).collect()
    }
}
