//! Handles tasks that cannot start for lack of free capacity: preempts batch tasks, reserves a
//! worker or hands the task off to another daemon.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::ShardId;

use crate::decision::Decision;
use crate::decision::Reason;
use crate::decision::UnrunnableReason;
use crate::input::PeerShard;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::preemption;
use crate::round;
use crate::round::Round;
use crate::round::StartOutcome;
use crate::sched::Sched;
use crate::sched::is_queued_in;
use crate::task::Phase;
use crate::team;
use crate::worker::WorkerReservation;

/// How long a worker stays reserved for a task while batch tasks are evicted for it.
const EVICTION_RESERVATION: Duration = Duration::from_secs(10);
/// How much longer than expected a worker stays reserved for a large task.
const RESERVATION_GRACE: Duration = Duration::from_secs(60);
/// The fraction of the largest worker above which a task counts as large. Smaller tasks need no
/// reservation: ending tasks free enough capacity for them.
const LARGE_TASK_SHARE: f64 = 0.25;
/// The percentage of workers that may be reserved for large tasks at the same time.
const MAX_RESERVED_PERCENT: usize = 5;
/// How many tasks of a blocked lane one round considers for preemption.
const URGENT_LOOKAHEAD: usize = 16;

impl Sched {
    /// Handles a lane whose oldest task could not start because of `outcome`.
    pub(crate) fn handle_blocked(
        &mut self,
        lane: LaneKey,
        outcome: StartOutcome,
        round: &mut Round,
    ) {
        let Some(head) = self.head(lane) else {
            return;
        };
        let task = &self.cluster.tasks[head];
        let is_urgent = task.is_urgent();
        let preempts = is_urgent || self.cluster.classes[task.class].is_service();
        if !is_urgent {
            self.mark_blocked(lane, round.now);
        }
        match outcome {
            StartOutcome::NoCapacity if preempts => self.preempt_for_lane(lane, false, round),
            StartOutcome::Share if preempts => self.preempt_for_lane(lane, true, round),
            StartOutcome::NoCapacity => self.wait_for_capacity(head, round),
            StartOutcome::Share => self.wait_for_share(head, round.now),
            StartOutcome::Started | StartOutcome::Unrunnable | StartOutcome::Quota => {}
        }
    }

    /// Evicts batch tasks for the oldest tasks of a lane, or hands off those that no eviction
    /// helps.
    fn preempt_for_lane(&mut self, lane: LaneKey, within_half: bool, round: &mut Round) {
        let tasks = &self.cluster.tasks;
        let waiting: Vec<TaskKey> = self
            .queue
            .keys(lane)
            .filter(|key| is_queued_in(tasks.get(*key), lane))
            .take(URGENT_LOOKAHEAD)
            .collect();
        for key in waiting {
            if self.cluster.tasks[key].reserved_worker.is_some() {
                continue;
            }
            if self.preempt(key, within_half, round) {
                continue;
            }
            if within_half || !self.hand_off(key, round) {
                // Other tasks of the lane need about the same, so they would not start either.
                self.mark_blocked(lane, round.now);
                return;
            }
        }
    }

    fn preempt(&mut self, key: TaskKey, within_half: bool, round: &mut Round) -> bool {
        let reservation = self.cluster.reservation(key);
        let request = round::request(&self.cluster, &self.failed_jobs, key, reservation);
        let team = self.cluster.tasks[key].team;
        let half = within_half.then(|| self.cluster.teams[team].half);
        let Some(victims) = preemption::victims(&self.cluster, &request, half, round.now) else {
            return false;
        };
        let evicting = |key: TaskKey| {
            self.cluster.tasks[key]
                .run()
                .is_some_and(|run| run.evicting)
        };
        let count = victims
            .tasks
            .iter()
            .filter(|(key, _)| !evicting(*key))
            .count();
        if count > round.evictions {
            return true;
        }
        round.evictions -= count;
        for (victim, lost_ms) in &victims.tasks {
            let why = Reason::Preemption { lost_ms: *lost_ms };
            self.evict(*victim, why, &mut round.decisions);
        }
        let expected_at = round.now.after(EVICTION_RESERVATION);
        self.reserve_worker(
            victims.worker,
            WorkerReservation {
                task: key,
                evicting: true,
                expected_at,
                expires_at: expected_at,
            },
        );
        true
    }

