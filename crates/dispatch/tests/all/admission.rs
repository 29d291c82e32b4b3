//! Admission control on whole hosts: refusals are true, end with the overload, and stop when nobody
//! knows how long jobs wait.

use std::time::Duration;

use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use dispatch::dump::dump;
use dispatch::rows;
use job::scheduler::JobState;

use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// Tasks of a step that take all executors.
const WIDE: u32 = 32;
/// Jobs that are submitted to cause an overload: some 30 s of work.
const FLOOD: u64 = 25;

fn is_overloaded(outcome: SubmitOutcome) -> bool {
    matches!(outcome, SubmitOutcome::Overloaded { .. })
}

/// Returns the time after which a caller comes back.
fn retry_after(outcome: SubmitOutcome) -> Duration {
    match outcome {
        SubmitOutcome::Overloaded { retry_after_s } => Duration::from_secs(retry_after_s),
        _ => panic!("expected a refusal, got {outcome:?}"),
    }
}

fn row(world: &World, number: u64) -> Option<Vec<u8>> {
    world.store.value(&rows::job_row_id(job_id(number)))
}

/// Returns whether a job is stored, and not just the marker of its refusal.
fn is_stored(world: &World, number: u64) -> bool {
    let row = row(world, number);
    row.is_some_and(|value| serde_json::from_slice::<rows::RefusalRecord>(&value).is_err())
}

/// Starts hosts `a` and `b`. Returns the owner and the other one.
async fn started() -> (World, String, String) {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(2 * SECOND).await;
    let owner = world.owner().expect("an owner");
    let other = if owner == "a" { "b" } else { "a" };
    (world, owner, other.to_owned())
}

/// Submits more than can be done in time, and waits until hosts know it.
async fn flood(world: &World, host: &str) {
    flood_from(world, host, 1).await;
}

/// The same, with the ids from this number on.
async fn flood_from(world: &World, host: &str, first: u64) {
    for number in first..first + FLOOD {
        world.submit(host, number, job(WIDE)).await;
        world.advance(Duration::from_millis(50)).await;
    }
    world.advance(SECOND).await;
}

/// Guards against refusals at some hosts only, and against ones of which something is stored.
#[tokio::test(start_paused = true)]
async fn each_host_refuses_under_overload_and_a_refused_job_never_runs() {
    let (world, owner, other) = started().await;
    flood(&world, &other).await;
    for host in [&owner, &other] {
        let dump = dump(&world.host(host).node);
        let estimate = dump.admission.expect("an estimate").estimate;
        assert!(!estimate.queues.is_empty(), "the dump tells why");
    }
    for (number, host) in [(100, &owner), (101, &other)] {
        let outcome = world.submit(host, number, job(WIDE)).await;
        assert!(is_overloaded(outcome), "{host}: {outcome:?}");
        assert_eq!(world.state(host, number).await, JobLookup::NoSuchJob);
    }
    let node = world.host(&owner).node.clone();
    let refused = dump(&node).owner.expect("the owner").refused;
    assert!(refused >= 2, "{refused}");
    let metrics = node.metrics.encode(&node).expect("text");
    assert!(metrics.contains("fireflynotch_admission_wait_milliseconds{queue=\"queue\"}"));
    assert!(metrics.contains("fireflynotch_submissions_total{outcome=\"overload\"}"));
    world.advance(60 * SECOND).await;
    for number in [100, 101] {
        assert!(!is_stored(&world, number));
        assert_eq!(
            world.state(&other, number).await,
            JobLookup::NoSuchJob,
            "it never runs"
        );
    }
    world.assert_no_violations();
}

/// Guards against refusals that go on after the overload, and against a marker that keeps a job from
/// being accepted.
#[tokio::test(start_paused = true)]
async fn a_refused_job_that_comes_back_is_accepted_at_any_host_and_runs_once() {
    let (world, owner, other) = started().await;
    flood(&world, &other).await;
    let mut outcome = world.submit(&other, 100, job(WIDE)).await;
    assert!(is_overloaded(outcome));
    for attempt in 0..40 {
        if !is_overloaded(outcome) {
            break;
        }
        world.advance(retry_after(outcome)).await;
        let host = if attempt % 2 == 0 { &owner } else { &other };
        outcome = world.submit(host, 100, job(WIDE)).await;
    }
    assert_eq!(outcome, SubmitOutcome::Accepted);
    world
        .wait_until_succeeded(&other, &[100], 60 * SECOND)
        .await;
}

/// Guards against refusals of a small job that finds room beside large ones that do not.
#[tokio::test(start_paused = true)]
async fn nothing_is_refused_while_its_tasks_find_free_capacity() {
    let (world, owner, other) = started().await;
    for number in 1..=FLOOD {
        world.submit(&other, number, job(20)).await;
    }
    for round in 0..20 {
        world.advance(Duration::from_millis(170)).await;
        let is_free = {
            let node = world.host(&owner).node.clone();
            let owner = node.owner().expect("an owner");
            let scheduler = owner.scheduler.borrow();
            let now = node.now();
            scheduler.has_room_to_begin("service", &job(1).steps[..1], now)
        };
        if is_free {
            let outcome = world.submit(&owner, 100 + round, job(1)).await;
            assert_eq!(outcome, SubmitOutcome::Accepted);
        }
    }
}

