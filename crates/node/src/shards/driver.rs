//! The state of the part that owns the shards, and its loop.

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

use crate::cx::Cx;
use crate::shards::input::Input;
use crate::shards::input::Reply;
use crate::shards::input::ShardStatus;
use crate::shards::input::Snapshot;
use crate::shards::input::TaskStatus;

/// How often owners are woken and the scheduler decides.
const TICK: Duration = Duration::from_millis(100);
/// How often the shards' rows are read.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// How often the rows below a shard are read again, for tasks whose hand-off nobody told of.
const RESCAN_INTERVAL: Duration = Duration::from_secs(30);

/// Of how many waiting tasks of a shard a snapshot says what holds them back; each answer looks at all
/// workers.
const MOST_EXPLAINED: usize = 50;

/// A shard whose owner runs here.
pub(super) struct Running {
    /// Its owner.
    pub owner: ShardOwner,
    /// When the rows below it were last asked for.
    pub scanned_at: Mono,
    /// Whether that read failed, so that it is repeated soon: it may have been to find a task whose
    /// start was decided.
    pub scan_failed: bool,
}

/// A start that waits until its task has been moved to the shard of its worker.
pub(super) struct Planned {
    pub shard: ShardId,
    pub worker: WorkerId,
    pub reserved: Size,
}

/// The state.
pub struct Driver {
    pub(super) cx: Arc<Cx>,
    pub(super) tx: mpsc::Sender<Input>,
    pub(super) sched: Sched,
    pub(super) claimer: Claimer,
    pub(super) running: Map<ShardId, Running>,
    pub(super) claiming: Set<ShardId>,
    /// The epoch of the last owner that was begun here for each shard.
    pub(super) begun: Map<ShardId, Epoch>,
    pub(super) views: Vec<ShardView>,
    pub(super) facts: VecDeque<(ShardId, Notification)>,
    pub(super) stopped: Vec<ShardId>,
    pub(super) asked: Map<TaskId, Vec<oneshot::Sender<Reply>>>,
    pub(super) planned: Map<TaskId, Planned>,
    pub(super) homes: Map<TaskId, ShardId>,
    pub(super) reading_shards: bool,
    pub(super) store_reachable: bool,
    pub(super) giving_back: bool,
    given_back: Vec<oneshot::Sender<()>>,
    read_at: Option<Mono>,
}

impl Driver {
    /// Makes the state of one run of the part.
    #[must_use]
    pub fn new(cx: Arc<Cx>, tx: mpsc::Sender<Input>) -> Self {
        let sched = Sched::new(cx.seed, sched::Config::default());
        let claimer = Claimer::new(cx.identity());
        Self {
            cx,
            tx,
            sched,
            claimer,
            running: Map::default(),
            claiming: Set::default(),
            begun: Map::default(),
            views: Vec::new(),
            facts: VecDeque::new(),
            stopped: Vec::new(),
            asked: Map::default(),
            planned: Map::default(),
            homes: Map::default(),
            reading_shards: false,
            store_reachable: true,
            giving_back: false,
            given_back: Vec::new(),
            read_at: None,
        }
    }

