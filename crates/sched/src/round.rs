//! One round of decisions: which tasks start, and in which order.
//!
//! Urgent tasks start first, by age. Then teams take turns by their weighted dominant share, within
//! quotas and the shares of the halves. A task that does not fit blocks only its own lane.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use model::Mono;
use model::Priority;
use model::Set;
use model::Size;

use crate::cluster::Cluster;
use crate::decision::Budget;
use crate::decision::Decision;
use crate::decision::Reason;
use crate::decision::RecentDecision;
use crate::decision::UnrunnableReason;
use crate::health::FailedJobs;
use crate::key::ClassKey;
use crate::key::LaneKey;
use crate::key::TaskKey;
use crate::key::TeamKey;
use crate::key::WorkerKey;
use crate::placement;
use crate::placement::PlacementContext;
use crate::placement::PlacementRequest;
use crate::sched::Sched;
use crate::task::Phase;
use crate::team;

/// How long a blocked lane is skipped unless capacity may have become free.
const BLOCKED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How many unrunnable tasks are checked again in one round.
const RECHECKS_PER_ROUND: usize = 16;

/// The remaining budget and the results of a round.
#[derive(Debug)]
pub(crate) struct Round {
    /// The time of the round.
    pub(crate) now: Mono,
    /// The remaining number of starts.
    pub(crate) starts: usize,
    /// The remaining number of evictions.
    pub(crate) evictions: usize,
    /// The decisions made so far.
    pub(crate) decisions: Vec<Decision>,
    /// Classes, reservations and priorities for which no worker was found in this round.
    no_capacity: Set<(ClassKey, Size, Priority)>,
}

/// The outcome of an attempt to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// The task starts.
    Started,
    /// No worker can start it now.
    NoCapacity,
    /// The quota of its team is used up.
    Quota,
    /// The share of its half is used up.
    Share,
    /// No worker could ever run it.
    Unrunnable,
}

impl Sched {
    /// Decides which tasks to start, throttle, evict or hand off and which workers to quarantine or
    /// readmit at `now`.
    pub fn decide(&mut self, now: Mono, budget: Budget) -> Vec<Decision> {
        self.now = self.now.max(now);
        if !self.has_document {
            return Vec::new();
        }
        let mut round = Round {
            now,
            starts: budget.starts,
            evictions: budget.evictions,
            decisions: Vec::new(),
            no_capacity: Set::default(),
        };
        self.expire_worker_reservations(now);
        self.end_delays(now);
        self.control(now, &mut round.evictions, &mut round.decisions);
        self.quarantine(now, &mut round.decisions);
        if round.starts > 0 {
            self.start_urgent(&mut round);
            self.start_by_fair_share(&mut round);
            self.recheck_unrunnable(&mut round);
        }
        self.record_decisions(now, &round.decisions);
        round.decisions
    }

    fn end_delays(&mut self, now: Mono) {
        while let Some(key) = self.queue.pop_delayed(now) {
            let task = self.cluster.tasks.get(key);
            if task.is_some_and(|task| matches!(task.phase, Phase::Delayed)) {
                self.push_to_lane(key, false);
            }
        }
    }

    fn record_decisions(&mut self, now: Mono, decisions: &[Decision]) {
        for decision in decisions {
            if self.recent_decisions.len() >= self.cfg.max_recent {
                self.recent_decisions.pop_front();
            }
            self.recent_decisions.push_back(RecentDecision {
                at: now,
                decision: decision.clone(),
            });
        }
    }

    fn start_urgent(&mut self, round: &mut Round) {
        for lane in self.sort_lanes(self.queue.urgent.clone()) {
            if !self.is_blocked(lane, round.now) {
                self.start_lane(lane, round);
            }
        }
    }

    /// Starts tasks of one lane until one of them cannot start.
    fn start_lane(&mut self, lane: LaneKey, round: &mut Round) {
        while round.starts > 0
            && let Some(key) = self.head(lane)
        {
            match self.try_start(key, Reason::Urgent, round) {
                StartOutcome::Started | StartOutcome::Unrunnable => {}
                outcome => {
                    self.handle_blocked(lane, outcome, round);
                    return;
                }
            }
        }
    }