/// Guards against a refused id that runs: an earlier attempt has had no answer, and its write takes
/// effect seconds later.
#[tokio::test(start_paused = true)]
async fn a_late_write_of_an_earlier_attempt_does_not_make_a_refused_job_run() {
    let (world, owner, other) = started().await;
    world
        .host(&other)
        .store_fault
        .set(StoreFault::DelaysWrites(5 * SECOND));
    let first = world.submit(&other, 100, job(WIDE)).await;
    assert_eq!(first, SubmitOutcome::Unknown);
    flood(&world, &owner).await;
    let second = world.submit(&owner, 100, job(WIDE)).await;
    assert!(is_overloaded(second), "{second:?}");
    world.advance(60 * SECOND).await;
    assert!(!is_stored(&world, 100));
    assert_eq!(world.state(&owner, 100).await, JobLookup::NoSuchJob);
}

/// Guards against a refusal of a job that is stored although its caller had no answer.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_stored_is_not_refused_when_it_is_submitted_again() {
    let (world, owner, other) = started().await;
    world.host(&other).store_fault.set(StoreFault::LosesAnswers);
    let first = world.submit(&other, 100, job(WIDE)).await;
    assert_eq!(first, SubmitOutcome::Unknown);
    world.host(&other).store_fault.set(StoreFault::None);
    flood(&world, &owner).await;
    for host in [&owner, &other] {
        let again = world.submit(host, 100, job(WIDE)).await;
        assert_eq!(again, SubmitOutcome::Accepted, "{host}");
        let new = world.submit(host, 101, job(WIDE)).await;
        assert!(is_overloaded(new), "{host}: {new:?}");
    }
}

/// Guards against a refusal without a marker: while writes have no answer, nothing is known.
#[tokio::test(start_paused = true)]
async fn a_host_whose_writes_have_no_answer_does_not_refuse_for_load() {
    for fault in [
        StoreFault::LosesAnswers,
        StoreFault::DelaysWrites(3 * SECOND),
        StoreFault::Silent,
        StoreFault::Refuses,
    ] {
        let (world, owner, other) = started().await;
        flood(&world, &owner).await;
        world.host(&other).store_fault.set(fault);
        let outcome = world.submit(&other, 100, job(WIDE)).await;
        assert!(!is_overloaded(outcome), "{fault:?}: {outcome:?}");
    }
}

/// Guards against decisions by an estimate of an owner that is gone.
#[tokio::test(start_paused = true)]
async fn a_host_that_does_not_hear_of_the_owner_accepts() {
    let (world, owner, other) = started().await;
    flood(&world, &other).await;
    let before = world.submit(&other, 100, job(WIDE)).await;
    assert!(is_overloaded(before));
    world.host(&owner).frozen.set(true);
    let outcome = world.submit(&other, 101, job(WIDE)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted, "no answer");
    let node = world.host(&other).node.clone();
    assert!(node.admission.estimate(node.now()).is_some());
    world.advance(3 * SECOND).await;
    assert!(node.admission.estimate(node.now()).is_none(), "it is old");
}

/// Guards against an estimate of a new owner that does not know what runs: it makes one once it has
/// polled the executors, and then refuses as well.
#[tokio::test(start_paused = true)]
async fn a_new_owner_refuses_once_it_knows_the_executors() {
    let (world, owner, other) = started().await;
    flood(&world, &other).await;
    world.kill(&owner);
    let accepted = world.submit(&other, 100, job(WIDE)).await;
    assert_eq!(accepted, SubmitOutcome::Accepted, "no owner");
    world.advance(6 * SECOND).await;
    assert_eq!(world.owner().as_deref(), Some(&*other));
    flood_from(&world, &other, 200).await;
    let refused = world.submit(&other, 101, job(WIDE)).await;
    assert!(is_overloaded(refused), "{refused:?}");
}

/// Guards against a marker that a new owner takes for a job, and against markers that stay for good.
#[tokio::test(start_paused = true)]
async fn markers_survive_a_takeover_and_are_removed_in_the_end() {
    let (world, owner, other) = started().await;
    flood(&world, &other).await;
    assert!(is_overloaded(world.submit(&other, 100, job(WIDE)).await));
    assert!(is_overloaded(world.submit(&other, 101, job(WIDE)).await));
    world.kill(&owner);
    world.advance(10 * SECOND).await;
    assert!(row(&world, 100).is_some(), "a late write may still come");
    let mut outcome = world.submit(&other, 100, job(WIDE)).await;
    while is_overloaded(outcome) {
        world.advance(retry_after(outcome)).await;
        outcome = world.submit(&other, 100, job(WIDE)).await;
    }
    assert_eq!(outcome, SubmitOutcome::Accepted);
    for _ in 0..90 {
        if row(&world, 101).is_none() {
            break;
        }
        world.advance(SECOND).await;
    }
    assert!(row(&world, 101).is_none(), "the marker is removed");
    world.advance(3 * SECOND).await;
    assert!(is_stored(&world, 100), "the job stays");
    assert_eq!(
        world.state(&other, 100).await,
        JobLookup::State(JobState::Succeeded)
    );
}

/// Guards against refusals without overload.
#[tokio::test(start_paused = true)]
async fn nothing_is_refused_in_a_calm_system() {
    let (world, owner, other) = started().await;
    for number in 1..=20 {
        let host = if number % 2 == 0 { &owner } else { &other };
        let outcome = world.submit(host, number, job(10)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
        world.advance(SECOND).await;
    }
    assert!(row(&world, 1).is_some());
}
