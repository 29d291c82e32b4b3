//! Tests that ended work stays ended: refusals of repeated start commands, and ends that are
//! reported after their lease was considered expired.

use std::sync::Arc;

use job::fleet::ExecutorKey;
use job::id::JobId;
use job::record::JobRecord;
use job::scheduler::EndedRun;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::MAX_LEASE;
use crate::fixture::QUEUE;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// Every refusal of a copy of a start command.
const REFUSALS: [StartAnswer; 6] = [
    StartAnswer::NoRoom,
    StartAnswer::TooLate,
    StartAnswer::Superseded,
    StartAnswer::Unhealthy,
    StartAnswer::Invalid,
    StartAnswer::NoTicket,
];

/// Returns the number of the executor that a task is assigned to.
fn executor_of(fixture: &Fixture, key: TaskKey) -> usize {
    let executor: ExecutorKey = fixture
        .scheduler
        .task(key)
        .and_then(|task| Some(task.assignment()?.executor))
        .expect("the task is assigned");
    let found = (1..=2).find(|number| fixture.executor(*number) == executor);
    found.expect("the executor is listed")
}

/// Starts all tasks. Returns the first one of a job and the number of its executor.
fn start_first_task(fixture: &mut Fixture, job: JobId) -> (TaskKey, usize) {
    fixture.start_all();
    let key = TaskKey {
        job: fixture.scheduler.find(job).expect("known"),
        slot: 0,
    };
    (key, executor_of(fixture, key))
}

/// Abandons everything on an executor that cannot be reached until its leases have expired.
fn lose_contact(fixture: &mut Fixture, number: usize) {
    let executor = fixture.executor(number);
    fixture.scheduler.grant_lease(executor, fixture.now);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    fixture.now = fixture.now.after(MAX_LEASE);
    fixture.scheduler.tick(fixture.now);
}

fn acknowledgement(fixture: &Fixture, number: usize) -> u64 {
    fixture.scheduler.acknowledgement(fixture.executor(number))
}

/// Returns a new owner of the same executors.
fn successor(fixture: &mut Fixture) -> Fixture {
    let mut next = fixture.successor();
    next.list(vec![listing(1), listing(2)]);
    next
}

/// A copy of the command was executed without an answer, a report has shown the run, and the run
/// has ended when the next copy arrives.
#[test]
fn a_refused_copy_of_a_start_command_does_not_release_a_run_that_was_reported() {
    for refusal in REFUSALS {
        let mut fixture = Fixture::new(1);
        let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
        let (key, run) = fixture.only_start();
        fixture.start_answered(key, run, StartAnswer::Unanswered);
        let running = fixture.running(key, 10, 0);
        fixture.report_rows(1, vec![running], vec![]);
        fixture.pass(1_000);
        fixture.start_answered(key, run, refusal);
        fixture.pass(1_000);
        assert_eq!(fixture.place(), 0, "{refusal:?}: the task is not free");
        let end = fixture.end(1, key, RunOutcome::Done);
        fixture.report_rows(1, vec![], vec![end]);
        fixture.store();
        assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
        assert_eq!(acknowledgement(&fixture, 1), 1);
    }
}

#[test]
fn a_start_refused_as_superseded_waits_for_the_report_with_its_end() {
    let mut fixture = Fixture::new(1);
    let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
    let (key, run) = fixture.only_start();
    fixture.start_answered(key, run, StartAnswer::Superseded);
    fixture.pass(500);
    assert_eq!(fixture.place(), 0, "an earlier copy may have run");
    let end = fixture.end(1, key, RunOutcome::Done);
    fixture.report_rows(1, vec![], vec![end]);
    fixture.store();
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
}

#[test]
fn a_start_refused_as_superseded_that_no_report_lists_starts_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    let (key, run) = fixture.only_start();
    fixture.start_answered(key, run, StartAnswer::Superseded);
    fixture.pass(500);
    fixture.report_rows(1, vec![], vec![]);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn a_successor_learns_from_a_poll_what_a_superseded_start_became() {
    let mut fixture = Fixture::new(2);
    let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
    let (key, run) = fixture.only_start();
    let number = executor_of(&fixture, key);
    fixture.start_answered(key, run, StartAnswer::Superseded);
    let end = fixture.end(1, key, RunOutcome::Done);
    fixture.scheduler.cancel(job);
    let mut next = successor(&mut fixture);
    assert_eq!(next.place(), 0, "the executor has not been polled");
    next.report_rows(number, vec![], vec![end]);
    assert_eq!(next.tasks_on(number).len(), 0);
    assert_eq!(next.place(), 0);
}

