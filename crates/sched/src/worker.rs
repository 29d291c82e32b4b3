//! A worker: its capacity, reservations, health and reports.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::WorkerId;

use crate::health::Health;
use crate::key::Index;
use crate::key::TaskKey;

/// Figures that are newer by less than this are a repetition of the last ones.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A worker that runs tasks.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The name of the worker.
    pub(crate) id: WorkerId,
    /// Whether the list of hosts contains it; tasks may be assigned to unlisted workers.
    pub(crate) listed: bool,
    /// Whether it is leaving and accepts no new tasks.
    pub(crate) leaving: bool,
    /// The index of its region and data centre.
    pub(crate) site: Index,
    /// The index of its rack.
    pub(crate) rack: Index,
    /// Its total capacity.
    pub(crate) capacity: Size,
    /// The resources reserved for its tasks.
    pub(crate) reserved: Size,
    /// The part of `reserved` that belongs to batch tasks.
    pub(crate) batch_reserved: Size,
    /// The number of its tasks that are services.
    pub(crate) services: u32,
    /// The tasks that start or run there.
    pub(crate) tasks: Vec<TaskKey>,
    /// The reported usage of its tasks beyond their reservations.
    pub(crate) excess: Size,
    /// The task that the worker is reserved for.
    pub(crate) reserved_for: Option<WorkerReservation>,
    /// Its failure record and quarantine.
    pub(crate) health: Health,
    /// The state of its reports since the last action.
    pub(crate) tracker: ReportTracker,
}

/// The reservation of a worker for a task that needs more than is free on any worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerReservation {
    /// The task that it is reserved for.
    pub(crate) task: TaskKey,
    /// Whether batch tasks are being evicted for it. Urgent tasks may use the worker unless they
    /// are.
    pub(crate) evicting: bool,
    /// When enough capacity is expected to be free.
    pub(crate) expected_at: Mono,
    /// When the reservation expires, so that another worker can be chosen.
    pub(crate) expires_at: Mono,
}

/// The state of a worker's reports since the last action on the worker.
#[derive(Debug, Default)]
pub(crate) struct ReportTracker {
    /// The sequence number of the newest report.
    pub(crate) sequence: Option<u64>,
    /// The last sequence number that was too low, and the length of the increasing run that it
    /// ends; an agent that restarts begins a new sequence.
    pub(crate) sequence_reset: (u64, u32),
    /// The time of measurement of the newest figures.
    pub(crate) measured_at: Option<Mono>,
    /// When an action was last taken, whose effect the figures have to show.
    pub(crate) acted_at: Option<Mono>,
    /// The number of consecutive fresh reports that show a violation of a service's limit. A severe
    /// violation counts as at least two.
    pub(crate) violations: u32,
    /// The number of fresh reports since the last action.
    pub(crate) fresh_reports: u32,
    /// Whether a fresh report arrived since the last round.
    pub(crate) has_fresh_report: bool,
}

impl Worker {
    /// Creates a worker of which only the name is known.
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

    /// Returns whether the list of hosts allows new tasks on it.
    pub(crate) const fn is_schedulable(&self) -> bool {
        self.listed && !self.leaving
    }

    /// Returns the capacity that is neither reserved nor used beyond reservations.
    pub(crate) fn free(&self) -> Size {
        self.capacity
            .saturating_sub(&self.reserved)
            .saturating_sub(&self.excess)
    }
}

impl WorkerReservation {
    /// Returns whether a task may use the worker despite the reservation.
    pub(crate) fn allows(&self, task: TaskKey, urgent: bool) -> bool {
        self.task == task || (urgent && !self.evicting)
    }
}

impl ReportTracker {
    /// Returns whether a report is newer than the last one, and records it if so.
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

    /// Returns whether low sequence numbers increase steadily, as after a restart of the agent.
    const fn is_sequence_reset(&mut self, sequence: u64) -> bool {
        const MIN_INCREASING: u32 = 3;
        let (last, increasing) = self.sequence_reset;
        let increasing = if sequence > last { increasing + 1 } else { 1 };
        self.sequence_reset = (sequence, increasing);
        increasing >= MIN_INCREASING
    }

    /// Records an action, so that reports from before its effect are not acted upon.
    pub(crate) const fn record_action(&mut self, now: Mono) {
        self.acted_at = Some(now);
        self.violations = 0;
        self.fresh_reports = 0;
        self.has_fresh_report = false;
    }
}
