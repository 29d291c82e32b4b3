//! Tests of stored records and of their restoration by a new owner.

use job::fleet::Listing;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;
use crate::fixture::step;

#[test]
fn a_new_owner_polls_executors_before_it_starts_inherited_tasks_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(2, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    next.list(vec![listing(1), listing(2)]);
    assert_eq!(next.place(), 0);
    assert_eq!(next.tasks_on(1).len(), 2);
    next.report_rows(1, vec![], vec![]);
    assert_eq!(next.tasks_on(1).len(), 0, "the tasks run nowhere");
    assert_eq!(next.place(), 2);
}

#[test]
fn a_new_owner_continues_active_runs_and_counts_ends_that_were_not_stored() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(2, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    next.list(vec![listing(1)]);
    let tasks = next.tasks_on(1);
    let running = next.running(tasks[0], 40, 0);
    let end = next.end(7, tasks[1], RunOutcome::Done);
    next.report_rows(1, vec![running], vec![end]);
    assert_eq!(next.tasks_on(1), vec![tasks[0]]);
    let end = next.end(8, tasks[0], RunOutcome::Done);
    next.report_rows(1, vec![], vec![end]);
    next.store();
    assert_eq!(next.scheduler.state(job), Some(JobState::Succeeded));
}

#[test]
fn a_new_owner_counts_failures_of_earlier_runs() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, RunOutcome::Failed);
    fixture.report(1, vec![end]);
    let mut next = fixture.successor();
    next.list(vec![listing(1)]);
    next.pass(5_000);
    let commands = next.start_all();
    assert!(matches!(&commands[..], [Command::Start { run: 2, .. }]));
    let task = next.tasks_on(1)[0];
    let end = next.end(2, task, RunOutcome::Failed);
    next.report(1, vec![end]);
    next.store();
    assert_eq!(next.scheduler.state(job), Some(JobState::Failed));
}

#[test]
fn a_new_owner_waits_for_the_leases_of_an_unreachable_executor() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let until = next.now.after(LEASE * 3);
    next.scheduler.inherit_leases(next.now, until);
    next.list(vec![listing(2)]);
    while next.now < until {
        next.scheduler.tick(next.now);
        assert_eq!(next.place(), 0, "at {}", next.now);
        next.pass(500);
    }
    next.scheduler.tick(next.now);
    assert_eq!(next.place(), 1);
}

/// A new incarnation of the executor does not know the epoch of the new owner, so that a command that
/// the previous owner sent after the poll may have started the task.
#[test]
fn a_poll_sent_before_the_previous_owner_stopped_releases_no_inherited_task() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let sends_until = next.now.after(LEASE * 2);
    let until = next.now.after(LEASE * 3);
    next.scheduler.inherit_leases(sends_until, until);
    next.list(vec![listing(1)]);
    let requested = next.now;
    next.pass(20);
    next.scheduler
        .previous_owner_stopped(next.now, next.now.after(LEASE), until);
    next.pass(20);
    let empty = Report {
        started_unix_ms: Some(1_000),
        clock_ms: 500,
        ..Report::default()
    };
    let executor = next.executor(1);
    next.scheduler.report(executor, &empty, requested, next.now);
    assert_eq!(next.tasks_on(1).len(), 1, "the poll was sent before");
    next.report_rows(1, vec![], vec![]);
    assert_eq!(next.tasks_on(1).len(), 0, "the poll was sent after");
}

#[test]
fn the_record_of_an_ended_job_is_small() {
    let mut fixture = Fixture::new(4);
    fixture.submit(1, vec![step(30, 4, 1_000)]);
    fixture.start_all();
    for number in 1..=4 {
        let ends = (1..)
            .zip(fixture.tasks_on(number))
            .map(|(sequence, key)| fixture.end(sequence, key, RunOutcome::Done))
            .collect();
        fixture.report(number, ends);
    }
    let batch = fixture.scheduler.take_batch(100, usize::MAX);
    assert!(
        batch.rows[0].1.len() < 20,
        "{} bytes",
        batch.rows[0].1.len()
    );
}

/// The store refuses a transaction of more than 1 MB, and over a narrow link a transaction that takes
/// long is sent again while the first copy is on its way.
#[test]
fn a_batch_of_wide_jobs_is_divided_by_size() {
    let mut fixture = Fixture::new(1);
    let executor = fixture.executor(1);
    for number in 1..=90 {
        let id = fixture.submit(number, vec![step(300, 0, 1_000)]);
        let job = fixture.scheduler.find(id).expect("known");
        for slot in 0..300 {
            let key = TaskKey { job, slot };
            fixture.scheduler.assign(key, executor, fixture.now);
        }
    }
    let (mut rows, mut starts) = (0, 0);
    while fixture.scheduler.has_changes() {
        let batch = fixture.scheduler.take_batch(90, 100_000);
        let sizes: Vec<usize> = batch.rows.iter().map(|(_, row)| row.len()).collect();
        let [earlier @ .., _] = &sizes[..] else {
            panic!("an empty batch");
        };
        assert!(earlier.iter().sum::<usize>() < 100_000, "{sizes:?}");
        rows += batch.rows.len();
        starts += batch.starts();
        fixture.scheduler.batch_stored(batch, fixture.now);
    }
    assert_eq!((rows, starts), (90, 27_000));
}

/// The size of the store's rows.
const ROW_BYTES: usize = 65_536;

/// The most tasks that a job may have, all of them running with a checkpoint, under names as long as
/// those of real executors.
#[test]
fn the_record_of_the_widest_job_fits_a_row() {
    let mut fixture = Fixture::new(0);
    let executors = 1..=64;
    fixture.list(
        executors
            .map(|number| Listing {
                id: format!("i-{number:010x}").into(),
                started_unix_ms: 1_796_373_333_000,
                ..listing(number)
            })
            .collect(),
    );
    fixture.submit(1, vec![step(1_000, 4, 1_000)]);
    assert_eq!(fixture.place(), 1_000);
    let batch = fixture.scheduler.take_batch(100, usize::MAX);
    let bytes = batch.rows[0].1.len();
    let checkpoints = 1_000 * r#","c":"00000bb87a21d94b""#.len();
    assert!(
        bytes + checkpoints <= ROW_BYTES,
        "{bytes} bytes without checkpoints"
    );
}
