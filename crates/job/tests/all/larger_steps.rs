//! Tests that larger best-effort steps do not wait for ever behind smaller ones.

use std::time::Duration;

use job::id::JobId;
use job::scheduler::TaskKey;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::REPORT_INTERVAL_MS;
use crate::starvation::fixture_with_learned_interference;

/// The time within which the larger step has to start; one that waits alone starts within 10 s.
const MAX_WAIT_MS: u64 = 120_000;
/// How long a smaller task runs.
const RUN: Duration = Duration::from_secs(2);

/// Guards against a gang that needs several executors at the same time, while single tasks take the
/// turn of each executor as soon as it comes.
#[test]
fn a_best_effort_gang_starts_although_single_tasks_that_come_first_never_run_out() {
    expect_start_beside_single_tasks(true);
}

/// The same for a step whose tasks start one by one.
#[test]
fn a_best_effort_step_starts_although_smaller_disturbing_tasks_never_run_out() {
    expect_start_beside_single_tasks(false);
}

fn expect_start_beside_single_tasks(gang: bool) {
    let mut fixture = fixture_with_learned_interference();
    let larger = StepSpec {
        gang,
        max_per_executor: 1,
        ..best_effort(2, 16, "batch")
    };
    let id = fixture.submit(3, vec![larger]);
    let submitted = fixture.now;
    let mut number = 1_000;
    while !fixture.has_started(id) {
        let waited = fixture.now.0 - submitted.0;
        assert!(waited < MAX_WAIT_MS, "waits for {waited} ms");
        for _ in 0..2 {
            number += 1;
            fixture.submit(number, vec![best_effort(1, 4, "batch")]);
        }
        fixture.pass(REPORT_INTERVAL_MS);
        fixture.report_all(2, LOW_TAIL_MS);
        end_short_tasks(&mut fixture, id);
        fixture.start_all();
    }
}

/// Ends all jobs other than `kept` that have run for some seconds.
fn end_short_tasks(fixture: &mut Fixture, kept: JobId) {
    for executor in 1..=2 {
        let mut ended = fixture.tasks_on(executor);
        ended.retain(|key| has_run_for_long(fixture, *key));
        for key in ended {
            let id = fixture.scheduler.job(key.job).expect("the job exists").id;
            if id != kept {
                fixture.scheduler.cancel(id);
            }
        }
    }
    fixture.store();
    for executor in 1..=2 {
        report_open_jobs(fixture, executor);
    }
}

fn has_run_for_long(fixture: &Fixture, key: TaskKey) -> bool {
    let step = fixture.scheduler.step(key);
    let task = fixture.scheduler.task(key);
    let assignment = task.and_then(|task| task.assignment());
    step.is_some_and(|step| step.best_effort)
        && assignment.is_some_and(|assignment| fixture.now.since(assignment.assigned_at) >= RUN)
}

/// Reports the tasks of jobs that have not ended as running.
fn report_open_jobs(fixture: &mut Fixture, executor: usize) {
    let mut tasks = fixture.tasks_on(executor);
    tasks.retain(|key| {
        let job = fixture.scheduler.job(key.job);
        job.is_some_and(|job| !job.state.is_final())
    });
    let rows = tasks
        .into_iter()
        .map(|key| {
            let step = fixture.scheduler.step(key);
            let value = if step.is_some_and(StepSpec::is_service) {
                LOW_TAIL_MS
            } else {
                1_000
            };
            fixture.running(key, 100, value)
        })
        .collect();
    fixture.report_rows(executor, rows, Vec::new());
}
