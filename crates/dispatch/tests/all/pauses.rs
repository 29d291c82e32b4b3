//! Tests of processes that are paused for seconds.

use std::time::Duration;

use crate::store::StoreFault;
use crate::world::SUSPENDED_MS;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn an_owner_that_was_paused_until_its_ownership_had_run_out_sends_nothing_to_executors() {
    // The timers that are due after the pause fire in an order that depends on when they were set.
    for paused_at_ms in (0..500).step_by(23) {
        let world = World::new(3);
        world.start("a");
        world.advance(SECOND).await;
        for executor in 1..=3 {
            let executor = world.fleet.executor(executor);
            executor.task_duration.set(60 * SECOND);
            executor.hangs_starts.set(true);
        }
        world.submit("a", 1, job(30)).await;
        world
            .advance(SECOND + Duration::from_millis(paused_at_ms))
            .await;
        let host = world.host("a");
        host.store_fault.set(StoreFault::Silent);
        host.frozen.set(true);
        world.advance(11 * SECOND).await;
        let calls = world.fleet.calls.get();
        host.frozen.set(false);
        world.advance(SECOND).await;
        let sent = world.fleet.calls.get() - calls;
        assert_eq!(sent, 0, "paused at {paused_at_ms} ms");
    }
}

/// The monotonic clock does not count the time for which a machine is suspended, so that an owner took itself
/// for confirmed a moment ago.
#[tokio::test(start_paused = true)]
async fn an_owner_whose_machine_was_suspended_for_too_long_sends_nothing_to_executors() {
    let world = World::new(3);
    world.start("a");
    world.advance(SECOND).await;
    for executor in 1..=3 {
        let executor = world.fleet.executor(executor);
        executor.task_duration.set(60 * SECOND);
    }
    world.submit("a", 1, job(30)).await;
    world.advance(SECOND).await;
    world.host("a").store_fault.set(StoreFault::Silent);
    world.advance(SECOND / 2).await;
    let calls = world.fleet.calls.get();
    SUSPENDED_MS.set(11_000);
    world.advance(SECOND).await;
    assert_eq!(world.fleet.calls.get() - calls, 0);
}
