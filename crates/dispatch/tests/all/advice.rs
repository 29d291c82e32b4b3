//! Queues with an advisor, tested with complete hosts.

use std::time::Duration;

use dispatch::api::SubmitOutcome;

use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

async fn started() -> World {
    let world = World::new(3);
    let granted = vec!["e2".to_owned()];
    *world.fleet.granted_executors.borrow_mut() = Some(granted);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world
}

#[tokio::test(start_paused = true)]
async fn a_job_runs_where_the_advisor_grants_it_and_nowhere_else() {
    let world = started().await;
    assert_eq!(world.submit("b", 1, job(4)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("b", &[1], 10 * SECOND).await;
    world.assert_no_violations();
    assert_eq!(world.fleet.starts.get(), 8);
    assert_eq!(world.fleet.advice_requests.get(), 2, "one request per step");
}

#[tokio::test(start_paused = true)]
async fn a_successor_asks_again_and_the_job_ends() {
    let world = started().await;
    assert_eq!(world.submit("b", 1, job(4)).await, SubmitOutcome::Accepted);
    world.advance(SECOND / 10).await;
    let owner = world.owner().expect("an owner");
    world.kill(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    world.wait_until_succeeded(other, &[1], 30 * SECOND).await;
    world.assert_no_violations();
}
