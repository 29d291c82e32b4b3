//! Tests that a best-effort task which was placed after a long wait does not stand still for ever.

use crate::fixture::best_effort;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::REPORT_INTERVAL_MS;
use crate::starvation::fixture_with_learned_interference;

/// A tail latency that is well below the target of the services in the tests, 50 ms.
const USUAL_TAIL_MS: u64 = 35;
/// The time within which the task has to be given some CPU.
const MAX_SUSPENSION_MS: u64 = 60_000;

/// Guards against a task that has begun and is never given any CPU, although no service exceeds its
/// target.
#[test]
fn a_disturbing_task_is_given_cpu_while_all_services_stay_well_below_their_targets() {
    let mut fixture = fixture_with_learned_interference();
    let id = fixture.submit(3, vec![best_effort(1, 16, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
    fixture.pass(REPORT_INTERVAL_MS);
    fixture.report_all(2, USUAL_TAIL_MS);
    let mut shares = Vec::new();
    for _ in 0..MAX_SUSPENSION_MS / REPORT_INTERVAL_MS {
        fixture.pass(REPORT_INTERVAL_MS);
        fixture.report_all(2, USUAL_TAIL_MS);
        let job = fixture.scheduler.find(id).expect("the job exists");
        let job = fixture.scheduler.job(job).expect("the job exists");
        let assignment = job.tasks[0].assignment().expect("the task is assigned");
        shares.push(assignment.cpu_percent);
    }
    let later = &shares[shares.len() / 2..];
    assert!(later.iter().any(|share| *share > 0), "{shares:?}");
}

/// Guards against slower observation of exactly the executors on which services are disturbed most.
#[test]
fn an_executor_with_a_disturbing_task_beside_a_service_counts_as_mixed() {
    let mut fixture = fixture_with_learned_interference();
    for number in 1..=2 {
        let executor = fixture.executor(number);
        let executor = fixture.scheduler.fleet.get(executor).expect("listed");
        assert!(!executor.is_mixed(), "no best-effort task runs yet");
    }
    let id = fixture.submit(3, vec![best_effort(1, 16, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
    let job = fixture.scheduler.find(id).expect("the job exists");
    let job = fixture.scheduler.job(job).expect("the job exists");
    let assignment = job.tasks[0].assignment().expect("the task is assigned");
    let executor = fixture.scheduler.fleet.get(assignment.executor);
    assert!(executor.expect("listed").is_mixed());
}
