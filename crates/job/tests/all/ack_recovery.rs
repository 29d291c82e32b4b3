//! Tests that an executor becomes usable again after an end that must not be acknowledged: all later
//! ends stay in its list, of which it has 500.

use std::time::Duration;

use job::ack_recovery::AckRecovery;
use job::fleet::Listing;
use job::record::JobRecord;
use job::scheduler::EndedRun;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;
use crate::fixture::listing;
use crate::fixture::service;
use crate::fixture::step;

/// Abandons the runs on executor 1, which cannot be reached until its leases have expired.
fn lose_contact(fixture: &mut Fixture) {
    let executor = fixture.executor(1);
    fixture.scheduler.grant_lease(executor, fixture.now);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    fixture.now = fixture.now.after(MAX_LEASE);
    fixture.scheduler.tick(fixture.now);
}

/// Returns a fixture in which executor 1 lists the end of a run that was started again elsewhere.
fn with_a_withheld_end() -> (Fixture, EndedRun) {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![step(8, 16, 1_000)]);
    fixture.start_all();
    let key = fixture.tasks_on(1)[0];
    let end = fixture.end(1, key, RunOutcome::Done);
    lose_contact(&mut fixture);
    for key in fixture.tasks_on(2) {
        let sequence = u64::from(key.slot) + 1;
        let end = fixture.end(sequence, key, RunOutcome::Done);
        fixture.report(2, vec![end]);
    }
    fixture.start_all();
    assert!(fixture.tasks_on(2).contains(&key), "started again");
    fixture.report_rows(1, vec![], vec![end.clone()]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture), 0);
    (fixture, end)
}

fn acknowledgement(fixture: &Fixture) -> u64 {
    fixture.scheduler.acknowledgement(fixture.executor(1))
}

/// Ends all tasks of executor 2.
fn finish_on_second(fixture: &mut Fixture, first_sequence: u64) {
    for (key, sequence) in fixture.tasks_on(2).into_iter().zip(first_sequence..) {
        let end = fixture.end(sequence, key, RunOutcome::Done);
        fixture.report(2, vec![end]);
    }
}

/// Places the tasks of a job of which one fits executor 1 beside each seven on the other. Returns the
/// task that was placed on executor 1.
fn start_probe(fixture: &mut Fixture) -> TaskKey {
    finish_on_second(fixture, 100);
    fixture.submit(2, vec![step(6, 16, 3_000)]);
    fixture.start_all();
    let tasks = fixture.tasks_on(1);
    assert_eq!(tasks.len(), 1, "one task at a time");
    tasks[0]
}

/// Guards against an executor that gets no tasks any more after an end that must not be acknowledged.
#[test]
fn an_executor_recovers_with_the_expiry_of_the_lease_of_one_task() {
    let (mut fixture, end) = with_a_withheld_end();
    let probe = start_probe(&mut fixture);
    let executor = fixture.executor(1);
    assert_eq!(fixture.scheduler.grant_lease(executor, fixture.now), None);
    let deadline = fixture
        .scheduler
        .grant_start_lease(probe, executor, fixture.now)
        .expect("a start has a lease");
    let clock = fixture.scheduler.fleet.get(executor).expect("known").clock;
    let now_ms = clock
        .expect("it has answered")
        .deadline(fixture.now, Duration::ZERO);
    assert!((now_ms + 1..now_ms + 1_000).contains(&deadline));
    fixture.pass(500);
    let expired = fixture.end(2, probe, RunOutcome::LeaseExpired);
    fixture.report_rows(1, vec![], vec![end, expired]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture), 2);
    assert_eq!(
        fixture.scheduler.task(probe).map(|task| task.failures),
        Some(0),
        "the lapsed run is no attempt"
    );
    assert!(
        fixture
            .scheduler
            .grant_lease(executor, fixture.now)
            .is_some()
    );
    fixture.submit(3, vec![step(4, 16, 1_000)]);
    fixture.start_all();
    assert!(fixture.tasks_on(1).len() > 1, "usable as before");
    let id = fixture.scheduler.job(probe.job).expect("known").id;
    assert_eq!(fixture.scheduler.state(id), Some(JobState::Running));
}

/// Guards against a probe that is kept alive by a lease which was granted earlier.
#[test]
fn no_task_is_placed_on_a_recovering_executor_before_its_leases_have_expired() {
    let (mut fixture, end) = with_a_withheld_end();
    let executor = fixture.executor(1);
    let known = fixture.scheduler.fleet.get_mut(executor).expect("known");
    known.leases_expire_at = fixture.now.after(LEASE);
    finish_on_second(&mut fixture, 100);
    fixture.submit(2, vec![step(6, 16, 3_000)]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 0);
    fixture.pass(1_000);
    fixture.report_rows(1, vec![], vec![end]);
    fixture.now = fixture.now.after(LEASE);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 1);
}