    /// Starts tasks of the teams in turn, the team with the smallest weighted share first.
    fn start_by_fair_share(&mut self, round: &mut Round) {
        let total_capacity = self.cluster.total_capacity();
        let mut turns: BinaryHeap<Reverse<(u64, TeamKey)>> = self
            .cluster
            .teams
            .iter()
            .filter(|(_, team)| !team.lanes.is_empty())
            .map(|(key, team)| Reverse((team.weighted_share(&total_capacity), key)))
            .collect();
        while round.starts > 0
            && let Some(Reverse((share, key))) = turns.pop()
        {
            if self.start_next_of(key, share, round) {
                let share = self.cluster.teams[key].weighted_share(&total_capacity);
                turns.push(Reverse((share, key)));
            }
        }
    }

    /// Starts one task of a team, services before batch tasks and older before younger ones.
    fn start_next_of(&mut self, team: TeamKey, share: u64, round: &mut Round) -> bool {
        let why = Reason::FairShare {
            share_permille: share / 1_000_000,
        };
        for lane in self.sort_lanes(self.cluster.teams[team].lanes.clone()) {
            if !self.should_try(lane, round.now) {
                continue;
            }
            while let Some(key) = self.head(lane) {
                match self.try_start(key, why, round) {
                    StartOutcome::Started => return true,
                    StartOutcome::Unrunnable => {}
                    outcome => {
                        self.handle_blocked(lane, outcome, round);
                        break;
                    }
                }
            }
        }
        false
    }

    fn should_try(&self, lane: LaneKey, now: Mono) -> bool {
        let id = self.queue.lanes.get(lane).map(|lane| lane.id);
        id.is_some_and(|id| id.priority == Priority::Normal) && !self.is_blocked(lane, now)
    }

    /// Returns whether the last start attempt of a lane failed, no capacity may have become free
    /// since and the retry interval has not passed.
    fn is_blocked(&self, lane: LaneKey, now: Mono) -> bool {
        let blocked = self.queue.lanes.get(lane).and_then(|lane| lane.blocked);
        blocked.is_some_and(|(generation, until)| {
            generation == self.cluster.capacity_generation && now < until
        })
    }

    /// Orders lanes by services first, then by the age of their oldest task.
    fn sort_lanes(&mut self, lanes: Vec<LaneKey>) -> Vec<LaneKey> {
        let mut ordered: Vec<(bool, Mono, LaneKey)> = Vec::with_capacity(lanes.len());
        for lane in lanes {
            if let Some(key) = self.head(lane) {
                let task = &self.cluster.tasks[key];
                let is_batch = !self.cluster.classes[task.class].is_service();
                ordered.push((is_batch, task.submitted_at, lane));
            }
        }
        ordered.sort();
        ordered.into_iter().map(|(_, _, lane)| lane).collect()
    }

    /// Marks a lane as blocked until capacity may have become free or the retry interval has
    /// passed.
    pub(crate) fn mark_blocked(&mut self, lane: LaneKey, now: Mono) {
        let generation = self.cluster.capacity_generation;
        if let Some(lane) = self.queue.lanes.get_mut(lane) {
            lane.blocked = Some((generation, now.after(BLOCKED_RETRY_INTERVAL)));
        }
    }

    fn try_start(&mut self, key: TaskKey, why: Reason, round: &mut Round) -> StartOutcome {
        let reservation = self.cluster.reservation(key);
        if let Err(reason) = self.check_runnable(key, &reservation) {
            self.mark_unrunnable(key, reason, round);
            return StartOutcome::Unrunnable;
        }
        let task = &self.cluster.tasks[key];
        if !self.within_quota(task.team, &reservation) {
            return StartOutcome::Quota;
        }
        if !self.within_share(key, &reservation) {
            return StartOutcome::Share;
        }
        let placement_key = (task.class, reservation, task.priority);
        let has_reserved_worker = task.reserved_worker.is_some();
        if !has_reserved_worker && round.no_capacity.contains(&placement_key) {
            return StartOutcome::NoCapacity;
        }
        let Some(worker) = self.find_worker(key, reservation, round.now) else {
            round.no_capacity.insert(placement_key);
            return StartOutcome::NoCapacity;
        };
        let why = if has_reserved_worker && why != Reason::Urgent {
            Reason::ReservedWorker
        } else {
            why
        };
        self.start(key, worker, reservation, why, round);
        StartOutcome::Started
    }

