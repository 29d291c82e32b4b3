//! Whether a new job can be done in a time of value to its caller.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::backlog::is_subject;
use super::backlog::job_work;
use super::estimate::AdmissionEstimate;
use super::estimate::WaitRow;
use crate::plan::Queue;
use crate::ranking::LATE_FACTOR;
use crate::ranking::objective_of;
use crate::spec::JobSpec;
use crate::spec::StepSpec;

/// What the decision about a job depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTerms {
    /// The queue.
    pub queue: Arc<str>,
    /// The work of the job, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The time within which the job should end, in milliseconds.
    pub objective_ms: u64,
    /// The estimated duration of the longest chain of steps, in milliseconds.
    pub path_ms: u64,
    /// Whether the job has steps that are not best-effort and run on any executor.
    pub ordinary: bool,
    /// Whether the job has best-effort steps that run on any executor.
    pub best_effort: bool,
}

impl JobTerms {
    /// Returns the terms of a job, or `None` if admission control does not apply to it: see
    /// [`is_subject`]. Steps that need a label, and queues with an advisor, use executors that the
    /// estimate does not describe, and do not count.
    #[must_use]
    pub fn new(queue: &Queue, spec: &JobSpec) -> Option<Self> {
        if !is_subject(queue, spec) || queue.advisor.is_some() {
            return None;
        }
        let has = |best_effort: bool| {
            let counts = |step: &StepSpec| step.label.is_none() && step.best_effort == best_effort;
            spec.steps.iter().any(counts)
        };
        let terms = Self {
            queue: queue.name.clone(),
            work: job_work(spec),
            objective_ms: model::time::millis(objective_of(queue, spec)),
            path_ms: spec.critical_path_ms(),
            ordinary: has(false),
            best_effort: has(true),
        };
        (terms.ordinary || terms.best_effort).then_some(terms)
    }

    /// Returns how long after its arrival the job may start and still have value, in milliseconds.
    pub(super) fn latest_start_ms(&self) -> u64 {
        let value_ms = self.objective_ms.saturating_mul(u64::from(LATE_FACTOR));
        value_ms.saturating_sub(self.path_ms)
    }

    fn rows<'e>(&self, estimate: &'e AdmissionEstimate) -> impl Iterator<Item = &'e WaitRow> {
        let ordinary = self
            .ordinary
            .then(|| estimate.row(&self.queue, false, self.work));
        let best_effort = self
            .best_effort
            .then(|| estimate.row(&self.queue, true, self.work));
        [ordinary, best_effort].into_iter().flatten().flatten()
    }
}

/// What an estimate says about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job may be done while it has value.
    MayHaveValue,
    /// The job cannot be done while it has value.
    Hopeless {
        /// By how much it would start too late.
        excess: Duration,
    },
}

/// What becomes of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// The job may be stored.
    Accept,
    /// The job is not stored.
    Refuse {
        /// When its caller should retry.
        retry_after: Duration,
    },
}

/// Compares the wait of a job whose caller has waited for `elapsed` with the time in which it has
/// value. What the estimated rate completes in the `age` of the estimate is subtracted from the work
/// ahead; what has arrived since is not counted.
#[must_use]
pub fn judge(
    estimate: &AdmissionEstimate,
    terms: &JobTerms,
    elapsed: Duration,
    age: Duration,
) -> Verdict {
    let age_ms = model::time::millis(age);
    let in_time_ms = terms.objective_ms.saturating_sub(terms.path_ms);
    let starts = terms.rows(estimate).map(|row| {
        let row = WaitRow {
            ahead_ms: row
                .ahead_ms
                .saturating_sub(age_ms.saturating_mul(row.rate_permille) / 1_000),
            ..*row
        };
        row.start_ms(in_time_ms)
    });
    let start_ms = starts.max().unwrap_or(0);
    let elapsed_ms = model::time::millis(elapsed);
    let latest_ms = terms.latest_start_ms().saturating_sub(elapsed_ms);
    let is_over = latest_ms == 0 && elapsed_ms > 0;
    if start_ms <= latest_ms && !is_over {
        return Verdict::MayHaveValue;
    }
    Verdict::Hopeless {
        excess: Duration::from_millis(start_ms - latest_ms),
    }
}
