//! What an owner knows of one worker of its shard.

use std::collections::BTreeMap;

use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunState;
use plat::worker::WorkerReport;

use crate::claim::Prior;
use crate::timing::Timing;

/// The newest report under this owner's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Heard {
    /// Its sequence, which the next message answers.
    pub report: u64,
    /// The life of the agent that made it.
    pub life: u32,
    /// When it arrived; the agent made it earlier.
    pub at: Mono,
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
    pub lapsed: bool,
    /// The newest report, which survives the lapse so that older ones stay refused.
    pub heard: Option<Heard>,
    /// The last message that was sent.
    pub sequence: u64,
    /// The message that is not answered yet.
    pub in_flight: Option<u64>,
    /// When the next message is due without a new command.
    pub next_send: Mono,
    /// The commands of the last message.
    pub sent: Vec<Command>,
    /// The runs of the newest report.
    pub reported: BTreeMap<(TaskId, Attempt), RunState>,
}

impl Worker {
    /// Takes in a report that is newer than all before; returns whether the worker was out of reach.
    pub fn hear(&mut self, report: &WorkerReport, now: Mono) -> bool {
        let life = report.incarnation();
        let first = self.lapsed || self.heard.is_none_or(|heard| heard.life != life);
        self.lapsed = false;
        self.heard = Some(Heard {
            report: report.sequence,
            life,
            at: now,
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
    pub fn is_late(&self, report: &WorkerReport) -> bool {
        self.heard
            .is_some_and(|heard| report.sequence <= heard.report)
    }

    /// Notes that the last lease of the worker has certainly lapsed: it runs nothing.
    pub fn lapse(&mut self) {
        self.lapsed = true;
        self.reported.clear();
        self.sent.clear();
    }

    /// When the last lease that anyone may have granted has certainly lapsed. `since` is when this
    /// owner's claim was known to be committed.
    pub fn grants_lapse(&self, since: Mono, prior: Prior, timing: &Timing) -> Mono {
        match (self.heard, prior) {
            (Some(heard), _) => heard.at.after(timing.lease_lapse()),
            (None, Prior::Settled) => since.after(timing.lease_lapse()),
            (None, Prior::MayAct) => since.after(timing.earlier_grants_lapse()),
        }
    }

    /// Whether the worker may be given new tasks.
    pub fn takes_tasks(&self, now: Mono, timing: &Timing) -> bool {
        let fresh = |at: Mono| now.since(at) < timing.worker_lease;
        self.listed && !self.leaving && !self.lapsed && self.heard.is_some_and(|h| fresh(h.at))
    }
}
