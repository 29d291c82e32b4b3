//! Leases of executors that cannot be reached.

use job::fleet::Listing;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;
use crate::fixture::listing;
use crate::fixture::step;

/// The latest time at which a lease granted now lapses, on a clock that is 2% slow.
fn lease_expiry(now: Mono) -> Mono {
    now.after(LEASE + LEASE / 49)
}

#[test]
fn an_executor_that_does_not_answer_is_granted_nothing_and_its_tasks_start_again_elsewhere() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    assert!(
        fixture
            .scheduler
            .grant_lease(executor, fixture.now)
            .is_some()
    );
    let expires_at = lease_expiry(fixture.now);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    while fixture.now < expires_at {
        assert_eq!(fixture.scheduler.grant_lease(executor, fixture.now), None);
        fixture.scheduler.mark_unreachable(executor, fixture.now);
        fixture.scheduler.tick(fixture.now);
        assert_eq!(
            fixture.tasks_on(1).len(),
            1,
            "released at {} before the lease lapsed",
            fixture.now
        );
        fixture.pass(200);
    }
    fixture.pass(400);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0, "the lease has lapsed");
    fixture.list(vec![listing(2)]);
    let commands = fixture.start_all();
    assert!(matches!(&commands[..], [Command::Start { run: 2, .. }]));
}

#[test]
fn an_executor_that_answers_again_is_granted_leases_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    fixture.pass(1_000);
    fixture.report(1, vec![]);
    assert!(
        fixture
            .scheduler
            .grant_lease(executor, fixture.now)
            .is_some()
    );
    fixture.pass(3_000);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 1);
}

#[test]
fn a_new_life_of_an_executor_runs_nothing_of_the_earlier_one() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    let report = new_incarnation();
    let asked_for = fixture.now;
    fixture
        .scheduler
        .report(executor, &report, asked_for, fixture.now);
    assert_eq!(
        fixture.tasks_on(1).len(),
        1,
        "confirmed after the report was asked for, it may be the new life's"
    );
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &report, fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0);
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Running));
}

/// Returns the report of a later life of an executor, which runs nothing.
fn new_incarnation() -> Report {
    Report {
        started_unix_ms: Some(2_000),
        clock_ms: 10,
        ..Report::default()
    }
}

/// Returns the newest thing that the list says of an executor that has started anew.
fn new_listing() -> Listing {
    Listing {
        started_unix_ms: 2_000,
        ..listing(1)
    }
}

#[test]
fn a_task_that_a_new_life_has_begun_and_ended_before_it_was_met_is_done() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    fixture.pass(50);
    let report = Report {
        ended: vec![fixture.end(1, task, RunOutcome::Done)],
        ..new_incarnation()
    };
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &report, fixture.now, fixture.now);
    fixture.store();
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
}

#[test]
fn the_list_alone_takes_no_task_off_an_executor_that_started_anew() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    fixture.pass(50);
    fixture.list(vec![new_listing()]);
    assert_eq!(
        fixture.tasks_on(1).len(),
        1,
        "the new life may have begun it"
    );
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &new_incarnation(), fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0);
}

#[test]
fn a_report_of_an_earlier_life_that_arrives_late_is_worth_nothing() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    fixture.pass(50);
    let running = fixture.running(task, 10, 0);
    let new = Report {
        running: vec![running],
        ..new_incarnation()
    };
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &new, fixture.now, fixture.now);
    let end = fixture.end(57, task, RunOutcome::Done);
    fixture.report(1, vec![end]);
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Running));
    let known = fixture.scheduler.fleet.get(executor).expect("it is known");
    assert_eq!(
        known.ends_received, 0,
        "numbers of the earlier life mean nothing"
    );
}

