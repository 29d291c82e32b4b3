//! Whether a worker can be trusted with new work, by who else fails.
//!
//! Distinct jobs that fail on one worker speak against the worker, one job that fails on distinct
//! workers speaks against the job, and so does a class that fails on other workers as well.

use std::collections::VecDeque;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::TaskId;

use crate::key::ClassKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;

/// How many distinct failed jobs are remembered.
const MAX_FAILED_JOBS: usize = 16;
/// The evidence above which a worker is quarantined: about three jobs that fail nowhere else.
pub(crate) const QUARANTINE_EVIDENCE: f64 = 2.0;
/// The evidence below which a quarantined worker is used again.
pub(crate) const READMIT_EVIDENCE: f64 = 1.0;
/// The longest wait between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(3600);
/// A probe that has run for so long has not failed.
pub(crate) const PROBE_TIME: Duration = Duration::from_secs(120);

/// A job that failed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedJob {
    /// The stable hash of its name, which outlives its key.
    pub(crate) job: u64,
    /// Its class.
    pub(crate) class: ClassKey,
}

/// What a worker's runs say of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Distinct jobs that failed there, the oldest first.
    pub(crate) failed_jobs: Vec<FailedJob>,
    /// Its quarantine.
    pub(crate) quarantine: Option<Quarantine>,
}

/// A quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    /// When the next probe may start.
    pub(crate) next_probe_at: Mono,
    /// The wait before the probe after that.
    pub(crate) probe_delay: Duration,
    /// The probe that runs.
    pub(crate) probe: Option<TaskKey>,
    /// Whether a probe has not failed.
    pub(crate) probe_succeeded: bool,
}

impl Quarantine {
    /// Starts a quarantine.
    pub(crate) fn new(now: Mono, probe_delay: Duration) -> Self {
        Self {
            next_probe_at: now.after(probe_delay),
            probe_delay,
            probe: None,
            probe_succeeded: false,
        }
    }

    /// Waits twice as long for the next probe, because this one failed.
    pub(crate) fn probe_failed(&mut self, now: Mono) {
        self.probe_delay = (self.probe_delay * 2).min(MAX_PROBE_DELAY);
        self.next_probe_at = now.after(self.probe_delay);
        self.probe = None;
    }
}

impl Health {
    /// Remembers a failed job.
    pub(crate) fn record_failure(&mut self, failed: FailedJob) {
        self.failed_jobs.retain(|known| known.job != failed.job);
        if self.failed_jobs.len() == MAX_FAILED_JOBS {
            self.failed_jobs.remove(0);
        }
        self.failed_jobs.push(failed);
    }

    /// Lets two failures be forgotten for a success.
    pub(crate) fn record_success(&mut self) {
        let forgotten = self.failed_jobs.len().min(2);
        self.failed_jobs.drain(..forgotten);
    }

    /// Returns whether new work may start at `now`: any, or a probe.
    pub(crate) fn admits(&self, now: Mono, may_probe: bool) -> bool {
        match &self.quarantine {
            None => true,
            Some(quarantine) => {
                may_probe && quarantine.probe.is_none() && quarantine.next_probe_at <= now
            }
        }
    }
}

/// On which workers each job failed lately.
#[derive(Debug, Default)]
pub(crate) struct FailedJobs {
    workers: Map<u64, Vec<WorkerKey>>,
    order: VecDeque<u64>,
}

/// How many failed jobs are remembered in all.
const MAX_TRACKED_JOBS: usize = 4096;
/// How many workers are remembered for each of them.
const MAX_WORKERS_PER_JOB: usize = 4;

impl FailedJobs {
    /// Returns the stable hash by which a job is remembered.
    pub(crate) fn hash(task: &TaskId) -> u64 {
        model::hash::stable(task.as_str().as_bytes())
    }

    /// Remembers that a job failed on a worker.
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

    /// Forgets a job that has ended otherwise.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.workers.remove(&Self::hash(task));
    }

    /// Returns the workers on which a job failed.
    pub(crate) fn workers(&self, job: u64) -> &[WorkerKey] {
        self.workers.get(&job).map_or(&[], Vec::as_slice)
    }
}
