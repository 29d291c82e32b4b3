//! Outcomes that callers receive for submissions, cancellations and queries.

use std::time::Duration;

use dispatch::api;
use dispatch::api::CancelOutcome;
use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use dispatch::rows;
use job::scheduler::JobState;

use crate::store::StoreFault;
use crate::world::QUEUE;
use crate::world::World;
use crate::world::job;
use crate::world::job_id;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);

async fn started() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world
}

fn is_stored(world: &World, number: u64) -> bool {
    world
        .store
        .value(&rows::job_row_id(job_id(number)))
        .is_some()
}

#[tokio::test(start_paused = true)]
async fn an_accepted_job_is_stored_and_a_refused_one_never_is() {
    let cases = [
        (StoreFault::None, SubmitOutcome::Accepted),
        (StoreFault::Refuses, SubmitOutcome::Refused),
        (StoreFault::Silent, SubmitOutcome::Unknown),
        (StoreFault::LosesAnswers, SubmitOutcome::Unknown),
        (StoreFault::DelaysWrites(3 * SECOND), SubmitOutcome::Unknown),
    ];
    for (fault, expected) in cases {
        let world = started().await;
        world.host("b").store_fault.set(fault);
        let start = tokio::time::Instant::now();
        assert_eq!(world.submit("b", 1, job(2)).await, expected, "{fault:?}");
        assert!(start.elapsed() < SECOND, "{fault:?}: {:?}", start.elapsed());
        world.host("b").store_fault.set(StoreFault::None);
        world.advance(5 * SECOND).await;
        match expected {
            SubmitOutcome::Accepted => assert!(is_stored(&world, 1)),
            SubmitOutcome::Refused => assert!(!is_stored(&world, 1), "{fault:?}"),
            SubmitOutcome::Unknown
            | SubmitOutcome::NameTaken
            | SubmitOutcome::Cancelled
            | SubmitOutcome::Overloaded { .. } => {}
            SubmitOutcome::TooLarge { .. } => panic!("{fault:?}: the job is small"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_is_refused_at_once_while_the_store_is_known_to_be_unavailable() {
    let world = started().await;
    world.host("b").store_fault.set(StoreFault::Silent);
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Unknown);
    world.advance(3 * SECOND).await;
    let start = tokio::time::Instant::now();
    assert_eq!(world.submit("b", 2, job(2)).await, SubmitOutcome::Refused);
    assert!(start.elapsed() < Duration::from_millis(20));
    world.host("b").store_fault.set(StoreFault::None);
    world.advance(4 * SECOND).await;
    assert_eq!(world.submit("b", 3, job(2)).await, SubmitOutcome::Accepted);
    assert!(!is_stored(&world, 2), "the submission was not sent");
}

#[tokio::test(start_paused = true)]
async fn a_resubmitted_job_runs_once_and_another_job_under_its_name_is_rejected() {
    let world = started().await;
    assert_eq!(world.submit("a", 1, job(2)).await, SubmitOutcome::Accepted);
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Accepted);
    assert_eq!(world.submit("b", 1, job(3)).await, SubmitOutcome::NameTaken);
    world.wait_until_succeeded("a", &[1], 5 * SECOND).await;
    assert_eq!(world.submit("a", 1, job(2)).await, SubmitOutcome::Accepted);
    world.advance(2 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_job_with_an_unknown_outcome_that_is_submitted_again_runs_once() {
    let world = started().await;
    world
        .host("a")
        .store_fault
        .set(StoreFault::DelaysWrites(2 * SECOND));
    assert_eq!(world.submit("a", 1, job(2)).await, SubmitOutcome::Unknown);
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Accepted);
    world.host("a").store_fault.set(StoreFault::None);
    world.wait_until_succeeded("b", &[1], 8 * SECOND).await;
    world.advance(4 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4);
}

/// A host that reads a large document again and again, and whose small calls the store answers.
#[tokio::test(start_paused = true)]
async fn callers_are_not_refused_because_a_read_of_the_document_has_failed() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "a" { "b" } else { "a" };
    world.document.break_transfers_after(5 * SECOND);
    world.document.change(plan(2, false));
    for number in 1..=6 {
        world.advance(3 * SECOND).await;
        let outcome = world.submit(host, number, job(1)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted, "job {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_is_reported_missing_only_after_the_store_was_read() {
    let world = started().await;
    assert_eq!(world.state("a", 7).await, JobLookup::NoSuchJob);
    for name in ["a", "b"] {
        world.host(name).store_fault.set(StoreFault::Silent);
    }
    assert_eq!(world.state("a", 7).await, JobLookup::Unknown);
}

#[tokio::test(start_paused = true)]
async fn job_states_are_available_without_an_owner() {
    let world = started().await;
    world.submit("a", 1, job(2)).await;
    world.wait_until_succeeded("a", &[1], 5 * SECOND).await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "a" { "b" } else { "a" };
    world.submit(host, 2, job(2)).await;
    world.kill(&owner);
    assert_eq!(
        world.state(host, 1).await,
        JobLookup::State(JobState::Succeeded)
    );
    assert!(matches!(world.state(host, 2).await, JobLookup::State(_)));
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_starts_no_more_tasks_even_after_a_takeover() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "a" { "b" } else { "a" };
    world.submit(host, 1, job(4)).await;
    world.advance(Duration::from_millis(100)).await;
    let node = world.host(host).node.clone();
    let cancelled = world.run_on(host, api::cancel(&node, job_id(1))).await;
    assert_eq!(cancelled, CancelOutcome::Accepted);
    world.kill(&owner);
    world.advance(8 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4, "only the first step ran");
    assert_eq!(
        world.state(host, 1).await,
        JobLookup::State(JobState::Cancelled)
    );
    let unknown = world.run_on(host, api::cancel(&node, job_id(9))).await;
    assert_eq!(unknown, CancelOutcome::NoSuchJob);
}

#[tokio::test(start_paused = true)]
async fn every_host_reports_the_number_of_pending_jobs() {
    let world = started().await;
    for number in 1..=40 {
        world.submit("a", number, job(4)).await;
    }
    for name in ["a", "b"] {
        let node = world.host(name).node.clone();
        let pending = world.run_on(name, api::pending(&node)).await;
        let waiting = pending.and_then(|pending| pending.get(QUEUE).copied());
        assert!(waiting > Some(10), "{name}: {waiting:?}");
    }
}
