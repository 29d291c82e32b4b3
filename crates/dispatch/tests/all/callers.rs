//! What callers are answered.

use std::time::Duration;

use dispatch::entry;
use dispatch::entry::Cancelled;
use dispatch::entry::Found;
use dispatch::entry::Submitted;
use dispatch::rows;
use job::scheduler::JobState;

use crate::store::Fault;
use crate::world::QUEUE;
use crate::world::World;
use crate::world::id;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);

async fn started() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.pass(SECOND).await;
    world
}

fn is_stored(world: &World, number: u64) -> bool {
    world.memory.value(&rows::job_place(id(number))).is_some()
}

#[tokio::test(start_paused = true)]
async fn an_accepted_job_is_stored_and_a_refused_one_never_is() {
    let cases = [
        (Fault::None, Submitted::Accepted),
        (Fault::Refuses, Submitted::Refused),
        (Fault::Silent, Submitted::Unknown),
        (Fault::LosesAnswers, Submitted::Unknown),
        (Fault::Late(3 * SECOND), Submitted::Unknown),
    ];
    for (fault, expected) in cases {
        let world = started().await;
        world.host("b").store.set(fault);
        let begin = tokio::time::Instant::now();
        assert_eq!(world.submit("b", 1, job(2)).await, expected, "{fault:?}");
        assert!(begin.elapsed() < SECOND, "{fault:?}: {:?}", begin.elapsed());
        world.host("b").store.set(Fault::None);
        world.pass(5 * SECOND).await;
        match expected {
            Submitted::Accepted => assert!(is_stored(&world, 1)),
            Submitted::Refused => assert!(!is_stored(&world, 1), "{fault:?}"),
            Submitted::Unknown | Submitted::NameTaken => {}
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_is_refused_at_once_while_the_store_is_known_to_be_away() {
    let world = started().await;
    world.host("b").store.set(Fault::Silent);
    assert_eq!(world.submit("b", 1, job(2)).await, Submitted::Unknown);
    world.pass(3 * SECOND).await;
    let begin = tokio::time::Instant::now();
    assert_eq!(world.submit("b", 2, job(2)).await, Submitted::Refused);
    assert!(begin.elapsed() < Duration::from_millis(20));
    world.host("b").store.set(Fault::None);
    world.pass(4 * SECOND).await;
    assert_eq!(world.submit("b", 3, job(2)).await, Submitted::Accepted);
    assert!(!is_stored(&world, 2), "it was never sent");
}

#[tokio::test(start_paused = true)]
async fn the_same_job_again_is_accepted_and_runs_once_and_another_under_its_name_is_not() {
    let world = started().await;
    assert_eq!(world.submit("a", 1, job(2)).await, Submitted::Accepted);
    assert_eq!(world.submit("b", 1, job(2)).await, Submitted::Accepted);
    assert_eq!(world.submit("b", 1, job(3)).await, Submitted::NameTaken);
    world.finish("a", &[1], 5 * SECOND).await;
    assert_eq!(world.submit("a", 1, job(2)).await, Submitted::Accepted);
    world.pass(2 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_job_with_an_unknown_outcome_that_is_submitted_again_runs_once() {
    let world = started().await;
    world.host("a").store.set(Fault::Late(2 * SECOND));
    assert_eq!(world.submit("a", 1, job(2)).await, Submitted::Unknown);
    assert_eq!(world.submit("b", 1, job(2)).await, Submitted::Accepted);
    world.host("a").store.set(Fault::None);
    world.finish("b", &[1], 8 * SECOND).await;
    world.pass(4 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_job_is_said_not_to_exist_only_after_the_store_was_read() {
    let world = started().await;
    assert_eq!(world.state("a", 7).await, Found::NoSuchJob);
    for name in ["a", "b"] {
        world.host(name).store.set(Fault::Silent);
    }
    assert_eq!(world.state("a", 7).await, Found::Unknown);
}

#[tokio::test(start_paused = true)]
async fn states_are_known_without_an_owner() {
    let world = started().await;
    world.submit("a", 1, job(2)).await;
    world.finish("a", &[1], 5 * SECOND).await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "a" { "b" } else { "a" };
    world.submit(host, 2, job(2)).await;
    world.kill(&owner);
    assert_eq!(
        world.state(host, 1).await,
        Found::State(JobState::Succeeded)
    );
    assert!(matches!(world.state(host, 2).await, Found::State(_)));
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_starts_nothing_more_also_after_a_takeover() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "a" { "b" } else { "a" };
    world.submit(host, 1, job(4)).await;
    world.pass(Duration::from_millis(100)).await;
    let node = world.host(host).node.clone();
    let cancelled = world.on(host, entry::cancel(&node, id(1))).await;
    assert_eq!(cancelled, Cancelled::Accepted);
    world.kill(&owner);
    world.pass(8 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4, "the first step only");
    assert_eq!(
        world.state(host, 1).await,
        Found::State(JobState::Cancelled)
    );
    let unknown = world.on(host, entry::cancel(&node, id(9))).await;
    assert_eq!(unknown, Cancelled::NoSuchJob);
}

#[tokio::test(start_paused = true)]
async fn every_host_can_say_how_many_jobs_wait() {
    let world = started().await;
    for number in 1..=40 {
        world.submit("a", number, job(4)).await;
    }
    for name in ["a", "b"] {
        let node = world.host(name).node.clone();
        let pending = world.on(name, entry::pending(&node)).await;
        let waiting = pending.and_then(|pending| pending.get(QUEUE).copied());
        assert!(waiting > Some(10), "{name}: {waiting:?}");
    }
}