/// Guards against a recovery that never begins, because polls extend the lease while a service runs.
#[test]
fn an_executor_with_a_long_running_task_recovers_before_its_list_is_full() {
    let (mut fixture, end) = with_a_withheld_end();
    let executor = fixture.executor(1);
    let known = fixture.scheduler.fleet.get_mut(executor).expect("known");
    known.recovery = None;
    finish_on_second(&mut fixture, 100);
    fixture.submit(2, vec![service(2, 33, "web")]);
    let mut ends = vec![end];
    fixture.start_all();
    let lasting = fixture.tasks_on(1);
    assert_eq!(lasting.len(), 1);
    let known = fixture.scheduler.fleet.get_mut(executor).expect("known");
    known.recovery = None;
    for number in 3..400 {
        fixture.submit(number, vec![step(4, 8, 500)]);
        fixture.start_all();
        for key in fixture.tasks_on(1) {
            if !lasting.contains(&key) {
                ends.push(fixture.end(ends.len() as u64 + 1, key, RunOutcome::Done));
            }
        }
        let running = lasting.iter().map(|key| fixture.running(*key, 100, 10));
        fixture.report_rows(1, running.collect(), ends.clone());
        finish_on_second(&mut fixture, 1_000 + number * 10);
        fixture.store();
        fixture.pass(500);
        fixture.scheduler.tick(fixture.now);
    }
    assert!((200..=300).contains(&ends.len()), "{} ends", ends.len());
    let stopping = |key: &TaskKey| {
        let task = fixture.scheduler.task(*key).expect("known");
        task.assignment()
            .is_some_and(|assignment| assignment.stopping)
    };
    assert!(lasting.iter().all(stopping), "it moves elsewhere");
}

/// Guards against probes whose lease never expires in time: durations are estimates, and clocks drift
/// while an executor is not polled.
#[test]
fn the_lease_of_a_probe_adapts_until_it_expires_while_the_task_runs() {
    let second = Duration::from_secs(1);
    let mut recovery = AckRecovery::new(Mono(0));
    let first = recovery.probe_lease(second);
    assert!(first < second / 2);
    recovery.probe_ended(first);
    assert_eq!(recovery.probe_lease(second), first / 2);
    for _ in 0..20 {
        recovery.probe_too_late(recovery.probe_lease(second));
    }
    assert_eq!(recovery.probe_lease(second), second, "bounded");
    for _ in 0..20 {
        recovery.probe_ended(recovery.probe_lease(second));
    }
    assert_eq!(recovery.probe_lease(second), Duration::from_millis(20));
}

/// Guards against a record that grows with each abandoned run for as long as the job runs.
#[test]
fn an_abandoned_run_leaves_the_record_once_its_executor_has_restarted() {
    let mut fixture = Fixture::new(2);
    let id = fixture.submit(1, vec![step(2, 40, 1_000)]);
    fixture.start_all();
    lose_contact(&mut fixture);
    let job = fixture.scheduler.find(id).expect("known");
    let record = |fixture: &Fixture| {
        let job = fixture.scheduler.job(job).expect("known");
        let row = job::record::encode(job, &fixture.scheduler.fleet, usize::MAX);
        job::record::decode(&row.bytes).expect("a valid record")
    };
    assert_eq!(record(&fixture).abandoned.len(), 1);
    let restarted = job::fleet::Listing {
        started_unix_ms: 2_000,
        ..crate::fixture::listing(1)
    };
    fixture.list(vec![restarted, crate::fixture::listing(2)]);
    assert_eq!(record(&fixture).abandoned.len(), 0);
}

/// Returns a new owner of the same executors, which has read the record of the first job.
fn successor_of(fixture: &mut Fixture) -> Fixture {
    finish_on_second(fixture, 100);
    let mut next = fixture.successor();
    next.list(vec![listing(1), listing(2)]);
    next.scheduler
        .previous_owner_stopped(next.now, next.now, next.now);
    next
}

/// Guards against a successor that places tasks before it knows of the end. Their leases would have to
/// expire while the executor is empty.
#[test]
fn a_successor_waits_for_the_first_report_of_an_executor_with_an_abandoned_run() {
    let (mut fixture, end) = with_a_withheld_end();
    let mut next = successor_of(&mut fixture);
    next.submit(2, vec![step(6, 16, 3_000)]);
    next.start_all();
    assert_eq!(next.tasks_on(1).len(), 0);
    let executor = next.executor(1);
    assert_eq!(next.scheduler.grant_lease(executor, next.now), None);
    next.report_rows(1, vec![], vec![end]);
    finish_on_second(&mut next, 200);
    next.submit(3, vec![step(6, 16, 3_000)]);
    next.start_all();
    let tasks = next.tasks_on(1);
    assert_eq!(tasks.len(), 1, "a probe at once");
    assert_eq!(next.scheduler.grant_lease(executor, next.now), None);
}