    /// Hands off a task that has waited to a shard of another daemon with free capacity, or
    /// reserves a worker for it.
    fn wait_for_capacity(&mut self, key: TaskKey, round: &mut Round) {
        let task = &self.cluster.tasks[key];
        let waited = round.now.since(task.submitted_at);
        if task.reserved_worker.is_some() {
            return;
        }
        if waited >= self.cfg.hand_off_after && self.hand_off(key, round) {
            return;
        }
        let max_reserved = (self.cluster.workers.len() * MAX_RESERVED_PERCENT / 100).max(1);
        if waited < self.cfg.reserve_after || self.reserved_workers.len() >= max_reserved {
            return;
        }
        let reservation = self.cluster.reservation(key);
        let largest = self.cluster.classes[self.cluster.tasks[key].class].max_capacity;
        if reservation.dominant_share(&largest) <= LARGE_TASK_SHARE {
            return;
        }
        let request = round::request(&self.cluster, &self.failed_jobs, key, reservation);
        if let Some((worker, expected_at)) =
            preemption::earliest_available(&self.cluster, &request, round.now)
        {
            let wait = expected_at.since(round.now);
            let expires_at = expected_at.after(wait + RESERVATION_GRACE);
            self.reserve_worker(
                worker,
                WorkerReservation {
                    task: key,
                    evicting: false,
                    expected_at,
                    expires_at,
                },
            );
        }
    }

    /// Reserves a part of its half's share for a task that has waited, so that smaller tasks of the
    /// same half cannot use up the share forever.
    fn wait_for_share(&mut self, key: TaskKey, now: Mono) {
        let task = &self.cluster.tasks[key];
        if now.since(task.submitted_at) < self.cfg.reserve_after {
            return;
        }
        let reservation = self.cluster.reservation(key);
        let half = self.cluster.teams[task.team].half;
        let reserved = &mut self.cluster.halves[half.0].reserved;
        if reserved.is_none() {
            *reserved = Some((key, reservation));
        }
    }

    /// Reserves a worker for a task and releases any previous reservation of that worker.
    fn reserve_worker(&mut self, worker: WorkerKey, reservation: WorkerReservation) {
        if let Some(previous) = self.cluster.workers[worker].reserved_for {
            self.release_reserved_worker(previous.task);
        }
        self.cluster.tasks[reservation.task].reserved_worker = Some(worker);
        self.cluster.workers[worker].reserved_for = Some(reservation);
        self.reserved_workers.push(worker);
    }

    /// Releases the worker and the part of a share that are reserved for a task, if any.
    pub(crate) fn release_reserved_worker(&mut self, key: TaskKey) {
        for half in &mut self.cluster.halves {
            if half.reserved.is_some_and(|(task, _)| task == key) {
                half.reserved = None;
                self.cluster.capacity_generation += 1;
            }
        }
        let Some(worker) = self.cluster.tasks[key].reserved_worker.take() else {
            return;
        };
        self.reserved_workers.retain(|reserved| *reserved != worker);
        if let Some(worker) = self.cluster.workers.get_mut(worker) {
            worker.reserved_for = None;
            self.cluster.capacity_generation += 1;
        }
    }

    /// Releases reservations that have expired or whose worker accepts no new tasks.
    pub(crate) fn expire_worker_reservations(&mut self, now: Mono) {
        for key in self.reserved_workers.clone() {
            let Some(worker) = self.cluster.workers.get(key) else {
                self.reserved_workers.retain(|reserved| *reserved != key);
                self.release_reservations_of(key);
                continue;
            };
            let reservation = worker.reserved_for;
            if let Some(reservation) = reservation
                && (now >= reservation.expires_at || !worker.is_schedulable())
            {
                self.release_reserved_worker(reservation.task);
            }
        }
    }

