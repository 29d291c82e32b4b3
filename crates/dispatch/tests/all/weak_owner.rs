//! A weak host owns the executors although strong hosts are there.

use std::time::Duration;

use dispatch::node::HostCapacity;

use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
/// By this time after the strong hosts started, one of them has to own the executors.
const SETTLED: Duration = Duration::from_secs(10);
/// How long the owner must not change again.
const OBSERVED: Duration = Duration::from_secs(30);
const WEAK: [&str; 2] = ["weak-1", "weak-2"];
const STRONG: [&str; 2] = ["strong-1", "strong-2"];
/// How many times the capacity of a weak host a strong one has.
const RATIO: f64 = 4.0;

/// Returns the capacity of a host with so many cores, with a link in proportion.
fn capacity(cores: f64) -> HostCapacity {
    HostCapacity {
        cores,
        link_mbps: 400.0 * cores,
    }
}

fn start_weak(world: &World, cores: f64) {
    for name in WEAK {
        world.start_with(name, Duration::ZERO, capacity(cores));
    }
}

fn start_strong(world: &World, weak_cores: f64) {
    for name in STRONG {
        world.start_with(name, Duration::ZERO, capacity(weak_cores * RATIO));
    }
}

fn strong_host_owns(world: &World) -> bool {
    let owner = world.owner();
    owner.is_some_and(|owner| STRONG.contains(&owner.as_str()))
}

fn epoch(world: &World, name: &str) -> u64 {
    world.host(name).node.highest_epoch.get()
}

/// SHORT and LOST while strong hosts are idle: the strong hosts wait for too short a time to have
/// the document, then for their whole delay once more, and meanwhile a weak host claims.
#[tokio::test(start_paused = true)]
async fn a_strong_host_that_is_ready_slightly_after_a_weak_one_owns_the_executors() {
    let mut weak_owners = Vec::new();
    for weak_cores in [0.04, 0.12, 0.25] {
        for ready_ms in [300, 600, 1_500] {
            let world = World::new(3);
            let ready = Duration::from_millis(ready_ms);
            for name in WEAK {
                world.document.delay_reads_for(name, ready);
            }
            for name in STRONG {
                let later = ready + Duration::from_millis(30);
                world.document.delay_reads_for(name, later);
            }
            start_weak(&world, weak_cores);
            start_strong(&world, weak_cores);
            world.advance(SETTLED).await;
            if !strong_host_owns(&world) {
                weak_owners.push((weak_cores, ready_ms, world.owner()));
            }
        }
    }
    assert!(
        weak_owners.is_empty(),
        "cores of a weak host, milliseconds until its document, owner: {weak_owners:?}"
    );
}

/// SHORT and LOST for the whole day: nothing relieved a weak host that owned the executors while
/// strong ones pinged it.
#[tokio::test(start_paused = true)]
async fn a_weak_owner_is_relieved_by_a_strong_host() {
    let world = World::new(3);
    start_weak(&world, 0.04);
    world.advance(3 * SECOND).await;
    assert!(world.owner().is_some(), "no host owns the executors");
    let earlier = epoch(&world, WEAK[0]);
    for number in 1..=3 {
        world.submit(WEAK[0], number, job(5)).await;
    }
    start_strong(&world, 0.04);
    world.advance(SETTLED).await;
    let owner = world.owner();
    assert!(strong_host_owns(&world), "the owner is {owner:?}");
    world.advance(OBSERVED).await;
    assert_eq!(world.owner(), owner, "the owner changed again");
    assert_eq!(
        epoch(&world, STRONG[0]).max(epoch(&world, STRONG[1])),
        earlier + 1
    );
    world.assert_no_violations();
    assert_eq!(world.fleet.starts.get(), 30, "each task runs once");
}

/// A hand-over has a price, so that hosts of nearly the same capacity do not pass the ownership on.
#[tokio::test(start_paused = true)]
async fn an_owner_is_not_relieved_by_a_host_that_is_hardly_stronger() {
    let world = World::new(3);
    start_weak(&world, 0.2);
    world.advance(3 * SECOND).await;
    let owner = world.owner();
    assert!(owner.is_some(), "no host owns the executors");
    for name in STRONG {
        world.start_with(name, Duration::ZERO, capacity(0.24));
    }
    world.advance(OBSERVED).await;
    assert_eq!(world.owner(), owner);
    assert_eq!(epoch(&world, WEAK[0]), 1);
}
