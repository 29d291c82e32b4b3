//! Explains why a waiting task does not start.
//!
//! The checks are those for starting and placing a task, one after the other: the first one that no
//! worker passes is the reason. Nothing is decided here.

use derive_more::Display;
use model::Mono;
use model::Size;
use model::id::TaskId;
use serde::Serialize;

use crate::class::Class;
use crate::decision::UnrunnableReason;
use crate::key::TaskKey;
use crate::placement;
use crate::placement::PlacementRequest;
use crate::round;
use crate::sched::Sched;
use crate::task::Phase;
use crate::worker::Worker;

/// Why a task waits.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "limit", rename_all = "kebab-case")]
pub enum WaitReason {
    /// The scheduler has no document yet.
    #[display("no document is known yet")]
    NoDocument,
    /// The task waits for its backoff after a failure to end.
    #[display("rests after a failure")]
    #[serde(rename = "rests")]
    Backoff,
    /// The task is being handed off to another shard.
    #[display("is being moved to another shard")]
    Moving,
    /// No worker could ever run the task.
    #[display("{_0}")]
    Unrunnable(UnrunnableReason),
    /// The quota of its team is used up.
    #[display("the quota of team {team}, {quota}, is used up: it holds {used}")]
    Quota {
        /// The name of the team.
        team: String,
        /// The quota of the team.
        quota: Size,
        /// The resources reserved for the team's tasks at all daemons.
        #[serde(rename = "held")]
        used: Size,
    },
    /// The share of its half is used up.
    #[display("the share of its half, {percent}%, is used up")]
    Share {
        /// The share of the half in percent of the total capacity.
        percent: u8,
    },
    /// Each rack with free capacity already runs as many tasks of its class as allowed.
    #[display("class {class} has its {max} tasks on each rack that has room")]
    #[serde(rename = "rack")]
    RackLimit {
        /// The class of the task.
        class: String,
        /// The maximum number of tasks of the class on a rack.
        #[serde(rename = "most")]
        max: u32,
    },
    /// No worker that the class may use accepts new tasks.
    #[display("no worker that class {class} may use takes tasks")]
    NoWorker {
        /// The class of the task.
        class: String,
    },
    /// No worker has enough free capacity.
    #[display("no room for {needed} on any of {candidates} workers")]
    #[serde(rename = "no-room")]
    NoCapacity {
        /// The size to reserve for the task.
        needed: Size,
        /// The number of workers that accept new tasks.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// On all workers with free capacity, batch tasks already use their share beside services.
    #[display("no more batch fits beside services on any of {candidates} workers")]
    #[serde(rename = "batch-part")]
    BatchShare {
        /// The number of workers with free capacity.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// All workers with free capacity reserve it for their accelerators or for another task.
    #[display(
        "the room on {candidates} workers is kept for accelerators or for a task that waits longer"
    )]
    #[serde(rename = "kept")]
    Reserved {
        /// The number of workers with free capacity.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// On each worker with free capacity, the predicted p99 of a service would exceed its limit.
    #[display("it would lengthen the tail of a service on each of {candidates} workers")]
    #[serde(rename = "tail")]
    TailLatency {
        /// The number of workers with free capacity.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// The task can start; its turn comes in one of the next rounds.
    #[display("its turn is next")]
    NextRound,
}

/// A requirement that a worker has to meet for a task.
struct Limit<'a> {
    /// Returns the reason if none of the given number of workers meets the requirement.
    reason: Box<dyn Fn(usize) -> WaitReason + 'a>,
    /// Returns whether a worker meets the requirement.
    admits: Box<dyn Fn(&Worker) -> bool + 'a>,
}

impl Sched {
    /// Returns why a task waits, or `None` if it is unknown or does not wait.
    #[must_use]
    pub fn wait_reason(&self, task: &TaskId, now: Mono) -> Option<WaitReason> {
        let key = self.cluster.task_key(task)?;
        if !self.has_document {
            return Some(WaitReason::NoDocument);
        }
        match &self.cluster.tasks[key].phase {
            Phase::Running(_) => None,
            Phase::Delayed => Some(WaitReason::Backoff),
            Phase::Moving => Some(WaitReason::Moving),
            Phase::Unrunnable(reason) => Some(WaitReason::Unrunnable(reason.clone())),
            Phase::Queued(_) => Some(self.queued_wait_reason(key, now)),
        }
    }

