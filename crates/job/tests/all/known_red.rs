//! Tests that fail because of a fault that is not mended. `KNOWN-RED.txt` lists each.

use job::scheduler::RunOutcome;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;
use crate::fixture::step;

/// While the previous owner may still repeat its start command, an executor that starts anew would
/// accept it, and a task whose end was acknowledged would start again.
#[test]
fn the_end_of_an_inherited_run_is_acknowledged_only_once_the_previous_owner_sends_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let sends_until = next.now.after(LEASE * 2);
    let until = next.now.after(LEASE * 3);
    next.scheduler.inherit_leases(sends_until, until);
    next.list(vec![listing(1)]);
    let task = next.tasks_on(1)[0];
    let end = next.end(1, task, RunOutcome::Done);
    next.report_rows(1, vec![], vec![end]);
    next.store();
    let executor = next.executor(1);
    assert_eq!(
        next.scheduler.acknowledgement(executor),
        0,
        "the previous owner may start the task again"
    );
    next.scheduler
        .previous_owner_stopped(next.now, next.now.after(LEASE), until);
    assert_eq!(next.scheduler.acknowledgement(executor), 1);
}

/// Small tasks go to the executors with the most free CPU, so that each executor always runs some of
/// them and none ever has room for a task that needs nearly all of it.
#[test]
fn a_large_short_task_is_not_starved_by_a_continuous_stream_of_small_ones() {
    let mut fixture = Fixture::new(2);
    fixture.submit(100, vec![step(4, 8, 1_000)]);
    fixture.start_all();
    fixture.submit(1, vec![step(1, 60, 1_000)]);
    let mut ended = [0, 0];
    for number in 0..60 {
        fixture.pass(500);
        fixture.submit(200 + number, vec![step(1, 8, 1_000)]);
        let index = usize::from(number % 2 == 1);
        let oldest = fixture.tasks_on(index + 1).into_iter().min_by_key(|key| {
            let task = fixture.scheduler.task(*key);
            task.and_then(|task| Some(task.assignment()?.assigned_at))
        });
        ended[index] += 1;
        let oldest = oldest.expect("tasks run");
        let end = fixture.end(ended[index], oldest, RunOutcome::Done);
        fixture.report(index + 1, vec![end]);
        fixture.start_all();
        let tasks = [fixture.tasks_on(1), fixture.tasks_on(2)].concat();
        let mut sizes = tasks.iter().filter_map(|key| fixture.scheduler.step(*key));
        if sizes.any(|step| step.size.cpu_millis == 60_000) {
            return;
        }
    }
    panic!("waits for 30 s while a quarter of the CPU is in use");
}