    fn find_worker(&mut self, key: TaskKey, reservation: Size, now: Mono) -> Option<WorkerKey> {
        let request = request(&self.cluster, &self.failed_jobs, key, reservation);
        let context = PlacementContext {
            cluster: &self.cluster,
            interference: &self.interference,
            policy: &self.policy,
            cfg: &self.cfg,
            now,
        };
        self.placer.find(&context, &request, &mut self.rng)
    }

    pub(crate) const fn placement_context(&self, now: Mono) -> PlacementContext<'_> {
        PlacementContext {
            cluster: &self.cluster,
            interference: &self.interference,
            policy: &self.policy,
            cfg: &self.cfg,
            now,
        }
    }

    fn start(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        reserved: Size,
        why: Reason,
        round: &mut Round,
    ) {
        self.detach(key);
        self.cluster.reserve(key, worker, reserved, round.now);
        let mut why = why;
        let task = &mut self.cluster.tasks[key];
        let host = &mut self.cluster.workers[worker];
        if let Some(quarantine) = &mut host.health.quarantine {
            quarantine.probe = Some(key);
            why = Reason::Probe;
        }
        round.starts = round.starts.saturating_sub(1);
        round.decisions.push(Decision::Start {
            task: task.id.clone(),
            worker: host.id.clone(),
            reserved,
            why,
        });
    }

    pub(crate) fn within_quota(&self, team: TeamKey, reservation: &Size) -> bool {
        let team = &self.cluster.teams[team];
        let quota = team.rules.as_ref().map(|rules| rules.quota);
        quota.is_some_and(|quota| (team.total_used() + *reservation).fits(&quota))
    }

    pub(crate) fn within_share(&self, key: TaskKey, reservation: &Size) -> bool {
        let team = self.cluster.tasks[key].team;
        let half = &self.cluster.halves[self.cluster.teams[team].half.0];
        if half.percent >= 100 {
            return true;
        }
        let reserved = half.reserved.filter(|(task, _)| *task != key);
        let reserved = reserved.map_or(Size::ZERO, |(_, size)| size);
        let share = team::percent_of(&self.cluster.total_capacity(), half.percent);
        (half.used + half.used_elsewhere + reserved + *reservation).fits(&share)
    }

    fn mark_unrunnable(&mut self, key: TaskKey, reason: UnrunnableReason, round: &mut Round) {
        self.detach(key);
        let task = &mut self.cluster.tasks[key];
        task.phase = Phase::Unrunnable(reason.clone());
        self.unrunnable.push_back(key);
        round.decisions.push(Decision::Unrunnable {
            task: task.id.clone(),
            reason,
        });
    }

    /// Checks some unrunnable tasks again, because workers, the document and learned sizes change.
    fn recheck_unrunnable(&mut self, round: &mut Round) {
        for _ in 0..self.unrunnable.len().min(RECHECKS_PER_ROUND) {
            let Some(key) = self.unrunnable.pop_front() else {
                return;
            };
            let Some(task) = self.cluster.tasks.get(key) else {
                continue;
            };
            if !matches!(task.phase, Phase::Unrunnable(_)) {
                continue;
            }
            let reservation = self.cluster.reservation(key);
            if self.check_runnable(key, &reservation).is_err() {
                self.unrunnable.push_back(key);
                continue;
            }
            let task = task.id.clone();
            self.push_to_lane(key, false);
            round.decisions.push(Decision::Runnable { task });
        }
    }
}

/// Creates the placement request of a task.
pub(crate) fn request<'a>(
    cluster: &Cluster,
    failed_jobs: &'a FailedJobs,
    key: TaskKey,
    reservation: Size,
) -> PlacementRequest<'a> {
    let task = &cluster.tasks[key];
    let class = &cluster.classes[task.class];
    let mut request = PlacementRequest {
        task: key,
        class: task.class,
        reservation,
        urgent: task.is_urgent(),
        may_probe: !task.is_urgent() && !class.is_service() && task.failures == 0,
        preserves_accelerators: false,
        avoid: failed_jobs.workers(FailedJobs::hash(&task.id)),
    };
    request.preserves_accelerators = placement::preserves_accelerators(cluster, class, &request);
    request
}
