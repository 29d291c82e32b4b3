//! What the scheduler decides, each decision with its reason.

use derive_more::Display;
use model::Mono;
use model::Size;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use serde::Serialize;

/// How much one call of [`Sched::decide`](crate::Sched::decide) may set in motion.
///
/// Each start and each eviction is a transaction of the store; the caller spreads them so that the
/// store's writes a second are not exceeded, also when the store comes back after an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The most starts; 0 while the store is away.
    pub starts: usize,
    /// The most evictions; 0 while the store is away.
    pub evictions: usize,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// Start a queued task; the room is held until `assigned`, `abandoned` or `cancelled`.
    Start {
        /// The task.
        task: TaskId,
        /// Where it starts.
        worker: WorkerId,
        /// What is reserved for it there.
        reserved: Size,
        /// The reason.
        why: Reason,
    },
    /// Cap the processor time of a running batch task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The cap in thousandths of its reservation; 1000 lifts it.
        permille: u16,
        /// The reason.
        why: Reason,
    },
    /// Checkpoint a running batch task, stop it and queue it again.
    Evict {
        /// The task.
        task: TaskId,
        /// The reason.
        why: Reason,
    },
    /// Move a queued task to a shard of another daemon that has room for it.
    HandOff {
        /// The task.
        task: TaskId,
        /// The shard.
        to_shard: ShardId,
        /// The reason.
        why: Reason,
    },
    /// No known worker could ever hold the task as things stand. It is looked at again when
    /// workers, the document or the learned sizes change.
    Unrunnable {
        /// The task.
        task: TaskId,
        /// The reason.
        reason: UnrunnableReason,
    },
    /// A task reported as [`Decision::Unrunnable`] waits in the queue again.
    Runnable {
        /// The task.
        task: TaskId,
    },
    /// Start nothing more on a worker but probes.
    Quarantine {
        /// The worker.
        worker: WorkerId,
        /// The reason.
        why: Reason,
    },
    /// Use a quarantined worker again.
    Readmit {
        /// The worker.
        worker: WorkerId,
        /// The reason.
        why: Reason,
    },
}

/// Why a decision was taken, for the operators' dump.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum Reason {
    /// The turn of its team, which had the smallest weighted share.
    #[display("turn of a team with {share_permille} thousandths of its weighted share")]
    FairShare {
        /// The team's weighted dominant share in thousandths.
        share_permille: u64,
    },
    /// The task is urgent.
    #[display("urgent")]
    Urgent,
    /// The task waited long for a worker that was kept for it.
    #[display("waited for a large enough worker")]
    #[serde(rename = "held")]
    ReservedWorker,
    /// The task tries out a quarantined worker.
    #[display("probe of a quarantined worker")]
    Probe,
    /// A service misses its target and the task contributes to it.
    #[display("a service is at {ratio_permille} thousandths of its p99 target")]
    Interference {
        /// The service's p99 in thousandths of its target.
        ratio_permille: u64,
    },
    /// The service has kept its target for long enough.
    #[display("services have room: {ratio_permille} thousandths of the p99 target")]
    Relief {
        /// The service's p99 in thousandths of its target.
        ratio_permille: u64,
    },
    /// The task makes room for an urgent task or a service.
    #[display("makes room, losing {lost_ms} ms of work")]
    #[serde(rename = "makes-room")]
    Preemption {
        /// The work since its last checkpoint in milliseconds.
        lost_ms: u64,
    },
    /// The tasks on a worker use more than the worker has.
    #[display("the worker's tasks use more than it has")]
    #[serde(rename = "pressure")]
    MemoryPressure,
    /// None of this daemon's workers has room and the shard has.
    #[display("the shard has room")]
    #[serde(rename = "room-elsewhere")]
    CapacityElsewhere,
    /// Several distinct jobs failed there that do not fail elsewhere.
    #[display("{jobs} distinct jobs failed there")]
    #[serde(rename = "jobs-fail")]
    DistinctJobFailures {
        /// How many distinct jobs.
        jobs: u32,
    },
    /// The probe did not fail.
    #[display("the probe did not fail")]
    ProbePassed,
    /// The jobs that failed there fail elsewhere as well.
    #[display("its failed jobs fail elsewhere as well")]
    #[serde(rename = "jobs-blamed")]
    JobsFailElsewhere,
}

/// Why no worker could ever hold a task.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum UnrunnableReason {
    /// The document does not name its class.
    #[display("its class is not in the document")]
    UnknownClass,
    /// The document does not name its team.
    #[display("its team is not in the document")]
    UnknownTeam,
    /// The document allows its class nowhere that has workers.
    #[display("the document allows its class on none of the workers")]
    #[serde(rename = "no-place")]
    NoAllowedWorker,
    /// It needs more than the largest worker that it may run on.
    #[display("it needs {needed}, the largest worker it may run on has {largest}")]
    TooLarge {
        /// What it needs.
        needed: Size,
        /// The most that any worker has, in each dimension.
        largest: Size,
    },
    /// It needs more than the quota of its team.
    #[display("it needs {needed}, the quota of its team is {quota}")]
    OverQuota {
        /// What it needs.
        needed: Size,
        /// The quota.
        quota: Size,
    },
    /// It needs more than the share of its half.
    #[display("it needs {needed}, the share of its half is {share}")]
    OverShare {
        /// What it needs.
        needed: Size,
        /// The share of the half in the capacity that is known.
        share: Size,
    },
}

/// A decision and when it was taken, for the operators' dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RecentDecision {
    /// When it was taken.
    pub at: Mono,
    /// The decision.
    pub decision: Decision,
}