    /// Runs until `token` asks for the end.
    pub async fn run(mut self, rx: &mut mpsc::Receiver<Input>, token: CancellationToken) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut hosts = self.cx.hosts.subscribe();
        let mut doc = self.cx.doc.subscribe();
        self.set_document();
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(input) = rx.recv() => self.take_in(input),
                _ = ticks.tick() => self.tick(),
                Ok(()) = hosts.changed() => self.hosts_changed(),
                Ok(()) = doc.changed() => self.set_document(),
            }
            self.settle_facts();
        }
    }

    pub(super) fn now(&self) -> Mono {
        self.cx.clock.now()
    }

    pub(super) fn running_shards(&self) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.running.keys().cloned().collect();
        shards.sort();
        shards
    }

    /// Gives an event to the owner of a shard and carries out what it wants.
    pub(super) fn drive(&mut self, shard: &ShardId, event: Event, now: Mono) {
        let Some(running) = self.running.get_mut(shard) else {
            return;
        };
        let actions = running.owner.handle(event, now);
        let epoch = running.owner.ownership().epoch;
        self.carry_out(shard, epoch, actions);
    }

    /// Gives an event to the owner that asked for it; a later owner of the shard has another epoch.
    fn drive_at(&mut self, shard: &ShardId, epoch: Epoch, event: Event) {
        let same = |running: &Running| running.owner.ownership().epoch == epoch;
        if self.running.get(shard).is_some_and(same) {
            let now = self.now();
            self.drive(shard, event, now);
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::ShardRows { rows, sent } => self.shard_rows(rows, sent),
            Input::Claimed {
                claimed,
                sent,
                committed,
            } => self.claimed(claimed, sent, committed),
            Input::TaskRows {
                shard,
                epoch,
                rows,
                complete,
            } => {
                let same = |running: &Running| running.owner.ownership().epoch == epoch;
                if self.running.get(&shard).is_some_and(same) {
                    self.task_rows(&shard, rows, complete);
                }
            }
            Input::Settled {
                shard,
                epoch,
                op,
                settled,
            } => {
                self.drive_at(&shard, epoch, Event::Settled { op, settled });
            }
            Input::Answer {
                shard,
                epoch,
                worker,
                sequence,
                answer,
            } => {
                self.worker_answered(&shard, &worker, &answer);
                self.drive_at(
                    &shard,
                    epoch,
                    Event::Answer {
                        worker,
                        sequence,
                        answer,
                    },
                );
            }
            Input::Asked { request, reply } => self.asked(request, reply),
            Input::GiveBack { done } => self.give_back(done),
            Input::Snapshot { reply } => {
                // Whoever asked may have gone.
                let _ = reply.send(self.snapshot());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL) {
            self.read_at = Some(now);
            self.read_shards();
            self.exchange_summaries(now);
            self.empty_leaving(now);
        }
        for shard in self.running_shards() {
            let Some(running) = self.running.get(&shard) else {
                continue;
            };
            let loaded = running.owner.is_loaded();
            let due = if loaded && !running.scan_failed {
                RESCAN_INTERVAL
            } else {
                READ_INTERVAL
            };
            if now.since(running.scanned_at) >= due {
                self.read_tasks(&shard, !loaded);
            }
            self.drive(&shard, Event::Tick, now);
        }
        self.settle_facts();
        self.decide(now);
    }

    fn hosts_changed(&mut self) {
        let now = self.now();
        for shard in self.running_shards() {
            self.list_workers(&shard, now);
        }
        self.relist_workers();
    }

    fn give_back(&mut self, done: oneshot::Sender<()>) {
        self.giving_back = true;
        self.given_back.push(done);
        let now = self.now();
        for shard in self.running_shards() {
            self.drive(&shard, Event::ReleaseShard, now);
        }
    }

    /// Works off what owners have told, which may make them tell more, then drops ended ones.
    fn settle_facts(&mut self) {
        while let Some((shard, fact)) = self.facts.pop_front() {
            self.fact(&shard, fact);
        }
        for shard in std::mem::take(&mut self.stopped) {
            self.forget_shard(&shard);
        }
        if self.giving_back && self.running.is_empty() && self.claiming.is_empty() {
            for done in self.given_back.drain(..) {
                let _ = done.send(());
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let status = |view: &ShardView| {
            let running = self.running.get(&view.shard);
            let owner = view.row.as_ref().and_then(|row| row.owner.as_ref());
            let now = self.now();
            let hosts = self.cx.hosts.borrow();
            let workers = hosts
                .workers
                .iter()
                .filter(|entry| entry.rack == view.shard)
                .count();
            let here = running.is_some_and(|running| running.owner.may_act(now));
            ShardStatus {
                shard: view.shard.clone(),
                owner: owner.map(|owner| owner.daemon.clone()),
                epoch: view.row.as_ref().map_or(Epoch(0), |row| row.epoch),
                here,
                workers,
                tasks: running
                    .map(|running| self.task_statuses(running))
                    .unwrap_or_default(),
            }
        };
        Snapshot {
            shards: self.views.iter().map(status).collect(),
            store_reachable: self.store_reachable,
            sched: serde_json::to_value(self.sched.dump()).unwrap_or_default(),
            recent: self
                .sched
                .recent_decisions()
                .filter_map(|one| serde_json::to_value(one).ok())
                .collect(),
        }
    }
}

impl Driver {
    fn task_statuses(&self, running: &Running) -> Vec<TaskStatus> {
        let owner = &running.owner;
        let now = self.now();
        let mut explained = 0;
        let status = |row: &lease::record::TaskRow| {
            let waits = row.worker().is_none() && explained < MOST_EXPLAINED;
            explained += usize::from(waits);
            let held = waits.then(|| self.sched.wait_reason(&row.spec.task, now));
            TaskStatus {
                task: row.spec.task.clone(),
                attempt: row.attempt,
                worker: row.worker().cloned(),
                reserved: match &row.phase {
                    lease::record::Phase::Assigned { reserved, .. } => Some(*reserved),
                    _ => None,
                },
                in_doubt: owner.is_in_doubt(&row.spec.task),
                held: held.flatten().map(|held| held.to_string()),
            }
        };
        owner.tasks().map(status).collect()
    }
}
