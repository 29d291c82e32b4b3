//! The decisions of the scheduler and the reasons for them.

use derive_more::Display;
use model::Mono;
use model::Size;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use serde::Serialize;

/// The maximum number of starts and evictions in one call of
/// [`Sched::decide`](crate::Sched::decide).
///
/// Each start and each eviction is a transaction of the store. The caller spreads them out so that
/// the store's write rate is not exceeded, also when the store returns after an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The maximum number of starts; 0 while the store is unreachable.
    pub starts: usize,
    /// The maximum number of evictions; 0 while the store is unreachable.
    pub evictions: usize,
}

/// A decision that the caller has to carry out or report.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// Start a queued task. Its resources are reserved provisionally until the caller calls
    /// `assigned`, `decision_failed` or `cancelled`.
    Start {
        /// The task to start.
        task: TaskId,
        /// The worker that it starts on.
        worker: WorkerId,
        /// The resources that are reserved for it there.
        reserved: Size,
        /// The reason for starting it now.
        why: Reason,
    },
    /// Cap the processor time of a running batch task.
    Throttle {
        /// The task to throttle.
        task: TaskId,
        /// The cap in thousandths of its reservation; 1000 removes the cap.
        permille: u16,
        /// The reason for the change of the cap.
        why: Reason,
    },
    /// Checkpoint a running batch task, stop it and queue it again.
    Evict {
        /// The task to evict.
        task: TaskId,
        /// The reason for the eviction.
        why: Reason,
    },
    /// Hand off a queued task to a shard of another daemon that has capacity for it.
    HandOff {
        /// The task to hand off.
        task: TaskId,
        /// The shard that takes it over.
        to_shard: ShardId,
        /// The reason for the handover.
        why: Reason,
    },
    /// Report that no known worker could ever run the task. It is checked again as workers, the
    /// document and learned sizes change.
    Unrunnable {
        /// The task that cannot run.
        task: TaskId,
        /// The requirement that no worker meets.
        reason: UnrunnableReason,
    },
    /// Report that a task reported as [`Decision::Unrunnable`] is back in the queue.
    Runnable {
        /// The task that can run again.
        task: TaskId,
    },
    /// Start nothing on a worker except probes.
    Quarantine {
        /// The worker to quarantine.
        worker: WorkerId,
        /// The reason for the quarantine.
        why: Reason,
    },
    /// Use a quarantined worker again.
    Readmit {
        /// The worker to readmit.
        worker: WorkerId,
        /// The reason for the readmission.
        why: Reason,
    },
}

/// Why a decision was made, for the operators' dump.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum Reason {
    /// It was the turn of the task's team, which had the smallest weighted share.
    #[display("turn of a team with {share_permille} thousandths of its weighted share")]
    FairShare {
        /// The team's weighted dominant share in thousandths.
        share_permille: u64,
    },
    /// The task is urgent.
    #[display("urgent")]
    Urgent,
    /// A worker was reserved for the task after it had waited for a long time.
    #[display("waited for a large enough worker")]
    #[serde(rename = "held")]
    ReservedWorker,
    /// The task probes a quarantined worker.
    #[display("probe of a quarantined worker")]
    Probe,
    /// A service misses its target and the task contributes to it.
    #[display("a service is at {ratio_permille} thousandths of its p99 target")]
    Interference {
        /// The service's p99 in thousandths of its target.
        ratio_permille: u64,
    },
    /// The services on the worker have met their targets for long enough.
    #[display("services have room: {ratio_permille} thousandths of the p99 target")]
    Relief {
        /// The highest p99 of a service in thousandths of its target.
        ratio_permille: u64,
    },
    /// The task is evicted for an urgent task or a service.
    #[display("makes room, losing {lost_ms} ms of work")]
    #[serde(rename = "makes-room")]
    Preemption {
        /// The work since its last checkpoint, in milliseconds of unthrottled run time.
        lost_ms: u64,
    },
    /// The tasks on the worker use nearly all its memory.
    #[display("the worker's tasks use more than it has")]
    #[serde(rename = "pressure")]
    MemoryPressure,
    /// The shard has free capacity and none of this daemon's workers has.
    #[display("the shard has room")]
    #[serde(rename = "room-elsewhere")]
    CapacityElsewhere,
    /// Several distinct jobs failed on the worker that do not fail elsewhere.
    #[display("{jobs} distinct jobs failed there")]
    #[serde(rename = "jobs-fail")]
    DistinctJobFailures {
        /// The number of distinct jobs.
        jobs: u32,
    },
    /// The probe did not fail.
    #[display("the probe did not fail")]
    ProbePassed,
    /// The jobs that failed on the worker also fail elsewhere.
    #[display("its failed jobs fail elsewhere as well")]
    #[serde(rename = "jobs-blamed")]
    JobsFailElsewhere,
}

/// Why no worker could ever run a task.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum UnrunnableReason {
    /// The document does not list its class.
    #[display("its class is not in the document")]
    UnknownClass,
    /// The document does not list its team.
    #[display("its team is not in the document")]
    UnknownTeam,
    /// The document allows its class only at places without workers.
    #[display("the document allows its class on none of the workers")]
    #[serde(rename = "no-place")]
    NoAllowedWorker,
    /// It needs more than the largest worker that it may run on.
    #[display("it needs {needed}, the largest worker it may run on has {largest}")]
    TooLarge {
        /// The size to reserve for it.
        needed: Size,
        /// The largest capacity in each dimension of the workers that it may run on.
        largest: Size,
    },
    /// It needs more than the quota of its team.
    #[display("it needs {needed}, the quota of its team is {quota}")]
    OverQuota {
        /// The size to reserve for it.
        needed: Size,
        /// The quota of the team.
        quota: Size,
    },
    /// It needs more than the share of its half.
    #[display("it needs {needed}, the share of its half is {share}")]
    OverShare {
        /// The size to reserve for it.
        needed: Size,
        /// The share of the half in the known capacity.
        share: Size,
    },
}

/// A decision and the time at which it was made, for the operators' dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RecentDecision {
    /// The time of the decision.
    pub at: Mono,
    /// The decision and its reason.
    pub decision: Decision,
}
