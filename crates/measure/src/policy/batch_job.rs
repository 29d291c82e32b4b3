//! Batch jobs, waiting and on a worker.

use model::Size;

/// Time that a restarted job needs before it makes progress again, in seconds.
const RESTART_DELAY_S: u64 = 30;

/// A batch job.
#[derive(Clone, Debug)]
pub struct BatchJob {
    /// Number that identifies the job.
    pub number: usize,
    /// Batch class.
    pub class: usize,
    /// Resources that the job really uses.
    pub demand: Size,
    /// Resources that its submission declares.
    pub declared: Size,
    /// Unthrottled run time that the job needs, in seconds.
    pub work_s: f64,
    /// Completed part of [`work_s`](Self::work_s), in seconds.
    pub done_s: f64,
    /// Evictions so far.
    pub evictions: u32,
    /// Failures so far due to insufficient memory.
    pub failures: u32,
}

/// A batch job on a worker.
#[derive(Clone, Debug)]
pub struct RunningJob {
    /// The job itself.
    pub job: BatchJob,
    /// Resources reserved for the job; the worker enforces them as limits.
    pub reserved: Size,
    /// CPU limit in thousandths of the reserved CPU.
    pub permille: f64,
    /// Time from which the job makes progress, in seconds.
    pub progress_from_s: u64,
    /// Time at which the job stops, in seconds, if it is being evicted.
    pub stops_at_s: Option<u64>,
    /// Part of the mean CPU use over the current report window that has accrued so far, in
    /// thousandths of a core.
    pub window_cpu: f64,
}

impl RunningJob {
    /// Starts a job at `now_s`.
    pub fn new(job: BatchJob, reserved: Size, now_s: u64) -> Self {
        let restart_delay = if job.evictions > 0 {
            RESTART_DELAY_S
        } else {
            0
        };
        Self {
            job,
            reserved,
            permille: 1000.0,
            progress_from_s: now_s + restart_delay,
            stops_at_s: None,
            window_cpu: 0.0,
        }
    }

    /// Returns the CPU the job uses, in thousandths of a core.
    pub fn cpu(&self) -> f64 {
        let limit = self.reserved.cpu_millis as f64 * self.permille / 1000.0;
        limit.min(self.job.demand.cpu_millis as f64)
    }
}