#[test]
fn a_late_success_counts_if_the_task_has_not_started_again() {
    for storing in [false, true] {
        let mut fixture = Fixture::new(2);
        let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
        let (key, first) = start_first_task(&mut fixture, job);
        let end = fixture.end(1, key, RunOutcome::Done);
        lose_contact(&mut fixture, first);
        if storing {
            assert_eq!(fixture.place(), 1);
        }
        fixture.report_rows(first, vec![], vec![end]);
        fixture.store();
        assert!(fixture.scheduler.take_commands().is_empty());
        assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
        assert_eq!(acknowledgement(&fixture, first), 1);
    }
}

/// Another executor refused the next run, so that no later run has begun when the end of the first
/// one is reported.
#[test]
fn a_late_success_counts_although_later_starts_were_refused() {
    for refusal in REFUSALS {
        if refusal == StartAnswer::Superseded {
            // This refusal does not exclude that a copy of the command was executed.
            continue;
        }
        let mut fixture = Fixture::new(2);
        let job = fixture.submit(1, vec![step(1, 4, 1_000)]);
        let (key, first) = start_first_task(&mut fixture, job);
        let end = fixture.end(1, key, RunOutcome::Done);
        lose_contact(&mut fixture, first);
        for _ in 0..2 {
            let (key, run) = fixture.only_start();
            fixture.start_answered(key, run, refusal);
            fixture.pass(1_000);
        }
        fixture.report_rows(first, vec![], vec![end]);
        assert_eq!(fixture.place(), 0, "{refusal:?}");
        fixture.store();
        assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
        assert_eq!(acknowledgement(&fixture, first), 1, "{refusal:?}");
    }
}

/// Starts a task of executor 1 or 2 again elsewhere after its lease expired. Returns the number of
/// the first executor, and the end of the first run that it reports later.
fn restarted(
    fixture: &mut Fixture,
    steps: Vec<StepSpec>,
    outcome: RunOutcome,
) -> (usize, EndedRun) {
    let job = fixture.submit(1, steps);
    let (key, first) = start_first_task(fixture, job);
    let end = fixture.end(7, key, outcome);
    lose_contact(fixture, first);
    assert_eq!(fixture.start_all().len(), 1);
    (first, end)
}

#[test]
fn a_late_success_of_a_task_that_started_again_is_not_acknowledged() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Done);
    fixture.report_rows(first, vec![], vec![end]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), 6);
}

#[test]
fn a_late_success_is_acknowledged_once_the_executor_reports_a_later_expiry_of_its_lease() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Done);
    let expired = EndedRun {
        sequence: 8,
        task: None,
        outcome: RunOutcome::LeaseExpired,
        ..end.clone()
    };
    fixture.report_rows(first, vec![], vec![end, expired]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), 8);
}

#[test]
fn a_successor_does_not_acknowledge_the_late_success_of_a_task_that_started_again() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Done);
    fixture.scheduler.cancel(end.task.expect("a task").job);
    let mut next = successor(&mut fixture);
    next.report_rows(first, vec![], vec![end]);
    next.store();
    assert_eq!(acknowledgement(&next, first), 6);
}

#[test]
fn a_late_success_of_an_ended_job_whose_task_started_again_is_not_acknowledged() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Done);
    let id = end.task.expect("a task").job;
    let second = 3 - first;
    let key = fixture.tasks_on(second)[0];
    let last = fixture.end(1, key, RunOutcome::Done);
    fixture.report_rows(second, vec![], vec![last]);
    fixture.store();
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.scheduler.find(id), None, "the job is retired");
    fixture.report_rows(first, vec![], vec![end]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), 6);
}

/// Guards against a successor that acknowledges an earlier success once the job has ended, because
/// records do not tell by which run a task was done.
#[test]
fn a_successor_that_ends_the_job_does_not_acknowledge_the_late_success_of_a_task_that_started_again()
 {
    let mut fixture = Fixture::new(2);
    let second_step = StepSpec {
        after: vec![0],
        ..step(1, 4, 1_000)
    };
    let steps = vec![step(1, 4, 1_000), second_step];
    let (first, end) = restarted(&mut fixture, steps, RunOutcome::Done);
    let second = 3 - first;
    let again = fixture.tasks_on(second)[0];
    let last = fixture.end(1, again, RunOutcome::Done);
    fixture.report_rows(second, vec![], vec![last]);
    let mut next = successor(&mut fixture);
    next.start_all();
    let key = next.tasks_on(second)[0];
    let last = next.end(2, key, RunOutcome::Done);
    next.report_rows(second, vec![], vec![last]);
    next.store();
    next.scheduler.tick(next.now);
    let id = end.task.expect("a task").job;
    assert_eq!(next.scheduler.find(id), None, "the job is retired");
    next.report_rows(first, vec![], vec![end]);
    next.store();
    assert_eq!(acknowledgement(&next, first), 6);
}

