//! Tests of the order in which changed jobs are stored.

use job::fleet::ExecutorKey;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::step;

/// Stores a transaction of one row. Returns the jobs that it contained.
fn store_one(fixture: &mut Fixture) -> Vec<String> {
    let batch = fixture.scheduler.take_batch(1, usize::MAX);
    let jobs = batch.rows.iter().map(|(id, _)| id.to_string()).collect();
    fixture.scheduler.batch_stored(batch, fixture.now);
    jobs
}

fn acknowledgeable(scheduler: &Scheduler, executor: ExecutorKey) -> u64 {
    let executor = scheduler.fleet.get(executor).expect("listed");
    executor.ends_acknowledgeable()
}

#[test]
fn an_end_is_acknowledged_only_once_its_row_is_stored_after_urgent_ones() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![best_effort(2, 4, "fill")]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, RunOutcome::Done);
    fixture.report(1, vec![end]);
    let urgent = fixture.submit(2, vec![step(1, 4, 1_000)]);
    fixture.place();
    let executor = fixture.executor(1);
    assert_eq!(store_one(&mut fixture), [urgent.to_string()]);
    assert_eq!(acknowledgeable(&fixture.scheduler, executor), 0);
    store_one(&mut fixture);
    assert_eq!(acknowledgeable(&fixture.scheduler, executor), 1);
}

#[test]
fn the_end_of_a_best_effort_task_is_acknowledged_although_urgent_changes_never_run_out() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![best_effort(2, 4, "fill")]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, RunOutcome::Done);
    fixture.report(1, vec![end]);
    let executor = fixture.executor(1);
    for number in 2..=20 {
        for job in [number, 100 + number] {
            let job = fixture.submit(job, vec![step(1, 1, 1_000)]);
            fixture.place();
            fixture.scheduler.cancel(job);
        }
        store_one(&mut fixture);
    }
    assert!(fixture.scheduler.has_changes());
    assert_eq!(acknowledgeable(&fixture.scheduler, executor), 1);
}

#[test]
fn a_job_that_becomes_urgent_while_it_waits_is_stored_first_and_once() {
    let mut fixture = Fixture::new(1);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 4, 1_000)
    };
    let changed = fixture.submit(1, vec![best_effort(1, 4, "fill"), second]);
    fixture.start_all();
    let other = fixture.submit(2, vec![best_effort(1, 4, "fill")]);
    fixture.place();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, RunOutcome::Done);
    fixture.report(1, vec![end]);
    fixture.place();
    let mut stored = Vec::new();
    while fixture.scheduler.has_changes() {
        stored.extend(store_one(&mut fixture));
    }
    assert_eq!(stored, [changed.to_string(), other.to_string()]);
    assert_eq!(fixture.scheduler.take_commands().len(), 2);
}
