//! What an owner knows of one worker of its shard.

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

/// The newest report under this owner's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LatestReport {
    /// Its sequence, which the next message answers.
    pub sequence: u64,
    /// The life of the agent that made it.
    pub incarnation: u32,
    /// When it arrived; the agent made it earlier.
    pub received_at: Mono,
}

/// One worker of the shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Worker {
    /// What it has.
    pub capacity: Size,
    /// Whether the list of hosts has it.
    pub listed: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its last lease has certainly lapsed and it was not heard since.
    pub lease_expired: bool,
    /// The newest report, which survives the lapse so that older ones stay refused.
    pub latest_report: Option<LatestReport>,
    /// The last message that was sent.
    pub sequence: u64,
    /// The message that is not answered yet.
    pub in_flight: Option<u64>,
    /// When the next message is due without a new command.
    pub next_send: Mono,
    /// The commands of the last message.
    pub last_commands: Vec<Command>,
    /// The runs of the newest report.
    pub reported: BTreeMap<(TaskId, Attempt), RunState>,
}

impl Worker {
    /// Takes in a report that is newer than all before; returns whether the worker was out of reach.
    pub fn record_report(&mut self, report: &WorkerReport, now: Mono) -> bool {
        let incarnation = report.life();
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

    /// Whether a report is older than one that was already taken in.
    pub fn is_stale(&self, report: &WorkerReport) -> bool {
        self.latest_report
            .is_some_and(|latest| report.sequence <= latest.sequence)
    }

    /// Notes that the last lease of the worker has certainly lapsed: it runs nothing.
    pub fn expire_lease(&mut self) {
        self.lease_expired = true;
        self.reported.clear();
        self.last_commands.clear();
    }

    /// When the last lease that anyone may have granted has certainly lapsed. `since` is when this
    /// owner's claim was known to be committed.
    pub fn grants_expire_at(&self, since: Mono, prior: PriorOwners, timing: &Timing) -> Mono {
        match (self.latest_report, prior) {
            (Some(latest), _) => latest.received_at.after(timing.lease_expiry()),
            (None, PriorOwners::Inactive) => since.after(timing.lease_expiry()),
            (None, PriorOwners::MayBeActive) => since.after(timing.prior_grants_expiry()),
        }
    }

    /// Whether the worker may be given new tasks.
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
