//! An executor that lists an end which must not be acknowledged becomes usable again by itself.

use std::time::Duration;

use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an executor that gets no tasks any more because it lists 500 ends. It is cut off while
/// its runs end, and their tasks start again elsewhere, so that these ends must not be acknowledged.
#[tokio::test(start_paused = true)]
async fn an_executor_that_was_cut_off_runs_more_tasks_than_its_list_of_ends_holds() {
    let world = World::new(2);
    world.start("a");
    world.advance(SECOND).await;
    for executor in [1, 2] {
        let duration = Duration::from_millis(1_500);
        world.fleet.executor(executor).task_duration.set(duration);
    }
    world.submit("a", 1, job(8)).await;
    world.advance(SECOND / 2).await;
    let cut = world.fleet.executor(1);
    assert!(cut.starts.get() > 0, "it runs tasks");
    cut.reachable.set(false);
    world.advance(Duration::from_millis(7_000)).await;
    cut.reachable.set(true);
    let begun = cut.starts.get();
    world.fleet.executor(2).listed.set(false);
    world.advance(3 * SECOND).await;
    for executor in [1, 2] {
        let duration = Duration::from_millis(300);
        world.fleet.executor(executor).task_duration.set(duration);
    }
    let jobs: Vec<u64> = (2..=42).collect();
    for number in &jobs {
        world.submit("a", *number, job(8)).await;
        world.advance(SECOND / 2).await;
    }
    world.wait_until_succeeded("a", &jobs, 20 * SECOND).await;
    assert!(
        cut.starts.get() - begun > 600,
        "{} starts",
        cut.starts.get()
    );
    world.assert_no_violations();
}