    fn queued_wait_reason(&self, key: TaskKey, now: Mono) -> WaitReason {
        let reservation = self.cluster.reservation(key);
        if let Err(reason) = self.check_runnable(key, &reservation) {
            return WaitReason::Unrunnable(reason);
        }
        let team = &self.cluster.teams[self.cluster.tasks[key].team];
        if !self.within_quota(self.cluster.tasks[key].team, &reservation) {
            let quota = team.rules.as_ref().map_or(Size::ZERO, |rules| rules.quota);
            return WaitReason::Quota {
                team: team.id.to_string(),
                quota,
                used: team.total_used(),
            };
        }
        if !self.within_share(key, &reservation) {
            let percent = self.cluster.halves[team.half.0].percent;
            return WaitReason::Share { percent };
        }
        self.worker_wait_reason(key, reservation, now)
    }

    fn worker_wait_reason(&self, key: TaskKey, reservation: Size, now: Mono) -> WaitReason {
        let class = &self.cluster.classes[self.cluster.tasks[key].class];
        let request = round::request(&self.cluster, &self.failed_jobs, key, reservation);
        let pools = class.sites.iter().map(|site| &self.cluster.pools[site.0]);
        let keys = pools.flat_map(|pool| pool.plain.iter().chain(&pool.accelerated));
        let mut remaining: Vec<_> = keys.copied().collect();
        for limit in self.worker_limits(class, &request, now) {
            let candidates = remaining.len();
            remaining.retain(|key| (limit.admits)(&self.cluster.workers[*key]));
            if remaining.is_empty() {
                return (limit.reason)(candidates);
            }
        }
        let context = self.placement_context(now);
        let candidates = remaining.len();
        remaining.retain(|key| placement::tail_cost(&context, &request, *key).is_some());
        if remaining.is_empty() {
            return WaitReason::TailLatency { candidates };
        }
        WaitReason::NextRound
    }

    /// Returns the requirements in the order in which they are checked.
    fn worker_limits<'a>(
        &'a self,
        class: &'a Class,
        request: &'a PlacementRequest<'a>,
        now: Mono,
    ) -> Vec<Limit<'a>> {
        let name = || class.id.to_string();
        let max = class.rules.as_ref().and_then(|rules| rules.max_per_rack);
        let needed = request.reservation;
        vec![
            Limit {
                reason: Box::new(move |_| WaitReason::NoWorker { class: name() }),
                admits: Box::new(move |worker| {
                    worker.is_schedulable() && worker.health.admits(now, request.may_probe)
                }),
            },
            Limit {
                reason: Box::new(move |candidates| WaitReason::NoCapacity { needed, candidates }),
                admits: Box::new(move |worker| needed.fits(&worker.free())),
            },
            Limit {
                reason: Box::new(move |_| WaitReason::RackLimit {
                    class: name(),
                    max: max.unwrap_or(0),
                }),
                admits: Box::new(|worker| class.rack_admits(worker.rack)),
            },
            Limit {
                reason: Box::new(|candidates| WaitReason::BatchShare { candidates }),
                admits: Box::new(|worker| {
                    placement::batch_fits(&self.cluster, request, class, worker)
                }),
            },
            Limit {
                reason: Box::new(|candidates| WaitReason::Reserved { candidates }),
                admits: Box::new(move |worker| {
                    let context = self.placement_context(now);
                    placement::leaves_accelerators_usable(request, worker)
                        && placement::reservation_admits(&context, request, class, worker)
                }),
            },
        ]
    }
}
