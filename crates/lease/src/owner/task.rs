//! The owner's state of one task, and the row that follows from the outcome of its run.

use model::id::Attempt;
use model::id::CheckpointId;
use model::id::RowVersion;
use plat::worker::RunReport;
use plat::worker::RunState;

use super::event::RequeueCause;
use crate::record::Phase;
use crate::record::TaskRow;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RunEnd {
    Succeeded,
    Failed,
    /// The worker reported it as stopped.
    Stopped,
    /// The worker does not know the run any more, or can certainly never start it.
    Missing,
    /// The last lease of the worker has certainly expired.
    WorkerLost,
}

/// The state of the current run of an assigned task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Run {
    /// The agent incarnation that may be sent the start command. It is `None` for an inherited run,
    /// which is never started again.
    pub agent_incarnation: Option<u32>,
    /// The first message whose answer, if it does not list the run, proves that the run will never
    /// start.
    pub barrier: Option<u64>,
    /// Whether a report has listed the run.
    pub reported: bool,
    /// Whether the scheduler has requested an eviction.
    pub evict_requested: bool,
    /// The processor limit requested by the scheduler, in thousandths of the reserved size.
    pub requested_throttle: Option<u16>,
    /// The processor limit in the last report, in thousandths of the reserved size.
    pub reported_throttle: u16,
    /// The last checkpoint reported.
    pub checkpoint: Option<CheckpointId>,
    /// How the run ended. It is set before the table reflects it.
    pub end: Option<RunEnd>,
}

impl Run {
    /// Creates a run that this owner has granted to one incarnation of the agent.
    pub const fn granted(incarnation: u32) -> Self {
        Self::new(Some(incarnation), None)
    }

    /// Creates a run that a prior owner has granted. The first answer under this owner's epoch
    /// shows its state.
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

    /// Returns whether the run was stopped by an eviction.
    ///
    /// A run that its worker does not know any more does not count as evicted; its task resumes
    /// from an older checkpoint.
    pub fn was_evicted(&self) -> bool {
        self.evict_requested && self.end == Some(RunEnd::Stopped)
    }

    /// Updates the run from a report of the agent `incarnation` that answers message `sequence`.
    /// `report` is `None` if the report does not list the run.
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
    /// The last row known to be stored in the table.
    pub row: TaskRow,
    /// The version of the row.
    pub version: RowVersion,
    /// The number of the in-flight or in-doubt transaction that writes the row.
    pub pending_txn: Option<u64>,
    /// The current run, while the row is in phase [`Phase::Assigned`].
    pub run: Option<Run>,
    /// Whether cancellation was requested, even if the row does not contain the request yet.
    pub cancel: bool,
}

impl Task {
    /// Creates a task from a row that was read.
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

    /// Returns whether the run has to be stopped.
    pub fn should_stop(&self) -> bool {
        self.cancel || self.run.as_ref().is_some_and(|run| run.evict_requested)
    }

    /// Returns whether `attempt` is the run that the row grants.
    pub fn grants_attempt(&self, attempt: Attempt) -> bool {
        self.run.is_some() && self.row.attempt == attempt
    }

    /// Returns the next row, if the task has to change without a decision of the scheduler.
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

    /// Returns why the task is requeued after its run.
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
