//! How long a successor waits for the calls that relays may still hold for the earlier owner.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use dispatch::node::HostCapacity;
use dispatch::relay::MAX_CALL_DELAY;

use crate::log_capture;
use crate::store::StoreFault;
use crate::world::CAPACITY;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
const HOSTS: [&str; 3] = ["a", "b", "c"];
/// A capacity with which an owner needs relays for a few executors.
const WEAK: HostCapacity = HostCapacity {
    cores: 0.000_2,
    link_mbps: 1_000.0,
};
/// Longest time until an owner that ended is succeeded.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(8);
/// Longest time until the tasks start after that.
const LIMIT: Duration = Duration::from_secs(30);
/// How exactly the time is met: polls have an interval.
const TOLERANCE: Duration = Duration::from_millis(350);

/// How the earlier owner ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It ends and does not answer.
    Killed,
    /// It lives, and answers that it is superseded.
    Superseded,
    /// Its host starts anew and takes over again.
    Restarted,
}

/// Returns how long after the takeover the tasks start whose starts the earlier owner has stored and that
/// no executor has received.
async fn wait_of_lost_starts(end: End, relays: bool) -> Duration {
    log_capture::begin();
    let world = World::new(3);
    let capacity = if relays { WEAK } else { CAPACITY };
    for host in HOSTS {
        world.start_with(host, Duration::ZERO, capacity);
    }
    world.advance(6 * SECOND).await;
    let owner = world.owner().expect("an owner");
    let epoch = world.host(&owner).node.owner().expect("the owner").epoch;
    let relayed = HOSTS
        .iter()
        .any(|host| world.host(host).node.relay_session.epoch() == epoch);
    assert_eq!(relayed, relays, "whether relays are in use");
    let hang = |hangs: bool| {
        for number in 1..=3 {
            world.fleet.executor(number).hangs_starts.set(hangs);
        }
    };
    hang(true);
    let submitted = world.submit(&owner, 1, job(1)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    world.advance(SECOND / 5).await;
    match end {
        End::Killed => world.kill(&owner),
        End::Superseded => {
            let host = world.host(&owner);
            host.store_fault.set(StoreFault::Refuses);
        }
        End::Restarted => {
            world.kill(&owner);
            world.start_with(&owner, Duration::ZERO, capacity);
        }
    }
    let ended = tokio::time::Instant::now();
    while log_capture::lines("takeover").len() < 2 {
        assert!(ended.elapsed() < TAKEOVER_LIMIT, "no successor");
        world.advance(Duration::from_millis(1)).await;
    }
    hang(false);
    let taken_over = tokio::time::Instant::now();
    while world.fleet.starts.get() == 0 {
        assert!(taken_over.elapsed() < LIMIT, "{end:?}: nothing starts");
        world.advance(Duration::from_millis(5)).await;
    }
    world.assert_no_violations();
    taken_over.elapsed()
}

async fn assert_waits_for_relays(end: End) {
    let without = wait_of_lost_starts(end, false).await;
    let with = wait_of_lost_starts(end, true).await;
    println!("{end:?}: {without:?} without relays, {with:?} with relays");
    let longer = with.saturating_sub(without);
    assert!(
        longer + TOLERANCE >= MAX_CALL_DELAY && longer <= MAX_CALL_DELAY + TOLERANCE,
        "{end:?}: {without:?} without relays, {with:?} with relays"
    );
}

#[tokio::test(start_paused = true)]
async fn the_successor_of_an_owner_that_does_not_answer_waits_for_calls_in_relays() {
    assert_waits_for_relays(End::Killed).await;
}

#[tokio::test(start_paused = true)]
async fn the_successor_of_an_owner_that_answers_waits_for_calls_in_relays() {
    assert_waits_for_relays(End::Superseded).await;
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_starts_anew_waits_for_its_calls_in_relays() {
    assert_waits_for_relays(End::Restarted).await;
}
