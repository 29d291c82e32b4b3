//! The life of one task: which row follows from what is known of its run.

use model::id::Attempt;
use model::id::CheckpointId;
use model::id::RowVersion;
use plat::worker::RunReport;
use plat::worker::RunState;

use super::event::RequeueCause;
use crate::record::Phase;
use crate::record::TaskRow;

/// How a run is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RunEnd {
    Succeeded,
    Failed,
    /// Reported as stopped by its worker.
    Stopped,
    /// No longer known to its worker, or certain never to start there.
    Missing,
    /// The last lease of its worker has certainly lapsed.
    WorkerLost,
}

/// What is known of the present run of an assigned task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Run {
    /// The life of the agent that may be told to start it; an inherited run is never started again.
    pub agent_incarnation: Option<u32>,
    /// The first message whose answer proves, by not listing the run, that it never will be.
    pub barrier: Option<u64>,
    /// Whether a report has listed it.
    pub reported: bool,
    /// Whether the scheduler wants it evicted.
    pub evict_requested: bool,
    /// The cap that the scheduler wants on it.
    pub requested_throttle: Option<u16>,
    /// The cap that was last reported.
    pub reported_throttle: u16,
    /// The last checkpoint that was reported.
    pub checkpoint: Option<CheckpointId>,
    /// How it ended, before the table holds it.
    pub end: Option<RunEnd>,
}

impl Run {
    /// A run that this owner has granted to one life of the agent.
    pub const fn granted(incarnation: u32) -> Self {
        Self::new(Some(incarnation), None)
    }

    /// A run that an earlier owner has granted: the first answer under this epoch tells of it.
    pub const fn inherited() -> Self {
        Self::new(None, Some(1))
    }

    const fn new(agent_incarnation: Option<u32>, barrier: Option<u64>) -> Self {
        Self {
            agent_incarnation,
            barrier,
            reported: false,
            evict_requested: false,
            requested_throttle: None,
            reported_throttle: 1000,
            checkpoint: None,
            end: None,
        }
    }

    /// Whether it was stopped for an eviction. A run that its worker has forgotten goes on from an
    /// older checkpoint instead.
    pub fn was_evicted(&self) -> bool {
        self.evict_requested && self.end == Some(RunEnd::Stopped)
    }

    /// Takes in what a report of the agent's `life`, made in answer to message `sequence`, says.
    pub fn apply_report(&mut self, report: Option<&RunReport>, incarnation: u32, sequence: u64) {
        let Some(report) = report else {
            let other_incarnation = self
                .agent_incarnation
                .is_some_and(|granted| granted != incarnation);
            let passed = self.barrier.is_some_and(|barrier| sequence >= barrier);
            if self.end.is_none() && (self.reported || other_incarnation || passed) {
                self.end = Some(RunEnd::Missing);
            }
            return;
        };
        self.reported = true;
        self.reported_throttle = report.throttle_permille;
        if report.checkpoint.is_some() {
            self.checkpoint.clone_from(&report.checkpoint);
        }
        if self.end.is_none() {
            self.end = match report.state {
                RunState::Running => None,
                RunState::Succeeded => Some(RunEnd::Succeeded),
                RunState::Failed => Some(RunEnd::Failed),
                RunState::Stopped => Some(RunEnd::Stopped),
            };
        }
    }
}

/// A task of the shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Task {
    /// The row as the table is known to hold it.
    pub row: TaskRow,
    /// The version of the row.
    pub version: RowVersion,
    /// The write of the row that is under way or in doubt.
    pub pending_txn: Option<u64>,
    /// The present run, while the row says assigned.
    pub run: Option<Run>,
    /// Whether somebody wants it cancelled, whether or not the row says so yet.
    pub cancel: bool,
}

impl Task {
    /// A task as its row was read.
    pub fn inherited(row: TaskRow, version: RowVersion) -> Self {
        let run = row.worker().is_some().then(Run::inherited);
        Self {
            cancel: row.cancel,
            row,
            version,
            pending_txn: None,
            run,
        }
    }

    /// Whether the run is to be stopped.
    pub fn should_stop(&self) -> bool {
        self.cancel || self.run.as_ref().is_some_and(|run| run.evict_requested)
    }

    /// Whether `attempt` is the run that the row grants.
    pub fn grants_attempt(&self, attempt: Attempt) -> bool {
        self.run.is_some() && self.row.attempt == attempt
    }

    /// The row that follows without a decision of the scheduler, if one does.
    pub fn next_row(&self) -> Option<TaskRow> {
        match &self.row.phase {
            Phase::Queued if self.cancel => Some(self.with_phase(Phase::Cancelled)),
            Phase::Assigned { .. } => match self.run.as_ref()?.end {
                Some(end) => Some(self.row_after(end)),
                None => (self.cancel && !self.row.cancel).then(|| self.with_cancel_mark()),
            },
            _ => None,
        }
    }

    /// Why the task waits again, for a row that follows its run.
    pub fn requeue_cause(&self) -> RequeueCause {
        match self.run.as_ref() {
            Some(run) if run.end == Some(RunEnd::Failed) => RequeueCause::Failed,
            Some(run) if run.end == Some(RunEnd::WorkerLost) => RequeueCause::WorkerLost,
            Some(run) if run.was_evicted() => RequeueCause::Evicted,
            _ => RequeueCause::Stopped,
        }
    }

    fn row_after(&self, end: RunEnd) -> TaskRow {
        match end {
            RunEnd::Succeeded => self.with_phase(Phase::Succeeded),
            _ if self.cancel => self.with_phase(Phase::Cancelled),
            RunEnd::Failed => self.failed_row(),
            RunEnd::Stopped | RunEnd::Missing | RunEnd::WorkerLost => self.requeued_row(),
        }
    }

    fn failed_row(&self) -> TaskRow {
        let failures = self.row.failures + 1;
        let mut row = if failures < self.row.spec.max_failures {
            self.requeued_row()
        } else {
            let reason = format!("failed {failures} times");
            self.with_phase(Phase::Failed { reason })
        };
        row.failures = failures;
        row
    }

    fn requeued_row(&self) -> TaskRow {
        let mut row = self.with_phase(Phase::Queued);
        if let Some(run) = &self.run {
            row.checkpoint = run.checkpoint.clone().or(row.checkpoint);
            row.evictions += u32::from(run.was_evicted());
        }
        row
    }

    fn with_cancel_mark(&self) -> TaskRow {
        let mut row = self.row.clone();
        row.cancel = true;
        row
    }

    fn with_phase(&self, phase: Phase) -> TaskRow {
        let mut row = self.row.clone();
        row.phase = phase;
        row.cancel |= self.cancel;
        row
    }
}
