//! Failure records from which faulty workers are told apart from failing jobs.
//!
//! Distinct jobs that fail on one worker are evidence against the worker. One job that fails on
//! distinct workers is evidence against the job, and so is a class that also fails on other
//! workers.

use std::collections::VecDeque;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::TaskId;

use crate::key::ClassKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;

/// How many distinct failed jobs are recorded for a worker.
const MAX_FAILED_JOBS: usize = 16;
/// The evidence at which a worker is quarantined: about three jobs that fail nowhere else.
pub(crate) const QUARANTINE_EVIDENCE: f64 = 2.0;
/// The evidence below which a quarantined worker is readmitted.
pub(crate) const READMIT_EVIDENCE: f64 = 1.0;
/// The maximum delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(3600);
/// A probe that runs for this long counts as successful.
pub(crate) const PROBE_TIME: Duration = Duration::from_secs(120);

/// A job that failed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedJob {
    /// The stable hash of its name, which stays valid after the task's key is gone.
    pub(crate) job: u64,
    /// The class of the job.
    pub(crate) class: ClassKey,
}

/// The failure record of a worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// The distinct jobs that failed there, the oldest first.
    pub(crate) failed_jobs: Vec<FailedJob>,
    /// Set while the worker is quarantined.
    pub(crate) quarantine: Option<Quarantine>,
}

/// The state of a quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// The earliest time of the next probe.
    pub(crate) next_probe_at: Mono,
    /// The delay before the next probe; doubled after each failed one.
    pub(crate) probe_delay: Duration,
    /// The probe that is running.
    pub(crate) probe: Option<TaskKey>,
    /// Whether the probe has succeeded.
    pub(crate) probe_succeeded: bool,
}

impl Quarantine {
    /// Starts a quarantine whose first probe is due after `probe_delay`.
    pub(crate) fn new(now: Mono, probe_delay: Duration) -> Self {
        Self {
            next_probe_at: now.after(probe_delay),
            probe_delay,
            probe: None,
            probe_succeeded: false,
        }
    }

    /// Doubles the delay before the next probe after a failed one.
    pub(crate) fn probe_failed(&mut self, now: Mono) {
        self.probe_delay = (self.probe_delay * 2).min(MAX_PROBE_DELAY);
        self.next_probe_at = now.after(self.probe_delay);
        self.probe = None;
    }
}

impl Health {
    /// Records a failed job, replacing an older failure of the same job.
    pub(crate) fn record_failure(&mut self, failed: FailedJob) {
        self.failed_jobs.retain(|known| known.job != failed.job);
        if self.failed_jobs.len() == MAX_FAILED_JOBS {
            self.failed_jobs.remove(0);
        }
        self.failed_jobs.push(failed);
    }

    /// Records a successful run of a task: discards the two oldest failures. On a quarantined
    /// worker only the probe counts, because other runs began before the failures and show nothing
    /// of what a new one meets.
    pub(crate) fn record_success(&mut self, task: TaskKey) {
        match &mut self.quarantine {
            None => {
                let discarded = self.failed_jobs.len().min(2);
                self.failed_jobs.drain(..discarded);
            }
            Some(quarantine) if quarantine.probe == Some(task) => {
                quarantine.probe_succeeded = true;
            }
            Some(_) => {}
        }
    }

    /// Returns whether new work may start at `now`. A quarantined worker admits only a probe that
    /// is due.
    pub(crate) fn admits(&self, now: Mono, may_probe: bool) -> bool {
        match &self.quarantine {
            None => true,
            Some(quarantine) => {
                may_probe && quarantine.probe.is_none() && quarantine.next_probe_at <= now
            }
        }
    }
}

/// The workers on which each job failed recently.
#[derive(Debug, Default)]
pub(crate) struct FailedJobs {
    workers: Map<u64, Vec<WorkerKey>>,
    /// The jobs of `workers`, each once, in the order in which their records began.
    order: VecDeque<u64>,
}

/// How many failed jobs are tracked in total.
const MAX_TRACKED_JOBS: usize = 4096;
/// How many workers are recorded for each failed job.
const MAX_WORKERS_PER_JOB: usize = 4;

impl FailedJobs {
    /// Returns the stable hash that identifies a job.
    pub(crate) fn hash(task: &TaskId) -> u64 {
        model::hash::stable_hash(task.as_str().as_bytes())
    }

    /// Records that a job failed on a worker.
    pub(crate) fn record(&mut self, task: &TaskId, worker: WorkerKey) {
        let job = Self::hash(task);
        if !self.workers.contains_key(&job) {
            self.order.push_back(job);
        }
        let workers = self.workers.entry(job).or_default();
        if !workers.contains(&worker) && workers.len() < MAX_WORKERS_PER_JOB {
            workers.push(worker);
        }
        if self.order.len() > MAX_TRACKED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.workers.remove(&oldest);
        }
    }

    /// Removes the failures of a job that has ended without a failure or was cancelled.
    pub(crate) fn remove(&mut self, task: &TaskId) {
        let job = Self::hash(task);
        if self.workers.remove(&job).is_some() {
            self.order.retain(|known| *known != job);
        }
    }

    /// Returns the workers on which a job failed.
    pub(crate) fn workers(&self, job: u64) -> &[WorkerKey] {
        self.workers.get(&job).map_or(&[], Vec::as_slice)
    }
}
