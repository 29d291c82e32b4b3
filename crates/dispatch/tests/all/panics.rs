//! Tests of unexpected errors in one part of a process.

use std::time::Duration;

use job::spec::JobSpec;

use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn executors_are_still_found_after_a_list_made_its_reader_panic() {
    let world = World::new(1);
    world.start("a");
    world.advance(2 * SECOND).await;
    world.fleet.executor(1).reachable.set(false);
    world.fleet.list_panics.set(true);
    world.advance(3 * SECOND).await;
    assert!(!world.fleet.list_panics.get(), "nothing read the list");
    world.fleet.add(2);
    world.submit("a", 1, job(2)).await;
    world.wait_until_succeeded("a", &[1], 20 * SECOND).await;
}

#[tokio::test(start_paused = true)]
async fn a_list_that_makes_a_successor_panic_does_not_end_all_takeovers() {
    let world = World::new(1);
    world.fleet.list_panics.set(true);
    world.start("a");
    world.advance(3 * SECOND).await;
    assert!(!world.fleet.list_panics.get(), "nothing read the list");
    world.submit("a", 1, job(2)).await;
    world.wait_until_succeeded("a", &[1], 20 * SECOND).await;
}

#[tokio::test(start_paused = true)]
async fn an_executor_is_still_polled_after_a_report_made_its_reader_panic() {
    let world = World::new(1);
    world.start("a");
    world.advance(2 * SECOND).await;
    world.fleet.poll_panics.set(true);
    world.submit("a", 1, job(2)).await;
    world.wait_until_succeeded("a", &[1], 30 * SECOND).await;
    assert!(!world.fleet.poll_panics.get(), "nothing was polled");
}

#[tokio::test(start_paused = true)]
async fn a_stored_job_that_is_invalid_keeps_no_other_from_running() {
    let world = World::new(1);
    world.start("a");
    world.advance(2 * SECOND).await;
    let mut invalid: JobSpec = job(2);
    invalid.steps[1].after = vec![7];
    world.submit("a", 1, invalid).await;
    world.advance(SECOND).await;
    world.submit("a", 2, job(2)).await;
    world.wait_until_succeeded("a", &[2], 20 * SECOND).await;
    world.kill("a");
    world.start("b");
    world.submit("b", 3, job(2)).await;
    world.wait_until_succeeded("b", &[3], 40 * SECOND).await;
}