    fn release_reservations_of(&mut self, worker: WorkerKey) {
        for task in self.cluster.tasks.values_mut() {
            if task.reserved_worker == Some(worker) {
                task.reserved_worker = None;
            }
        }
    }

    /// Hands off a task to the shard of another daemon that has the most free capacity.
    fn hand_off(&mut self, key: TaskKey, round: &mut Round) -> bool {
        let reservation = self.cluster.reservation(key);
        let Some(to_shard) = self.claim_peer_capacity(key, &reservation) else {
            return false;
        };
        self.detach(key);
        let task = &mut self.cluster.tasks[key];
        task.phase = Phase::Moving;
        round.decisions.push(Decision::HandOff {
            task: task.id.clone(),
            to_shard,
            why: Reason::CapacityElsewhere,
        });
        true
    }

    /// Chooses a shard and deducts the task from its last summary, so that a queue is not handed
    /// off as a whole before the next summary arrives.
    fn claim_peer_capacity(&mut self, key: TaskKey, reservation: &Size) -> Option<ShardId> {
        let class = &self.cluster.classes[self.cluster.tasks[key].class];
        let fits_own_worker = self.could_fit(key, reservation);
        let shards = self.peers.values_mut().flat_map(|peer| &mut peer.shards);
        let candidates = shards.filter(|shard| {
            let has_capacity = reservation.fits(&shard.free);
            let fits_only_there = !fits_own_worker && reservation.fits(&shard.largest);
            class.allows(&shard.place) && (has_capacity || fits_only_there)
        });
        let target = candidates.max_by(|left, right| compare_free(left, right))?;
        target.free = target.free.saturating_sub(reservation);
        Some(target.shard.clone())
    }

    /// Returns whether any of this daemon's workers could run the task if the worker were empty.
    fn could_fit(&self, key: TaskKey, reservation: &Size) -> bool {
        let class = &self.cluster.classes[self.cluster.tasks[key].class];
        let pools = class.sites.iter().map(|site| &self.cluster.pools[site.0]);
        let mut keys = pools.flat_map(|pool| pool.plain.iter().chain(&pool.accelerated));
        keys.any(|key| reservation.fits(&self.cluster.workers[*key].capacity))
    }

    /// Returns whether a task could ever run in the known cluster, and why not otherwise.
    pub(crate) fn check_runnable(
        &self,
        key: TaskKey,
        reservation: &Size,
    ) -> Result<(), UnrunnableReason> {
        let task = &self.cluster.tasks[key];
        let class = &self.cluster.classes[task.class];
        if class.rules.is_none() {
            return Err(UnrunnableReason::UnknownClass);
        }
        let team = &self.cluster.teams[task.team];
        let Some(rules) = &team.rules else {
            return Err(UnrunnableReason::UnknownTeam);
        };
        if !reservation.fits(&rules.quota) {
            return Err(UnrunnableReason::OverQuota {
                needed: *reservation,
                quota: rules.quota,
            });
        }
        let half = &self.cluster.halves[team.half.0];
        let share = team::percent_of(&self.cluster.total_capacity(), half.percent);
        let peers = self.peers.values().flat_map(|peer| &peer.shards);
        let mut shards = peers.filter(|shard| class.allows(&shard.place));
        if self.could_fit(key, reservation)
            || shards.clone().any(|shard| reservation.fits(&shard.largest))
        {
            if reservation.fits(&share) {
                return Ok(());
            }
            return Err(UnrunnableReason::OverShare {
                needed: *reservation,
                share,
            });
        }
        let largest = shards
            .clone()
            .fold(class.max_capacity, |size, shard| size.max(&shard.largest));
        if largest == Size::ZERO && shards.next().is_none() {
            return Err(UnrunnableReason::NoAllowedWorker);
        }
        Err(UnrunnableReason::TooLarge {
            needed: *reservation,
            largest,
        })
    }
}

fn compare_free(left: &PeerShard, right: &PeerShard) -> std::cmp::Ordering {
    let free = |shard: &PeerShard| (shard.free.cpu_millis, shard.free.memory_mib);
    free(left).cmp(&free(right))
}
