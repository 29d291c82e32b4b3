//! Tests of executors with a best-effort task that was placed after a long wait.

use crate::fixture::best_effort;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::fixture_with_learned_interference;

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