/// Guards against an executor that no task is placed on any more, because no report was due.
#[test]
fn a_report_without_the_end_makes_the_executor_usable_for_a_successor() {
    let (mut fixture, _) = with_a_withheld_end();
    let mut next = successor_of(&mut fixture);
    next.report_rows(1, vec![], vec![]);
    next.submit(2, vec![step(6, 16, 3_000)]);
    next.start_all();
    assert!(next.tasks_on(1).len() > 1, "usable as before");
}

/// Guards against a successor that extends the lease of an inherited probe, so that the probe ends
/// by itself and the extended lease has to expire while the executor is empty.
#[test]
fn a_successor_lets_the_lease_of_an_inherited_probe_expire() {
    let (mut fixture, end) = with_a_withheld_end();
    finish_on_second(&mut fixture, 100);
    fixture.list(vec![listing(1)]);
    fixture.submit(2, vec![step(6, 16, 3_000)]);
    fixture.place();
    assert_eq!(fixture.tasks_on(1).len(), 1, "a probe");
    let mut next = fixture.successor_of_all();
    next.list(vec![listing(1)]);
    next.scheduler
        .previous_owner_stopped(next.now, next.now, next.now);
    let executor = next.executor(1);
    let probe = next.tasks_on(1)[0];
    assert_eq!(next.scheduler.grant_lease(executor, next.now), None);
    next.report_rows(1, vec![next.running(probe, 10, 0)], vec![end.clone()]);
    assert_eq!(next.scheduler.grant_lease(executor, next.now), None);
    let expired = next.end(2, probe, RunOutcome::LeaseExpired);
    next.report_rows(1, vec![], vec![end, expired]);
    next.store();
    assert_eq!(acknowledgement(&next), 2);
    next.start_all();
    assert!(next.tasks_on(1).len() > 1, "usable as before");
}

/// Guards against a record of an earlier release, which does not name the executor: any may list the
/// end.
#[test]
fn a_successor_waits_for_the_first_report_of_each_executor_if_a_record_does_not_name_it() {
    let (mut fixture, end) = with_a_withheld_end();
    finish_on_second(&mut fixture, 100);
    let batch = fixture.scheduler.take_batch(100, usize::MAX);
    let (id, row) = &batch.rows[0];
    let mut record: JobRecord = serde_json::from_slice(row).expect("a valid record");
    for run in &mut record.abandoned {
        run.executor = None;
        run.executor_started_unix_ms = None;
    }
    let mut next = Fixture::new(0);
    next.scheduler
        .restore(fixture.submission(*id), &record, next.now);
    next.list(vec![listing(1), listing(2)]);
    next.submit(2, vec![step(6, 16, 3_000)]);
    next.start_all();
    assert_eq!(next.tasks_on(1).len() + next.tasks_on(2).len(), 0);
    next.report_rows(1, vec![], vec![end]);
    next.start_all();
    assert_eq!(next.tasks_on(1).len(), 1, "a probe");
}

/// Guards against an executor that waits for a report about runs of an earlier incarnation.
#[test]
fn a_restarted_executor_gets_tasks_from_a_successor_at_once() {
    let (mut fixture, _) = with_a_withheld_end();
    finish_on_second(&mut fixture, 100);
    let mut next = fixture.successor();
    let restarted = Listing {
        started_unix_ms: 2_000,
        ..listing(1)
    };
    next.list(vec![restarted, listing(2)]);
    next.submit(2, vec![step(6, 16, 3_000)]);
    next.start_all();
    assert!(next.tasks_on(1).len() > 1);
}

/// Guards against a record that is not read because its encoding names executors of abandoned runs.
#[test]
fn the_compact_record_names_the_executors_of_abandoned_runs() {
    let (mut fixture, _) = with_a_withheld_end();
    finish_on_second(&mut fixture, 100);
    fixture.scheduler.max_record_bytes = 100;
    let batch = fixture.scheduler.take_batch(100, usize::MAX);
    let record = job::record::decode(&batch.rows[0].1).expect("a valid record");
    assert!(!record.abandoned.is_empty());
    for run in &record.abandoned {
        assert_eq!(run.executor.as_deref(), Some("e1"));
        assert_eq!(run.executor_started_unix_ms, Some(1_000));
    }
}
