//! A worker: what it has, what is reserved there, and what its reports said.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::WorkerId;

use crate::health::Health;
use crate::key::Index;
use crate::key::TaskKey;

/// Figures that are newer by less than this are the same ones, told again.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The name.
    pub(crate) id: WorkerId,
    /// Whether the list of hosts names it; tasks may be assigned to one that it does not.
    pub(crate) listed: bool,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// Its region and data centre.
    pub(crate) site: Index,
    /// Its rack.
    pub(crate) rack: Index,
    /// What it has.
    pub(crate) capacity: Size,
    /// What is reserved there.
    pub(crate) reserved: Size,
    /// The part of it that batch tasks hold.
    pub(crate) batch_reserved: Size,
    /// How many services are there.
    pub(crate) services: u32,
    /// The tasks that start or run there.
    pub(crate) tasks: Vec<TaskKey>,
    /// What its tasks were seen to use above their reservations.
    pub(crate) excess: Size,
    /// The task that it is kept for.
    pub(crate) reserved_for: Option<WorkerReservation>,
    /// Whether it can be trusted with new work.
    pub(crate) health: Health,
    /// What its reports said.
    pub(crate) tracker: ReportTracker,
}

/// A worker is kept for a task that needs more room than is free anywhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerReservation {
    /// The task.
    pub(crate) task: TaskKey,
    /// Whether others are being evicted for it; an urgent task takes any other worker.
    pub(crate) evicting: bool,
    /// When there should be room.
    pub(crate) expected_at: Mono,
    /// When it is given up, so that another worker can be chosen.
    pub(crate) expires_at: Mono,
}

/// What the reports of a worker said since the last action there.
#[derive(Debug, Default)]
pub(crate) struct ReportTracker {
    /// The number of the newest report.
    pub(crate) sequence: Option<u64>,
    /// The last number that was too low, and how many rose in a row; an agent may count anew.
    pub(crate) sequence_reset: (u64, u32),
    /// The time that the newest figures are of.
    pub(crate) measured_at: Option<Mono>,
    /// When something was last done that the figures have to show first.
    pub(crate) acted_at: Option<Mono>,
    /// How many fresh reports in a row had a service above its limit.
    pub(crate) violations: u32,
    /// How many fresh reports came since the last action.
    pub(crate) fresh_reports: u32,
    /// Whether a fresh report came since the last decision.
    pub(crate) has_fresh_report: bool,
}

impl Worker {
    /// Makes a worker that is known by name only.
    pub(crate) fn unlisted(id: WorkerId, site: Index, rack: Index) -> Self {
        Self {
            id,
            listed: false,
            leaving: true,
            site,
            rack,
            capacity: Size::ZERO,
            reserved: Size::ZERO,
            batch_reserved: Size::ZERO,
            services: 0,
            tasks: Vec::new(),
            excess: Size::ZERO,
            reserved_for: None,
            health: Health::default(),
            tracker: ReportTracker::default(),
        }
    }

    /// Returns whether new work may start there as far as the list of hosts goes.
    pub(crate) const fn is_schedulable(&self) -> bool {
        self.listed && !self.leaving
    }

    /// Returns what is neither reserved nor used beyond reservations.
    pub(crate) fn free(&self) -> Size {
        self.capacity
            .saturating_sub(&self.reserved)
            .saturating_sub(&self.excess)
    }
}

impl WorkerReservation {
    /// Returns whether a task may use the worker although it is kept.
    pub(crate) fn allows(&self, task: TaskKey, urgent: bool) -> bool {
        self.task == task || (urgent && !self.evicting)
    }
}

impl ReportTracker {
    /// Takes in the number of a report and returns whether the report is a newer one.
    pub(crate) fn accept(&mut self, sequence: u64, measured_at: Mono) -> bool {
        let interval = |known: Mono| measured_at.since(known);
        if self
            .measured_at
            .is_some_and(|known| interval(known) < MIN_REPORT_INTERVAL)
        {
            return false;
        }
        let newer = self.sequence.is_none_or(|known| sequence > known);
        if !newer && !self.is_sequence_reset(sequence) {
            return false;
        }
        self.sequence = Some(sequence);
        self.measured_at = Some(measured_at);
        self.sequence_reset = (0, 0);
        true
    }

    /// Returns whether reports with low numbers rise steadily, as after a restart of the agent.
    const fn is_sequence_reset(&mut self, sequence: u64) -> bool {
        const MIN_INCREASING: u32 = 3;
        let (last, increasing) = self.sequence_reset;
        let increasing = if sequence > last { increasing + 1 } else { 1 };
        self.sequence_reset = (sequence, increasing);
        increasing >= MIN_INCREASING
    }

    /// Notes an action, so that reports from before its effect are not acted upon.
    pub(crate) const fn record_action(&mut self, now: Mono) {
        self.acted_at = Some(now);
        self.violations = 0;
        self.fresh_reports = 0;
        self.has_fresh_report = false;
    }
}
