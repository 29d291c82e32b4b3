//! How long commands take on an executor that answers polls while start commands hang there.

use std::time::Duration;

use dispatch::api;
use dispatch::api::CancelOutcome;
use dispatch::api::SubmitOutcome;
use job::id::TaskId;
use tokio::time::Instant;

use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time from the cancellation of a job until its run is stopped.
const MAX_STOP_DELAY: Duration = Duration::from_secs(2);
/// Maximum time from the cancellation of a job until a start that was never sent is withdrawn.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_millis(200);
/// Maximum time until jobs of two short steps have succeeded although starts hang, or hung until
/// now, at an executor.
const MAX_DETOUR: Duration = Duration::from_secs(12);
/// How long the tests wait for what does not happen in time.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

fn first_task(number: u64) -> TaskId {
    TaskId {
        job: job_id(number),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a world with one executor that runs the task of job 1 and lets the starts of the jobs
/// from 2 on hang, `starts` in number.
async fn with_hanging_starts(starts: u64) -> World {
    let world = World::new(1);
    world.fleet.executor(1).task_duration.set(60 * SECOND);
    world.start("a");
    world.advance(SECOND).await;
    assert_eq!(world.submit("a", 1, job(1)).await, SubmitOutcome::Accepted);
    world.advance(SECOND).await;
    assert!(world.fleet.executor(1).runs(first_task(1)));
    world.fleet.executor(1).hangs_starts.set(true);
    for number in 2..2 + starts {
        let submitted = world.submit("a", number, job(1)).await;
        assert_eq!(submitted, SubmitOutcome::Accepted);
    }
    world.advance(SECOND / 2).await;
    let hung_starts = world.fleet.executor(1).hung_starts.borrow().len();
    assert!(hung_starts > 0, "no start hangs");
    world
}

async fn cancel(world: &World, number: u64) {
    let node = world.host("a").node.clone();
    let outcome = world.run_on("a", api::cancel(&node, job_id(number))).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
}

/// Advances the world until `done` holds; returns how long that took.
async fn time_until(world: &World, done: impl Fn(&World) -> bool) -> Duration {
    let begin = Instant::now();
    while !done(world) && begin.elapsed() < GIVE_UP_AFTER {
        world.advance(Duration::from_millis(5)).await;
    }
    begin.elapsed()
}

fn is_assigned(world: &World, task: TaskId) -> bool {
    let owner = world.host("a").node.owner().expect("an owner");
    let scheduler = owner.scheduler.borrow();
    let key = scheduler.task_key(task).expect("the task is known");
    scheduler
        .task(key)
        .is_some_and(|task| task.assignment().is_some())
}

#[tokio::test(start_paused = true)]
async fn a_stop_does_not_wait_behind_starts_that_hang() {
    for starts in [1, 2, 6, 12] {
        let world = with_hanging_starts(starts).await;
        cancel(&world, 1).await;
        let took = time_until(&world, |world| !world.fleet.executor(1).runs(first_task(1))).await;
        println!("{starts} starts hang: the stop took {took:?}");
        assert!(took <= MAX_STOP_DELAY, "{starts} starts hang: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_start_that_was_never_sent_is_withdrawn_without_a_command_slot() {
    let world = with_hanging_starts(6).await;
    cancel(&world, 7).await;
    let took = time_until(&world, |world| !is_assigned(world, first_task(7))).await;
    println!("the withdrawal took {took:?}");
    assert!(took <= MAX_WITHDRAWAL_DELAY, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn starts_that_wait_for_a_slot_are_not_sent_once_the_ownership_has_ended() {
    let world = with_hanging_starts(12).await;
    let owner = world.host("a").node.owner().expect("an owner");
    let epoch = owner.epoch;
    let sent = || {
        let executor = world.fleet.executor(1);
        let hung_starts = executor.hung_starts.borrow();
        hung_starts.iter().filter(|sent| **sent == epoch).count()
    };
    let sent_before = sent();
    owner.end("the test ends it");
    world.advance(5 * SECOND).await;
    assert_eq!(sent(), sent_before);
}

#[tokio::test(start_paused = true)]
async fn tasks_whose_starts_hang_run_on_another_executor() {
    let world = World::new(2);
    world.start("a");
    world.advance(SECOND).await;
    world.fleet.executor(1).hangs_starts.set(true);
    let numbers: Vec<u64> = (1..=6).collect();
    for number in &numbers {
        world.submit("a", *number, job(2)).await;
    }
    let begin = Instant::now();
    world.wait_until_succeeded("a", &numbers, MAX_DETOUR).await;
    println!("all jobs succeeded after {:?}", begin.elapsed());
}

#[tokio::test(start_paused = true)]
async fn an_executor_whose_starts_no_longer_hang_is_used_again() {
    let world = World::new(1);
    world.start("a");
    world.advance(SECOND).await;
    world.fleet.executor(1).hangs_starts.set(true);
    let numbers: Vec<u64> = (1..=6).collect();
    for number in &numbers {
        world.submit("a", *number, job(2)).await;
    }
    world.advance(8 * SECOND).await;
    world.fleet.executor(1).hangs_starts.set(false);
    let begin = Instant::now();
    world.wait_until_succeeded("a", &numbers, MAX_DETOUR).await;
    println!("all jobs succeeded after {:?}", begin.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_stop_over_a_slow_link_is_given_the_time_that_it_takes() {
    for latency_ms in [100, 900, 1_500, 2_500] {
        let world = with_hanging_starts(1).await;
        let executor = world.fleet.executor(1);
        let latency = Duration::from_millis(latency_ms);
        executor.command_latency.set(Some(latency));
        cancel(&world, 1).await;
        let took = time_until(&world, |world| !world.fleet.executor(1).runs(first_task(1))).await;
        println!("commands take {latency:?}: the stop took {took:?}");
        assert!(
            took <= MAX_STOP_DELAY + 2 * latency,
            "{latency:?}: {took:?}"
        );
    }
}
