//! An executor that lists an end which must not be acknowledged becomes usable again by itself.

use std::time::Duration;

use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a world in which executor 1 was cut off for longer than its lease and is reached again just
/// now. Runs of job 1 ended there meanwhile, and their tasks were started again on executor 2.
async fn with_a_cut_off_executor() -> World {
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
    world
}

/// Guards against an executor that gets no tasks any more because it lists 500 ends. It is cut off while
/// its runs end, and their tasks start again elsewhere, so that these ends must not be acknowledged.
#[tokio::test(start_paused = true)]
async fn an_executor_that_was_cut_off_runs_more_tasks_than_its_list_of_ends_holds() {
    let world = with_a_cut_off_executor().await;
    let cut = world.fleet.executor(1);
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

/// Guards against an executor that is empty for as long as a usual lease because a successor placed tasks
/// there before it knew of the end. All hosts are lost soon after the executor is reached again.
#[tokio::test(start_paused = true)]
async fn an_executor_that_was_cut_off_is_not_empty_for_long_after_a_takeover() {
    let world = with_a_cut_off_executor().await;
    let cut = world.fleet.executor(1);
    world.advance(SECOND / 2).await;
    world.kill("a");
    world.start("b");
    world.advance(4 * SECOND).await;
    world.fleet.executor(2).listed.set(false);
    cut.task_duration.set(Duration::from_millis(300));
    let mut jobs = vec![1];
    let mut longest_pause = Duration::ZERO;
    for number in 2..=12 {
        world.submit("b", number, job(8)).await;
        jobs.push(number);
        let begun = cut.starts.get();
        let mut pause = Duration::ZERO;
        while cut.starts.get() == begun {
            world.advance(SECOND / 10).await;
            pause += SECOND / 10;
        }
        longest_pause = longest_pause.max(pause);
    }
    assert!(longest_pause < 3 * SECOND, "{longest_pause:?}");
    world.wait_until_succeeded("b", &jobs, 20 * SECOND).await;
    world.assert_no_violations();
}
