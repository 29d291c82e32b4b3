//! Removal of the rows of jobs that ended long ago.

use std::time::Duration;

use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use dispatch::rows;
use job::scheduler::JobState;

use crate::store::StoreFault;
use crate::world::RETENTION;
use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// Time after the end of a job by which its rows are removed.
const GONE_AFTER: Duration = Duration::from_secs(90);

async fn with_an_ended_job() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("b", &[1], 5 * SECOND).await;
    world
}

fn rows_of(world: &World, number: u64) -> usize {
    let row_ids = [
        rows::job_row_id(job_id(number)),
        rows::cancellation_row_id(job_id(number)),
        rows::run_row_id(job_id(number)),
    ];
    row_ids
        .iter()
        .filter(|row_id| world.store.value(row_id).is_some())
        .count()
}

#[tokio::test(start_paused = true)]
async fn an_ended_job_is_readable_for_the_retention_time_and_then_leaves_no_row() {
    let world = with_an_ended_job().await;
    world.advance(RETENTION).await;
    assert_eq!(rows_of(&world, 1), 2);
    let state = JobLookup::State(JobState::Succeeded);
    assert_eq!(world.state("a", 1).await, state);
    world.advance(GONE_AFTER - RETENTION).await;
    assert_eq!(rows_of(&world, 1), 0);
    assert_eq!(world.state("a", 1).await, JobLookup::NoSuchJob);
}

#[tokio::test(start_paused = true)]
async fn a_takeover_during_cleanup_neither_reruns_the_job_nor_leaves_a_row() {
    let faults = [
        StoreFault::Refuses,
        StoreFault::Silent,
        StoreFault::LosesAnswers,
        StoreFault::DelaysWrites(2 * SECOND),
    ];
    for fault in faults {
        let world = with_an_ended_job().await;
        let starts = world.fleet.starts.get();
        world.advance(RETENTION + 58 * SECOND).await;
        let owner = world.owner().expect("an owner");
        world.host(&owner).store_fault.set(fault);
        world.advance(6 * SECOND).await;
        world.kill(&owner);
        let other = if owner == "a" { "b" } else { "a" };
        world.host(other).store_fault.set(StoreFault::None);
        world.advance(GONE_AFTER).await;
        assert_eq!(rows_of(&world, 1), 0, "{fault:?}");
        assert_eq!(world.fleet.starts.get(), starts, "{fault:?}");
        world.assert_no_violations();
    }
}

/// The history of changes is gone, so that the owner reads all jobs again. Meanwhile it removes an
/// ended job whose row is in the answer that is on its way.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_removed_while_all_jobs_are_read_again_does_not_run_again() {
    let world = with_an_ended_job().await;
    let starts = world.fleet.starts.get();
    world.advance(RETENTION + 58 * SECOND).await;
    assert_eq!(rows_of(&world, 1), 2);
    world.store.set_read_transfer(6 * SECOND);
    for number in 2..=4 {
        // The history is gone for a follower that has not heard of this change.
        let owner = world.owner().expect("an owner");
        assert_eq!(
            world.submit(&owner, number, job(1)).await,
            SubmitOutcome::Accepted
        );
        world.store.drop_history();
        world.advance(2 * SECOND).await;
    }
    world.advance(10 * SECOND).await;
    world.store.set_read_transfer(Duration::ZERO);
    world.advance(10 * SECOND).await;
    assert_eq!(world.store.value(&rows::job_row_id(job_id(1))), None);
    world
        .wait_until_succeeded("a", &[2, 3, 4], 5 * SECOND)
        .await;
    assert_eq!(world.fleet.starts.get(), starts + 6, "two tasks a job");
}

#[tokio::test(start_paused = true)]
async fn a_new_job_of_the_same_name_survives_a_delayed_removal() {
    let world = with_an_ended_job().await;
    world.advance(RETENTION + 58 * SECOND).await;
    let owner = world.owner().expect("an owner");
    // The removal is applied late, after a successor has removed the rows and a new job uses the
    // id.
    world
        .host(&owner)
        .store_fault
        .set(StoreFault::DelaysWrites(GONE_AFTER + 60 * SECOND));
    world.advance(6 * SECOND).await;
    world.kill(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    world.advance(GONE_AFTER).await;
    assert_eq!(rows_of(&world, 1), 0);
    assert_eq!(
        world.submit(other, 1, job(2)).await,
        SubmitOutcome::Accepted
    );
    world.advance(70 * SECOND).await;
    let state = JobLookup::State(JobState::Succeeded);
    assert_eq!(world.state(other, 1).await, state);
    assert!(world.store.value(&rows::job_row_id(job_id(1))).is_some());
}
