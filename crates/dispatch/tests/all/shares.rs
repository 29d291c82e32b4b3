//! Shares that tasks are told, when orders are lost or late.

use std::time::Duration;

use dispatch::entry::Submitted;
use job::id::TaskId;

use crate::world::World;
use crate::world::id;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

/// Has a host own one executor that runs one task for long.
async fn with_a_task() -> (World, TaskId) {
    let world = World::new(1);
    world.fleet.machine(1).work.set(60 * SECOND);
    world.start("a");
    world.pass(SECOND).await;
    assert_eq!(world.submit("a", 1, job(1)).await, Submitted::Accepted);
    world.pass(SECOND).await;
    let task = TaskId {
        job: id(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    (world, task)
}

/// Has the owner tell a task its share.
async fn tell(world: &World, task: TaskId, percent: u32) {
    let node = world.host("a").node.clone();
    let tell = async move {
        let owner = node.owner().expect("it owns the executors");
        let key = owner.book.borrow().task_key(task).expect("it is known");
        owner.book.borrow_mut().set_cpu_share(key, percent);
        owner.after_event();
    };
    world.on("a", tell).await;
}

fn share(world: &World, task: TaskId) -> Option<u32> {
    world.fleet.machine(1).shares.borrow().get(&task).copied()
}

#[tokio::test(start_paused = true)]
async fn a_share_is_told_until_it_is_answered() {
    let (world, task) = with_a_task().await;
    world.fleet.machine(1).reachable.set(false);
    tell(&world, task, 0).await;
    world.pass(SECOND).await;
    assert_eq!(share(&world, task), None);
    world.fleet.machine(1).reachable.set(true);
    world.pass(3 * SECOND).await;
    assert_eq!(share(&world, task), Some(0));
}

#[tokio::test(start_paused = true)]
async fn a_share_that_is_carried_out_late_does_not_stand_against_a_newer_one() {
    let (world, task) = with_a_task().await;
    world.fleet.machine(1).late.set(Some(6 * SECOND));
    tell(&world, task, 100).await;
    world.pass(SECOND / 2).await;
    world.fleet.machine(1).late.set(None);
    tell(&world, task, 0).await;
    world.pass(SECOND).await;
    assert_eq!(share(&world, task), Some(0));
    world.pass(9 * SECOND).await;
    assert_eq!(
        share(&world, task),
        Some(0),
        "the late order came in between"
    );
}

#[tokio::test(start_paused = true)]
async fn shares_of_unreachable_executors_hold_up_no_start() {
    let (world, task) = with_a_task().await;
    world.fleet.machine(1).late.set(Some(20 * SECOND));
    for percent in [50, 40, 30] {
        tell(&world, task, percent).await;
        world.pass(SECOND / 4).await;
    }
    world.fleet.machine(1).late.set(None);
    let starts = world.fleet.starts.get();
    assert_eq!(world.submit("a", 2, job(1)).await, Submitted::Accepted);
    world.pass(2 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), starts + 1);
}
