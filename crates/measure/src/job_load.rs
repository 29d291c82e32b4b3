//! The queue and the submissions that the measurements of a job owner share.

use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::plan::Queue;
use job::scheduler::Submission;
use job::spec::JobSpec;
use job::spec::StepSpec;

/// Returns the queue to which [`submission`] submits.
pub(crate) fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/queue/".into(),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Duration::from_secs(1),
        advisor: None,
    }
}

/// Returns a submission whose id and row version are `number`.
pub(crate) fn submission(number: u64, payload: &str, steps: Vec<StepSpec>) -> Submission {
    Submission {
        id: JobId::parse(&format!("{number:016x}"))
            .expect("16 hexadecimal digits are a valid job id"),
        queue: "queue".into(),
        age_ms: 0,
        spec: Arc::new(JobSpec {
            payload: payload.into(),
            steps,
            repeat: None,
        }),
        row_version: number,
        terms: None,
    }
}

/// Returns the mean time per operation in microseconds.
pub(crate) fn mean_us(seconds: f64, count: u32) -> f64 {
    seconds * 1e6 / f64::from(count.max(1))
}
