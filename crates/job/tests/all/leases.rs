//! Tests of leases of unreachable and restarted executors.

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

/// The latest time at which a lease granted now expires, on a clock that is 2% slow.
fn lease_expiry(now: Mono) -> Mono {
    now.after(LEASE + LEASE / 49)
}

#[test]
fn an_unreachable_executor_is_granted_no_lease_and_its_tasks_start_again_elsewhere() {
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
            "released at {} before the lease expired",
            fixture.now
        );
        fixture.pass(200);
    }
    fixture.pass(400);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0, "the lease has expired");
    fixture.list(vec![listing(2)]);
    let commands = fixture.start_all();
    assert!(matches!(&commands[..], [Command::Start { run: 2, .. }]));
}

#[test]
fn a_recovered_executor_is_granted_leases_again() {
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
fn a_new_incarnation_has_no_runs_of_the_previous_one() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    let report = new_incarnation();
    let requested = fixture.now;
    fixture
        .scheduler
        .report(executor, &report, requested, fixture.now);
    assert_eq!(
        fixture.tasks_on(1).len(),
        1,
        "a start confirmed after the report was requested may belong to the new incarnation"
    );
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &report, fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0);
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Running));
}

/// Returns the report of a later incarnation of an executor that has no runs.
fn new_incarnation() -> Report {
    Report {
        started_unix_ms: Some(2_000),
        clock_ms: 10,
        ..Report::default()
    }
}

/// Returns the list entry of executor 1 after a restart.
fn new_listing() -> Listing {
    Listing {
        started_unix_ms: 2_000,
        ..listing(1)
    }
}

#[test]
fn a_task_that_a_new_incarnation_ran_before_its_first_report_is_done() {
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
fn the_executor_list_alone_releases_no_task_of_a_restarted_executor() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    fixture.pass(50);
    fixture.list(vec![new_listing()]);
    assert_eq!(
        fixture.tasks_on(1).len(),
        1,
        "the new incarnation may have started the task"
    );
    let executor = fixture.executor(1);
    fixture
        .scheduler
        .report(executor, &new_incarnation(), fixture.now, fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0);
}

#[test]
fn a_late_report_of_a_previous_incarnation_is_ignored() {
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
    let known = fixture
        .scheduler
        .fleet
        .get(executor)
        .expect("the executor is known");
    assert_eq!(
        known.ends_received, 0,
        "sequence numbers of the previous incarnation are ignored"
    );
}

#[test]
fn no_end_is_acknowledged_while_a_new_incarnation_could_apply_its_sequence_number() {
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
        "a start command is in flight"
    );
    fixture.start_answered(key, run, StartAnswer::Started);
    assert_eq!(fixture.scheduler.acknowledgement(executor), 3);
    fixture
        .scheduler
        .command_answered(executor, None, 10, fixture.now);
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
        "the incarnation is unchanged"
    );
}

/// SHORT with a busy owner: an answer that waited for the owner's processor made each executor look as if
/// it had restarted, so that its ends were not acknowledged and listed again.
#[test]
fn an_answer_that_waited_for_a_busy_owner_is_no_sign_of_a_restart() {
    for late_ms in [0, 250, 900] {
        let mut fixture = Fixture::new(1);
        fixture.submit(1, vec![step(1, 4, 60_000)]);
        fixture.start_all();
        fixture.pass(5_000);
        let task = fixture.tasks_on(1)[0];
        let end = fixture.end(3, task, RunOutcome::Failed);
        fixture.report(1, vec![end]);
        fixture.store();
        fixture.pass(1_000);
        let executor = fixture.executor(1);
        let clock_ms = fixture.now.0 - late_ms;
        fixture
            .scheduler
            .command_answered(executor, None, clock_ms, fixture.now);
        let acknowledged = fixture.scheduler.acknowledgement(executor);
        assert_eq!(acknowledged, 3, "an answer is {late_ms} ms late");
    }
}

#[test]
fn a_new_incarnation_with_a_deadline_of_the_previous_clock_may_run_for_the_longest_lease() {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.calls_may_stray = true;
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
    let restarted_at = fixture.now;
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    while fixture.now < restarted_at.after(MAX_LEASE) {
        fixture.pass(500);
        fixture.list(vec![new_listing()]);
        fixture.scheduler.mark_unreachable(executor, fixture.now);
        fixture.scheduler.tick(fixture.now);
        assert_eq!(fixture.tasks_on(1).len(), 1, "released at {}", fixture.now);
    }
    fixture.pass(1_000);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.tasks_on(1).len(), 0, "every lease has expired");
}

