//! Tests of jobs whose queue the document in force lacks.

use std::sync::Arc;
use std::time::Duration;

use job::fleet::Listing;
use job::id::JobId;
use job::plan::Plan;
use job::ranking::objective;
use job::record::SubmissionRecord;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::spec::StepSpec;
use job::terms::Terms;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

const ATTEMPTS: u32 = 4;

/// Returns a document without queues.
fn without_queues() -> Arc<Plan> {
    Arc::new(Plan {
        queues: Vec::new().into(),
        ..(*plan(ATTEMPTS)).clone()
    })
}

/// Returns a fixture with a job of two tasks that run on one executor, and the job.
fn with_running_job() -> (Fixture, JobId) {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.plan = plan(ATTEMPTS);
    let id = fixture.submit(1, vec![step(2, 4, 6_000)]);
    fixture.start_all();
    (fixture, id)
}

/// Reports that the run of the first task on the executor has failed.
fn fail_one(fixture: &mut Fixture, sequence: u64) {
    let key = fixture.tasks_on(1)[0];
    let end = fixture.end(sequence, key, RunOutcome::Failed);
    fixture.report(1, vec![end]);
}

/// Returns the state of a job, whether it is stored or not.
fn state(fixture: &Fixture, id: JobId) -> JobState {
    let key = fixture.scheduler.find(id).expect("the job exists");
    let job = fixture.scheduler.job(key).expect("the job exists");
    job.state
}

/// Guards against an absent queue that counts as one with a single attempt.
#[test]
fn a_job_keeps_its_attempts_while_its_queue_is_absent() {
    let (mut fixture, id) = with_running_job();
    fixture.scheduler.plan = without_queues();
    fail_one(&mut fixture, 1);
    assert_eq!(state(&fixture, id), JobState::Running);
    fixture.scheduler.plan = plan(ATTEMPTS);
    for sequence in 2..=u64::from(ATTEMPTS) {
        assert_eq!(state(&fixture, id), JobState::Running);
        fixture.pass(100);
        fixture.start_all();
        fail_one(&mut fixture, sequence);
    }
    assert_eq!(state(&fixture, id), JobState::Failed);
}

/// Guards against terms that only the owner knows under which the job was accepted. A job of an earlier
/// release whose terms no owner knows must not fail either.
#[test]
fn a_successor_keeps_the_terms_of_a_job_whose_queue_is_absent() {
    for terms in [plan(ATTEMPTS).queues.first().map(Terms::from), None] {
        let (mut fixture, id) = with_running_job();
        let batch = fixture.scheduler.take_batch(100, usize::MAX);
        let key = fixture.scheduler.find(id).expect("the job exists");
        let job = fixture.scheduler.job(key).expect("the job exists");
        let record = job::record::encode(job, &fixture.scheduler.fleet, usize::MAX);
        drop(batch);
        let mut submission = fixture.submission(id);
        submission.terms = terms;
        let mut next = Fixture::new(1);
        next.scheduler.plan = without_queues();
        let record = job::record::decode(&record.bytes).expect("a valid record");
        next.scheduler.restore(submission, &record, next.now);
        fail_one(&mut next, 1);
        let key = next.scheduler.find(id).expect("the job exists");
        let job = next.scheduler.job(key).expect("the job exists");
        assert_eq!(job.state, JobState::Running);
        assert_eq!(next.scheduler.terms(job), terms);
        if terms.is_some() {
            let expected = Duration::from_millis(2 * 6_000 + 1_000);
            assert_eq!(objective(&next.scheduler, job), expected);
        }
    }
}

/// Guards against starts for a queue whose service is not known to be allowed: of waiting tasks, gangs
/// included, and of tasks that were assigned before and whose start waits for its turn.
#[test]
fn no_task_starts_while_its_queue_is_absent() {
    for gang in [false, true] {
        for was_sent in [false, true] {
            let mut fixture = Fixture::new(1);
            fixture.scheduler.plan = plan(ATTEMPTS);
            let spec = StepSpec {
                gang,
                ..step(1, 4, 6_000)
            };
            fixture.submit(1, vec![spec.clone()]);
            let (key, run) = fixture.only_start();
            fixture.submit(2, vec![spec]);
            fixture.scheduler.plan = without_queues();
            assert_eq!(fixture.place(), 0);
            if was_sent {
                fixture.start_answered(key, run, StartAnswer::Unanswered);
            }
            assert!(!fixture.scheduler.is_start_wanted(key, run));
            fixture.scheduler.withdraw_start(key, run, fixture.now);
            let commands = fixture.scheduler.take_commands();
            if was_sent {
                assert!(matches!(&commands[..], [Command::Stop { .. }]));
            } else {
                assert!(commands.is_empty(), "{commands:?}");
                assert_eq!(fixture.place(), 0);
                fixture.scheduler.plan = plan(ATTEMPTS);
                assert_eq!(fixture.place(), 2);
            }
        }
    }
}

/// Guards against a start on an executor of a service that the document in force no longer sends the
/// queue to, because the command waited for its turn.
#[test]
fn no_task_starts_on_a_service_that_its_queue_has_left() {
    let mut fixture = Fixture::new(1);
    fixture.scheduler.plan = plan(ATTEMPTS);
    fixture.submit(1, vec![step(1, 4, 6_000)]);
    let (key, run) = fixture.only_start();
    assert!(fixture.scheduler.is_start_wanted(key, run));
    let mut moved = (*plan(ATTEMPTS)).clone();
    let mut queue = moved.queues[0].clone();
    queue.service = "other".into();
    moved.queues = vec![queue].into();
    fixture.scheduler.plan = moved.into();
    assert!(!fixture.scheduler.is_start_wanted(key, run));
    fixture.scheduler.withdraw_start(key, run, fixture.now);
    assert_eq!(fixture.place(), 0, "no executor of the other service");
    let other = Listing {
        service: "other".into(),
        ..listing(2)
    };
    fixture.list(vec![listing(1), other]);
    fixture.pass(1_000);
    assert_eq!(fixture.place(), 1);
    assert_eq!(fixture.tasks_on(2), [key]);
}

/// Guards against a format that other releases cannot read: they run side by side for a while.
#[test]
fn a_submission_is_read_with_and_without_terms() {
    let old = r#"{"q":"queue","at":7,"j":{"payload":"p","steps":[]}}"#;
    let record: SubmissionRecord = serde_json::from_str(old).expect("a valid record");
    assert_eq!(record.terms, None);
    assert_eq!(serde_json::to_string(&record).expect("valid"), old);
    let terms = plan(ATTEMPTS).queues.first().map(Terms::from);
    let new = SubmissionRecord { terms, ..record };
    let text = serde_json::to_string(&new).expect("valid");
    let read: SubmissionRecord = serde_json::from_str(&text).expect("a valid record");
    assert_eq!(read, new);
}
