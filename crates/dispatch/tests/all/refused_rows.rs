//! Rows that the store refuses for good.

use std::time::Duration;

use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use dispatch::dependencies::DEFAULT_ROW_BYTES;
use dispatch::dependencies::RowId;
use dispatch::rows;
use job::scheduler::JobState;
use job::spec::JobSpec;
use job::spec::StepSpec;

use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);

/// Lets the store refuse all transactions that write a row.
fn refuse(world: &World, row_id: &RowId) {
    let key = (row_id.table, row_id.key.clone());
    world.store.refused_keys.borrow_mut().insert(key);
}

/// A world in which the store refuses the record of job 1.
async fn with_a_refused_job(executors: usize) -> World {
    let world = World::new(executors);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    refuse(&world, &rows::run_row_id(job_id(1)));
    for number in 1..=20 {
        let outcome = world.submit("b", number, job(2)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    world
}

fn set_aside(world: &World) -> usize {
    let owner = world.owner().expect("an owner");
    let dump = dispatch::dump::dump(&world.host(&owner).node);
    let jobs = dump.owner.expect("it owns").jobs;
    jobs.iter().filter(|job| job.set_aside).count()
}

/// Guards against an owner that repeats transactions without a pause, or sets jobs aside, because the store
/// refuses the row about leases.
#[tokio::test(start_paused = true)]
async fn a_refused_row_about_leases_stops_no_job() {
    let world = World::new(4);
    refuse(&world, &rows::leases_row_id());
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world.submit("b", 1, job(4)).await;
    world.fleet.executor(1).reachable.set(false);
    world.wait_until_succeeded("b", &[1], 15 * SECOND).await;
    assert_eq!(set_aside(&world), 0);
    let before = world.store.version();
    world.advance(4 * SECOND).await;
    let written = world.store.version() - before;
    assert!(written < 40, "{written} transactions in 4 s without work");
}

/// Guards against an owner, or a successor, that repeats the refused transaction for as long as it owns
/// the executors, so that no job of any queue makes progress.
#[tokio::test(start_paused = true)]
async fn a_refused_record_stops_no_other_job() {
    let world = with_a_refused_job(2).await;
    let others: Vec<u64> = (2..=20).collect();
    world.wait_until_succeeded("b", &others, 10 * SECOND).await;
    assert_eq!(set_aside(&world), 1);
    let starts = world.fleet.starts.get();
    assert_eq!(starts, 19 * 4, "the refused job does not start");
    let owner = world.owner().expect("an owner");
    world.kill(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    world.advance(12 * SECOND).await;
    world.submit(other, 30, job(2)).await;
    world.wait_until_succeeded(other, &[30], 10 * SECOND).await;
    assert_eq!(set_aside(&world), 1);
}

/// Guards against a job that stays set aside when the store would accept its record.
#[tokio::test(start_paused = true)]
async fn a_job_that_was_set_aside_goes_on_once_its_record_is_accepted() {
    let world = with_a_refused_job(2).await;
    world.advance(5 * SECOND).await;
    assert_eq!(set_aside(&world), 1);
    world.store.refused_keys.borrow_mut().clear();
    world.wait_until_succeeded("b", &[1], 40 * SECOND).await;
    assert_eq!(set_aside(&world), 0);
}

/// Guards against ends that are acknowledged although they are not stored: the record is refused after its
/// tasks have started, and a successor reads the older record, in which they run.
#[tokio::test(start_paused = true)]
async fn ends_of_a_job_whose_record_is_refused_are_not_acknowledged() {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world.submit("b", 1, job(2)).await;
    world.advance(Duration::from_millis(300)).await;
    refuse(&world, &rows::run_row_id(job_id(1)));
    world.submit("b", 2, job(2)).await;
    world.wait_until_succeeded("b", &[2], 10 * SECOND).await;
    assert_eq!(set_aside(&world), 1);
    let owner = world.owner().expect("an owner");
    world.kill(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    world.advance(3 * SECOND).await;
    world.store.refused_keys.borrow_mut().clear();
    world.wait_until_succeeded(other, &[1], 60 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8, "no run is repeated");
}

/// Guards against jobs that are set aside because of a store that refuses everything.
#[tokio::test(start_paused = true)]
async fn no_job_is_set_aside_while_the_store_refuses_all_transactions() {
    let world = World::new(2);
    world.start("a");
    world.advance(SECOND).await;
    refuse(&world, &rows::owner_row_id());
    for number in 1..=5 {
        world.submit("a", number, job(2)).await;
    }
    world.advance(3 * SECOND).await;
    assert_eq!(set_aside(&world), 0);
    world.store.refused_keys.borrow_mut().clear();
    let jobs: Vec<u64> = (1..=5).collect();
    world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
}

/// Guards against a cancellation that is not stored because the job is set aside: the record of an ended
/// job is small and may be accepted where the larger one was not.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_whose_record_is_refused_stops_no_other() {
    let world = with_a_refused_job(2).await;
    world.advance(SECOND).await;
    let node = world.host("b").node.clone();
    let cancelled = world.run_on("b", dispatch::api::cancel(&node, job_id(1)));
    assert_eq!(cancelled.await, dispatch::api::CancelOutcome::Accepted);
    world.submit("b", 40, job(2)).await;
    world.wait_until_succeeded("b", &[40], 10 * SECOND).await;
    let state = JobLookup::State(JobState::Cancelled);
    assert_eq!(world.state("b", 1).await, state);
}

/// Guards against a refused row of learned interference that stops jobs, because it is written every 3 s
/// together with their records.
#[tokio::test(start_paused = true)]
async fn a_refused_row_with_the_learned_interference_stops_no_job() {
    let world = World::new(2);
    let learned = r#"[{"s":"web","f":"batch","m":0.5,"v":0.1}]"#;
    let row_id = rows::interference_row_id();
    world.store.put(row_id.clone(), learned.into());
    refuse(&world, &row_id);
    world.start("a");
    world.advance(4 * SECOND).await;
    for number in 1..=5 {
        world.submit("a", number, job(2)).await;
        world.advance(SECOND).await;
    }
    let jobs: Vec<u64> = (1..=5).collect();
    world.wait_until_succeeded("a", &jobs, 5 * SECOND).await;
    assert_eq!(set_aside(&world), 0);
}

/// Guards against an accepted job whose row the store refuses: many steps that depend on all earlier ones
/// make a large row of a small number of tasks.
#[tokio::test(start_paused = true)]
async fn a_submission_that_exceeds_a_row_is_refused_with_the_limit() {
    let world = World::new(1);
    world.start("a");
    world.advance(SECOND).await;
    let step = |number: u32| StepSpec {
        count: 1,
        after: (0..number).collect(),
        ..job(1).steps.remove(0)
    };
    let spec = JobSpec {
        steps: (0..300).map(step).collect(),
        ..job(1)
    };
    let outcome = world.submit("a", 1, spec).await;
    let SubmitOutcome::TooLarge { bytes, max_bytes } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(bytes > max_bytes && max_bytes < DEFAULT_ROW_BYTES);
    assert_eq!(world.store.value(&rows::job_row_id(job_id(1))), None);
}

/// Guards against a caller that waits for its deadline and hears nothing certain although the store has
/// rejected the row of its job.
#[tokio::test(start_paused = true)]
async fn a_submission_whose_row_the_store_rejects_is_refused_at_once() {
    let world = World::new(1);
    world.start("a");
    world.advance(SECOND).await;
    refuse(&world, &rows::job_row_id(job_id(1)));
    let begun = tokio::time::Instant::now();
    let outcome = world.submit("a", 1, job(2)).await;
    assert_eq!(outcome, SubmitOutcome::Refused);
    assert!(begun.elapsed() < SECOND / 2, "{:?}", begun.elapsed());
}
