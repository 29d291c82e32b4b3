//! CPU shares of tasks when commands are lost or delayed.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use job::id::TaskId;

use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a world with one host, which owns one executor that runs a long task.
async fn with_a_task() -> (World, TaskId) {
    let world = World::new(1);
    world.fleet.executor(1).task_duration.set(60 * SECOND);
    world.start("a");
    world.advance(SECOND).await;
    assert_eq!(world.submit("a", 1, job(1)).await, SubmitOutcome::Accepted);
    world.advance(SECOND).await;
    let task = TaskId {
        job: job_id(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    (world, task)
}

/// Makes the owner set the CPU share of a task.
async fn set_share(world: &World, task: TaskId, percent: u32) {
    let node = world.host("a").node.clone();
    let set = async move {
        let owner = node.owner().expect("the host owns the executors");
        let key = owner
            .scheduler
            .borrow()
            .task_key(task)
            .expect("the task is known");
        owner.scheduler.borrow_mut().set_cpu_share(key, percent);
        owner.dispatch_pending();
    };
    world.run_on("a", set).await;
}

fn share(world: &World, task: TaskId) -> Option<u32> {
    world
        .fleet
        .executor(1)
        .cpu_shares
        .borrow()
        .get(&task)
        .copied()
}

#[tokio::test(start_paused = true)]
async fn a_cpu_share_is_resent_until_it_is_answered() {
    let (world, task) = with_a_task().await;
    world.fleet.executor(1).reachable.set(false);
    set_share(&world, task, 0).await;
    world.advance(SECOND).await;
    assert_eq!(share(&world, task), None);
    world.fleet.executor(1).reachable.set(true);
    world.advance(3 * SECOND).await;
    assert_eq!(share(&world, task), Some(0));
}

#[tokio::test(start_paused = true)]
async fn a_delayed_cpu_share_does_not_override_a_newer_one() {
    let (world, task) = with_a_task().await;
    world.fleet.executor(1).command_delay.set(Some(6 * SECOND));
    set_share(&world, task, 100).await;
    world.advance(SECOND / 2).await;
    world.fleet.executor(1).command_delay.set(None);
    set_share(&world, task, 0).await;
    world.advance(SECOND).await;
    assert_eq!(share(&world, task), Some(0));
    world.advance(9 * SECOND).await;
    assert_eq!(
        share(&world, task),
        Some(0),
        "the delayed command was overridden"
    );
}

#[tokio::test(start_paused = true)]
async fn unanswered_cpu_share_commands_delay_no_start() {
    let (world, task) = with_a_task().await;
    world.fleet.executor(1).command_delay.set(Some(20 * SECOND));
    for percent in [50, 40, 30] {
        set_share(&world, task, percent).await;
        world.advance(SECOND / 4).await;
    }
    world.fleet.executor(1).command_delay.set(None);
    let starts = world.fleet.starts.get();
    assert_eq!(world.submit("a", 2, job(1)).await, SubmitOutcome::Accepted);
    world.advance(2 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), starts + 1);
}