#[test]
fn no_end_is_acknowledged_while_another_life_may_take_its_number_for_one_of_its_own() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(3, task, RunOutcome::Failed);
    fixture.report(1, vec![end]);
    fixture.store();
    let executor = fixture.executor(1);
    assert_eq!(fixture.scheduler.acknowledgement(executor), 3);
    fixture.pass(100);
    let (key, run) = fixture.only_start();
    assert_eq!(
        fixture.scheduler.acknowledgement(executor),
        0,
        "an order is under way"
    );
    fixture
        .scheduler
        .start_answered(key, run, StartAnswer::Started, fixture.now);
    assert_eq!(fixture.scheduler.acknowledgement(executor), 3);
    fixture
        .scheduler
        .command_answered(executor, 10, fixture.now);
    assert_eq!(
        fixture.scheduler.acknowledgement(executor),
        0,
        "its clock fell behind"
    );
    fixture.pass(100);
    let task = fixture.running(key, 10, 0);
    fixture.report_rows(1, vec![task], vec![]);
    assert_eq!(
        fixture.scheduler.acknowledgement(executor),
        3,
        "it is the same life"
    );
}

#[test]
fn a_new_life_that_took_a_deadline_for_its_own_clock_may_run_on_for_the_longest_lease() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    assert!(
        fixture
            .scheduler
            .grant_lease(executor, fixture.now)
            .is_some()
    );
    fixture.list(vec![new_listing()]);
    let from = fixture.now;
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    while fixture.now < from.after(MAX_LEASE) {
        fixture.pass(500);
        fixture.list(vec![new_listing()]);
        fixture.scheduler.mark_unreachable(executor, fixture.now);
        fixture.scheduler.tick(fixture.now);
        assert_eq!(fixture.tasks_on(1).len(), 1, "released at {}", fixture.now);
    }
    fixture.pass(1_000);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0, "every lease has lapsed");
}

#[test]
fn an_unanswered_order_to_an_earlier_life_is_stopped_at_the_new_one_before_the_task_starts_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    let (key, run) = fixture.only_start();
    fixture
        .scheduler
        .start_answered(key, run, StartAnswer::Unanswered, fixture.now);
    let executor = fixture.executor(1);
    let new_incarnation = new_incarnation();
    fixture
        .scheduler
        .report(executor, &new_incarnation, fixture.now, fixture.now);
    let commands = fixture.scheduler.take_commands();
    assert!(matches!(&commands[..], [Command::Stop { run: 1, .. }]));
    fixture.place();
    assert_eq!(fixture.tasks_on(1).len(), 1, "it may still start there");
    fixture.scheduler.stop_confirmed(key, run, fixture.now);
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &new_incarnation, fixture.now, fixture.now);
    assert_eq!(
        fixture.tasks_on(1).len(),
        0,
        "it cannot start there any more"
    );
}

#[test]
fn a_confirmed_start_with_a_copy_under_way_is_stopped_at_a_new_life_before_the_task_starts_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    let (key, run) = fixture.only_start();
    for answer in [StartAnswer::Unanswered, StartAnswer::Started] {
        fixture
            .scheduler
            .start_answered(key, run, answer, fixture.now);
    }
    fixture.pass(50);
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &new_incarnation(), fixture.now, fixture.now);
    let commands = fixture.scheduler.take_commands();
    assert!(matches!(&commands[..], [Command::Stop { run: 1, .. }]));
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &new_incarnation(), fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 1, "the copy may still arrive");
    fixture.scheduler.stop_confirmed(key, run, fixture.now);
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &new_incarnation(), fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0, "it is refused from now on");
}

#[test]
fn an_end_that_is_listed_again_is_counted_once() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(2, 4, 1_000)]);
    fixture.start_all();
    let tasks = fixture.tasks_on(1);
    let end = fixture.end(1, tasks[0], RunOutcome::Failed);
    fixture.report(1, vec![end.clone()]);
    fixture.report(1, vec![end]);
    assert_eq!(
        fixture.scheduler.task(tasks[0]).expect("a task").failures,
        1
    );
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Running));
}