#[test]
fn an_unanswered_start_is_stopped_at_a_new_incarnation_before_the_task_starts_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    let (key, run) = fixture.only_start();
    fixture.start_answered(key, run, StartAnswer::Unanswered);
    let executor = fixture.executor(1);
    let new_incarnation = new_incarnation();
    fixture
        .scheduler
        .report(executor, &new_incarnation, fixture.now, fixture.now);
    let commands = fixture.scheduler.take_commands();
    assert!(matches!(&commands[..], [Command::Stop { run: 1, .. }]));
    fixture.place();
    assert_eq!(
        fixture.tasks_on(1).len(),
        1,
        "the run may still start there"
    );
    fixture.scheduler.stop_confirmed(key, run, fixture.now);
    fixture.pass(50);
    fixture
        .scheduler
        .report(executor, &new_incarnation, fixture.now, fixture.now);
    assert_eq!(
        fixture.tasks_on(1).len(),
        0,
        "the run can no longer start there"
    );
}

#[test]
fn a_confirmed_start_with_a_copy_in_flight_is_stopped_at_a_new_incarnation_first() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    let (key, run) = fixture.only_start();
    for answer in [StartAnswer::Unanswered, StartAnswer::Started] {
        fixture.start_answered(key, run, answer);
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
    assert_eq!(
        fixture.tasks_on(1).len(),
        0,
        "the executor rejects the run from now on"
    );
}

#[test]
fn an_end_that_is_reported_twice_is_counted_once() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(2, 4, 1_000)]);
    fixture.start_all();
    let tasks = fixture.tasks_on(1);
    let end = fixture.end(1, tasks[0], RunOutcome::Failed);
    fixture.report(1, vec![end.clone()]);
    fixture.report(1, vec![end]);
    assert_eq!(
        fixture
            .scheduler
            .task(tasks[0])
            .expect("the task exists")
            .failures,
        1
    );
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Running));
}

/// The answer to a poll arrives seconds late, after those to later calls.
#[test]
fn a_late_report_does_not_shorten_the_leases_that_are_granted_after_it() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    fixture.start_all();
    let executor = fixture.executor(1);
    let task = fixture.tasks_on(1)[0];
    let late = Report {
        started_unix_ms: Some(1_000),
        clock_ms: fixture.now.0,
        running: vec![fixture.running(task, 10, 0)],
        ended: vec![],
    };
    let sent = fixture.now;
    fixture.pass(6_000);
    fixture.report(1, vec![]);
    fixture.pass(10);
    fixture.scheduler.report(executor, &late, sent, fixture.now);
    let deadline = fixture.scheduler.grant_lease(executor, fixture.now);
    let expected = fixture.now.after(LEASE).0;
    assert_eq!(deadline, Some(expected));
}

/// TWICE: a deadline that was computed from the clock of an earlier incarnation gave the present one the longest
/// lease.
#[test]
fn the_answer_of_an_incarnation_that_has_ended_says_nothing_of_the_present_clock() {
    let mut fixture = Fixture::new(1);
    fixture.pass(60_000);
    let first = listing(1);
    fixture.list(vec![first.clone()]);
    let second = new_listing();
    fixture
        .scheduler
        .update_executors(vec![(second, 0)], fixture.now);
    let executor = fixture.executor(1);

    let (ended, late_ms) = (Some(first.started_unix_ms), fixture.now.0);
    fixture
        .scheduler
        .command_answered(executor, ended, late_ms, fixture.now);
    let deadline = fixture.scheduler.grant_lease(executor, fixture.now);
    let longest = model::time::millis(LEASE);
    assert!(
        deadline.is_some_and(|deadline| deadline <= longest),
        "{deadline:?}"
    );
}

/// An answer on a connection to the present incarnation proves that there was no restart, however late it
/// comes. Taken for one, it kept all tasks from the executor; taken for a present reading, it shortened its leases.
#[test]
fn a_late_answer_of_the_present_incarnation_changes_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.pass(60_000);
    fixture.list(vec![listing(1)]);
    let executor = fixture.executor(1);
    let present = Some(listing(1).started_unix_ms);
    let clock_ms = fixture.now.0;
    fixture
        .scheduler
        .command_answered(executor, present, clock_ms, fixture.now);
    let expected = fixture.scheduler.grant_lease(executor, fixture.now);
    let late_ms = fixture.now.0 - 4_000;
    fixture
        .scheduler
        .command_answered(executor, present, late_ms, fixture.now);
    let granted = fixture.scheduler.grant_lease(executor, fixture.now);
    assert_eq!(granted, expected);
    fixture.submit(1, vec![step(1, 4, 60_000)]);
    assert_eq!(fixture.place(), 1);
}
