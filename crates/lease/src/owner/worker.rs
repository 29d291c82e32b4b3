//! The owner's state of one worker of its shard.

use std::collections::BTreeMap;

use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunState;
use plat::worker::WorkerReport;

use crate::claim::PriorOwners;
use crate::timing::Timing;

/// The latest report of a worker under this owner's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LatestReport {
    /// The sequence number of the report, which the next message acknowledges.
    pub sequence: u64,
    /// The incarnation of the agent that created the report.
    pub incarnation: u32,
    /// When the report arrived, which is later than its creation.
    pub received_at: Mono,
}

/// A worker of the shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Worker {
    /// The resources of the worker according to the host list.
    pub capacity: Size,
    /// Whether the host list contains the worker.
    pub listed: bool,
    /// Whether the worker's host is leaving.
    pub leaving: bool,
    /// Whether the last lease has certainly expired and no report has arrived since.
    pub lease_expired: bool,
    /// The latest report. It is kept after the lease has expired, so that older reports are still
    /// ignored.
    pub latest_report: Option<LatestReport>,
    /// The sequence number of the last message sent.
    pub sequence: u64,
    /// The sequence number of the unanswered message, if any.
    pub in_flight: Option<u64>,
    /// When the next message is due if there is no new command.
    pub next_send: Mono,
    /// The commands of the last message.
    pub last_commands: Vec<Command>,
    /// The runs in the latest report.
    pub reported: BTreeMap<(TaskId, Attempt), RunState>,
}

impl Worker {
    /// Records a report that is newer than all previous ones.
    ///
    /// Returns whether it is the first of the agent's incarnation or the first after the lease had
    /// expired.
    pub fn record_report(&mut self, report: &WorkerReport, now: Mono) -> bool {
        let incarnation = report.incarnation();
        let first = self.lease_expired
            || self
                .latest_report
                .is_none_or(|latest| latest.incarnation != incarnation);
        self.lease_expired = false;
        self.latest_report = Some(LatestReport {
            sequence: report.sequence,
            incarnation,
            received_at: now,
        });
        let runs = report.runs.iter();
        self.reported = runs
            .map(|run| ((run.task.clone(), run.attempt), run.state))
            .collect();
        if first {
            self.next_send = now;
        }
        first
    }

    /// Returns whether a report is not newer than the latest one.
    pub fn is_stale(&self, report: &WorkerReport) -> bool {
        self.latest_report
            .is_some_and(|latest| report.sequence <= latest.sequence)
    }

    /// Records that the last lease has certainly expired, so that the worker runs nothing.
    pub fn expire_lease(&mut self) {
        self.lease_expired = true;
        self.reported.clear();
        self.last_commands.clear();
    }

    /// Returns when the last lease granted by this or a prior owner has certainly expired.
    ///
    /// `claimed_at` is when this owner learned that its claim was committed.
    pub fn grants_expire_at(
        &self,
        claimed_at: Mono,
        prior_owners: PriorOwners,
        timing: &Timing,
    ) -> Mono {
        match (self.latest_report, prior_owners) {
            (Some(latest), _) => latest.received_at.after(timing.lease_expiry()),
            (None, PriorOwners::Inactive) => claimed_at.after(timing.lease_expiry()),
            (None, PriorOwners::MayBeActive) => claimed_at.after(timing.prior_grants_expiry()),
        }
    }

    /// Returns whether new tasks may be assigned to the worker.
    pub fn accepts_tasks(&self, now: Mono, timing: &Timing) -> bool {
        let fresh = |at: Mono| now.since(at) < timing.worker_lease;
        self.listed
            && !self.leaving
            && !self.lease_expired
            && self
                .latest_report
                .is_some_and(|latest| fresh(latest.received_at))
    }
}
