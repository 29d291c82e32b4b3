//! Tests of the age of jobs, which may exceed the time for which their owner has run.

use std::sync::Arc;

use job::id::JobId;
use job::ranking::DeadlineOutlook;
use job::ranking::rank;
use job::scheduler::Submission;
use job::spec::JobSpec;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::step;

/// Age of the job when the owner learns of it, in milliseconds.
const AGE_MS: u64 = 24_000;
/// The time for which the owner's clock has run, in milliseconds.
const UPTIME_MS: u64 = 500;

/// SHORT: after a takeover by a host that had just started, jobs without any value left were placed
/// first, because they seemed to have arrived when the host started.
#[test]
fn a_job_that_arrived_before_its_owner_started_keeps_its_age() {
    let mut fixture = Fixture::new(1);
    fixture.now = Mono(UPTIME_MS);
    let submission = Submission {
        id: JobId::parse("0000000000000001").expect("a valid job identifier"),
        queue: QUEUE.into(),
        age_ms: AGE_MS,
        spec: Arc::new(JobSpec {
            steps: vec![step(1, 4, 1_000)],
            ..JobSpec::default()
        }),
        row_version: 1,
        terms: None,
    };
    let now = fixture.now;
    let key = fixture
        .scheduler
        .submit(submission, now)
        .expect("a new job");
    let [ready] = fixture.scheduler.ready_steps(0)[..] else {
        panic!("one step is ready");
    };
    let job = fixture.scheduler.job(key).expect("the job exists");
    let rank = rank(&fixture.scheduler, job, ready, now, 0);
    assert_eq!(rank.outlook, DeadlineOutlook::TooLate);
    assert_eq!(job.age(now).as_millis(), u128::from(AGE_MS));
}
