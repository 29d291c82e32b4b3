//! Tests of the failures of gangs.

use job::id::JobId;
use job::scheduler::EndedRun;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

const MEMBERS: u32 = 4;
const ATTEMPTS: u32 = 2;

/// Returns a fixture with a gang whose members run on two executors.
fn with_running_gang() -> (Fixture, JobId) {
    let mut fixture = Fixture::new(2);
    fixture.scheduler.plan = plan(ATTEMPTS);
    let gang = StepSpec {
        gang: true,
        max_per_executor: MEMBERS / 2,
        ..step(MEMBERS, 4, 6_000)
    };
    let id = fixture.submit(1, vec![gang]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 2);
    (fixture, id)
}

/// Returns the ends of the members on an executor, of which the first `failed` have failed.
fn ends(fixture: &Fixture, number: usize, earlier: u64, failed: usize) -> Vec<EndedRun> {
    let members = fixture.tasks_on(number);
    let ends = members.iter().zip(earlier + 1..).enumerate();
    ends.map(|(index, (key, sequence))| {
        let outcome = if index < failed {
            RunOutcome::Failed
        } else {
            RunOutcome::Interrupted
        };
        fixture.end(sequence, *key, outcome)
    })
    .collect()
}

fn state(fixture: &Fixture, id: JobId) -> JobState {
    let key = fixture.scheduler.find(id).expect("the job exists");
    fixture.scheduler.job(key).expect("the job exists").state
}

/// Guards against a count of failed members: a gang with two members on a faulty executor failed after
/// one of two attempts.
#[test]
fn a_failed_run_of_a_gang_counts_once_however_many_members_fail() {
    for (failed_first, failed_second) in [(1, 0), (2, 0), (1, 1), (2, 2)] {
        let (mut fixture, id) = with_running_gang();
        for attempt in 0..ATTEMPTS {
            let what = format!("{failed_first} and {failed_second} fail in attempt {attempt}");
            assert_eq!(state(&fixture, id), JobState::Running, "{what}");
            for (number, failed) in [(1, failed_first), (2, failed_second)] {
                let ends = ends(&fixture, number, u64::from(attempt) * 2, failed);
                fixture.report(number, ends);
            }
            fixture.pass(100);
            fixture.start_all();
        }
        assert_eq!(state(&fixture, id), JobState::Failed);
    }
}

/// Guards against a count that a takeover between the reports of two members begins anew.
#[test]
fn a_successor_knows_which_run_of_a_gang_has_failed() {
    let (mut fixture, id) = with_running_gang();
    let first = ends(&fixture, 1, 0, 2);
    fixture.report(1, first);
    let second = ends(&fixture, 2, 0, 2);
    let mut next = fixture.successor();
    next.list(vec![listing(1), listing(2)]);
    next.report_rows(2, Vec::new(), second);
    assert_eq!(state(&next, id), JobState::Running);
    next.pass(100);
    assert_eq!(next.place(), MEMBERS as usize);
}

/// Guards against a failure that counts again because its end is listed after the lease has expired.
#[test]
fn a_late_failure_of_a_run_that_failed_in_another_member_does_not_count_again() {
    let (mut fixture, id) = with_running_gang();
    let first = ends(&fixture, 1, 0, 1);
    let second = ends(&fixture, 2, 0, 1);
    fixture.report(1, first);
    let executor = fixture.executor(2);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    for _ in 0..4 {
        fixture.pass(u64::try_from(LEASE.as_millis()).expect("a short lease"));
        fixture.list(vec![listing(1), listing(2)]);
        fixture.scheduler.tick(fixture.now);
    }
    assert!(fixture.tasks_on(2).is_empty(), "the lease has expired");
    fixture.report_rows(2, Vec::new(), second);
    assert_eq!(state(&fixture, id), JobState::Running);
}