#[test]
fn late_failures_count_against_the_attempts() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Failed);
    let id = end.task.expect("a task").job;
    fixture.report_rows(first, vec![], vec![end]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), 7, "one of two failures");
    let second = 3 - first;
    let key = fixture.tasks_on(second)[0];
    let last = fixture.end(1, key, RunOutcome::Failed);
    fixture.report_rows(second, vec![], vec![last]);
    assert_eq!(fixture.place(), 0, "the attempts are used up");
    fixture.store();
    assert_eq!(fixture.scheduler.state(id), Some(JobState::Failed));
}

#[test]
fn a_late_failure_that_would_have_used_up_the_attempts_is_not_acknowledged() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Failed);
    let second = 3 - first;
    let key = fixture.tasks_on(second)[0];
    let failed = fixture.end(1, key, RunOutcome::Failed);
    fixture.report_rows(second, vec![], vec![failed]);
    fixture.pass(5_000);
    assert_eq!(fixture.start_all().len(), 1, "one failure is known");
    fixture.report_rows(first, vec![], vec![end]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), 6);
}

/// An executor lists at most 500 ends. All ends after one that must not be acknowledged stay in its
/// list, so that further runs there would end unheard.
#[test]
fn an_executor_with_ends_that_are_not_acknowledged_gets_no_more_tasks_than_it_can_list_ends() {
    let mut fixture = Fixture::new(2);
    let (first, end) = restarted(&mut fixture, vec![step(1, 4, 1_000)], RunOutcome::Done);
    let second = 3 - first;
    fixture.report_rows(first, vec![], vec![end.clone()]);
    fixture.store();
    assert_eq!(acknowledgement(&fixture, first), end.sequence - 1);
    let mut listed = vec![end];
    let mut seconds_ends = 0;
    // The executor gets one task at a time, because its lease has to expire, which it never does here.
    for number in 2..700 {
        fixture.submit(number, vec![step(16, 4, 1_000)]);
        fixture.start_all();
        for key in fixture.tasks_on(second) {
            seconds_ends += 1;
            let end = fixture.end(seconds_ends, key, RunOutcome::Done);
            fixture.report(second, vec![end]);
        }
        for key in fixture.tasks_on(first) {
            let sequence = listed[0].sequence + listed.len() as u64;
            listed.push(fixture.end(sequence, key, RunOutcome::Done));
        }
        assert!(listed.len() <= 500, "{} ends", listed.len());
        fixture.report_rows(first, vec![], listed.clone());
        fixture.store();
        fixture.pass(1_000);
    }
    assert!(listed.len() > 400, "{} ends", listed.len());
}

/// A gang of two tasks on two executors.
fn gang() -> Vec<StepSpec> {
    vec![StepSpec {
        gang: true,
        max_per_executor: 1,
        ..step(2, 4, 1_000)
    }]
}

#[test]
fn a_gang_whose_first_member_ended_well_out_of_reach_does_not_start_again() {
    let mut fixture = Fixture::new(2);
    let job = fixture.submit(1, gang());
    fixture.start_all();
    let first = fixture.tasks_on(1)[0];
    let second = fixture.tasks_on(2)[0];
    let done = fixture.end(1, first, RunOutcome::Done);
    let broken = fixture.end(1, second, RunOutcome::Interrupted);
    lose_contact(&mut fixture, 1);
    fixture.report_rows(2, vec![], vec![broken]);
    fixture.report_rows(1, vec![], vec![done]);
    assert_eq!(fixture.place(), 0);
    fixture.store();
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
}

#[test]
fn a_gang_ends_with_the_success_of_one_member_after_another_was_lost() {
    let mut fixture = Fixture::new(2);
    let job = fixture.submit(1, gang());
    fixture.start_all();
    let second = fixture.tasks_on(2)[0];
    let done = fixture.end(1, second, RunOutcome::Done);
    lose_contact(&mut fixture, 1);
    fixture.report_rows(2, vec![], vec![done]);
    fixture.store();
    assert_eq!(fixture.scheduler.state(job), Some(JobState::Succeeded));
}

#[test]
fn a_record_of_an_earlier_job_under_the_same_name_is_ignored() {
    let mut fixture = Fixture::new(1);
    let id = fixture.submit(1, vec![step(1, 4, 1_000)]);
    let key = fixture.scheduler.find(id).expect("known");
    let spec = fixture.scheduler.job(key).expect("known").spec.clone();
    fixture.scheduler.cancel(id);
    let batch = fixture.scheduler.take_batch(10, usize::MAX);
    let record: JobRecord = serde_json::from_slice(&batch.rows[0].1).expect("a valid record");
    let queue: Arc<str> = QUEUE.into();
    for (row_version, state) in [(1, JobState::Cancelled), (2, JobState::Queued)] {
        let submission = Submission {
            id,
            queue: queue.clone(),
            age_ms: 0,
            spec: spec.clone(),
            row_version,
            terms: None,
        };
        let mut next = Scheduler::new(plan(2), fixture.scheduler.timing);
        next.restore(submission, &record, Mono(500));
        assert_eq!(next.state(id), Some(state));
    }
}
