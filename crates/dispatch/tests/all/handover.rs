//! An owner releases the executors for a named successor.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::handover;
use dispatch::handover::Candidate;
use dispatch::handover::Handovers;
use dispatch::handover::Incumbent;
use dispatch::node::HostCapacity;
use dispatch::peers::PeerRequest;
use dispatch::peers::PeerResponse;
use dispatch::rows;
use dispatch::rows::OwnerRecord;
use model::Mono;

use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const WEAK: &str = "weak";
const STRONG: &str = "strong";
/// By this time after the strong host started, the weak one has released the executors.
const RELEASED: Duration = Duration::from_secs(10);
/// Duration of the tasks while an owner is followed by another.
const LONG_TASK: Duration = Duration::from_secs(20);

const fn capacity(cores: f64, link_mbps: f64) -> HostCapacity {
    HostCapacity { cores, link_mbps }
}

fn start_weak(world: &World, name: &str) {
    world.start_with(name, Duration::ZERO, capacity(0.05, 20.0));
}

fn start_strong(world: &World) {
    world.start_with(STRONG, Duration::ZERO, capacity(0.5, 200.0));
}

/// Starts a weak host, which owns the executors, with four long tasks, and then a strong host.
async fn with_weak_owner() -> World {
    let world = World::new(2);
    start_weak(&world, WEAK);
    world.advance(3 * SECOND).await;
    assert_eq!(world.owner().as_deref(), Some(WEAK));
    for number in [1, 2] {
        world.fleet.executor(number).task_duration.set(LONG_TASK);
    }
    let mut spec = job(4);
    for step in &mut spec.steps {
        step.estimate_ms = 20_000;
    }
    world.submit(WEAK, 1, spec).await;
    world.advance(SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4);
    start_strong(&world);
    world
}

fn owner_row(world: &World) -> OwnerRecord {
    let value = world.store.value(&rows::owner_row_id());
    serde_json::from_slice(&value.expect("an owner's row")).expect("a valid row")
}

/// Waits until the store has recorded a release, and returns the row.
async fn wait_for_release(world: &World, limit: Duration) -> OwnerRecord {
    let end = tokio::time::Instant::now() + limit;
    while !owner_row(world).released {
        assert!(tokio::time::Instant::now() < end, "no release");
        world.advance(MILLISECOND).await;
    }
    owner_row(world)
}

/// A successor counts on it that nothing is sent once the release is recorded.
async fn assert_silent_after_release(world: &World) {
    let calls = world.fleet.calls.get();
    world.advance(4 * SECOND).await;
    assert_eq!(world.fleet.calls.get(), calls, "calls after the release");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_a_hand_over_whose_answer_was_lost() {
    let world = with_weak_owner().await;
    let weak = world.host(WEAK);
    weak.store_fault.set(StoreFault::LosesAnswersToReleases);
    let record = wait_for_release(&world, RELEASED).await;
    assert_eq!(record.successor.as_deref(), Some(STRONG));
    assert_eq!(record.host, WEAK);
    world.host(STRONG).frozen.set(true);
    assert_silent_after_release(&world).await;
    world.host(STRONG).frozen.set(false);
    world.advance(SECOND).await;
    weak.store_fault.set(StoreFault::None);
    world.advance(SECOND).await;
    assert_eq!(world.owner().as_deref(), Some(STRONG));
    world.wait_until_succeeded(STRONG, &[1], 60 * SECOND).await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_a_release_on_shutdown_whose_answer_was_lost() {
    for starts_hang in [false, true] {
        let world = with_weak_owner().await;
        let weak = world.host(WEAK);
        weak.store_fault.set(StoreFault::LosesAnswersToReleases);
        for number in [1, 2] {
            world.fleet.executor(number).hangs_starts.set(starts_hang);
        }
        // Starts that are not answered are repeated.
        world.submit(WEAK, 2, job(2)).await;
        world.advance(SECOND / 5).await;
        let node = weak.node.clone();
        world
            .run_on(WEAK, async move {
                tokio::task::spawn_local(async move { node.drain().await });
            })
            .await;
        wait_for_release(&world, SECOND).await;
        world.host(STRONG).frozen.set(true);
        let hung = world.fleet.executor(1).hung_starts.borrow().len();
        assert_eq!(hung > 0, starts_hang);
        assert_silent_after_release(&world).await;
    }
}

#[tokio::test(start_paused = true)]
async fn running_tasks_survive_a_hand_over_that_takes_half_a_second_at_most() {
    let world = with_weak_owner().await;
    let released = wait_for_release(&world, RELEASED).await;
    assert_eq!(released.successor.as_deref(), Some(STRONG));
    world.advance(SECOND / 2).await;
    assert_eq!(world.owner().as_deref(), Some(STRONG));
    assert_eq!(owner_row(&world).epoch, released.epoch + 1);
    assert_eq!(owner_row(&world).successor, None);
    world.wait_until_succeeded(STRONG, &[1], 60 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8, "each task runs once");
}

#[tokio::test(start_paused = true)]
async fn a_strong_host_without_the_store_never_gets_the_executors() {
    for fault in [StoreFault::Silent, StoreFault::Refuses] {
        for after in [SECOND / 2, 2 * SECOND] {
            let world = with_weak_owner().await;
            world.advance(after).await;
            world.host(STRONG).store_fault.set(fault);
            world.advance(15 * SECOND).await;
            let record = owner_row(&world);
            let seen = (record.host.as_str(), record.epoch, record.released);
            assert_eq!(seen, (WEAK, 1, false), "{fault:?} after {after:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn other_hosts_follow_if_the_named_one_is_lost_before_it_claims() {
    let world = with_weak_owner().await;
    world.start_with("other", Duration::ZERO, capacity(0.4, 200.0));
    let released = wait_for_release(&world, RELEASED).await;
    world.host(STRONG).frozen.set(true);
    world.advance(SECOND).await;
    assert_eq!(owner_row(&world).epoch, released.epoch, "claimed too early");
    world.advance(3 * SECOND).await;
    assert_eq!(owner_row(&world).epoch, released.epoch + 1);
    assert!(world.owner().is_some(), "no host owns the executors");
    world.wait_until_succeeded(WEAK, &[1], 60 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8, "each task runs once");
}

/// The strong host loses the store each time when it is to claim. Each attempt costs some seconds
/// without an owner.
#[tokio::test(start_paused = true)]
async fn a_hand_over_that_is_not_followed_is_tried_less_and_less_often() {
    let world = with_weak_owner().await;
    let mut releases = 0;
    for _ in 0..12_000 {
        world.advance(10 * MILLISECOND).await;
        let record = owner_row(&world);
        let fault = &world.host(STRONG).store_fault;
        if record.released && fault.replace(StoreFault::Silent) == StoreFault::None {
            releases += 1;
        }
        if !record.released {
            fault.set(StoreFault::None);
        }
        assert_eq!(record.host, WEAK, "the strong host could claim");
    }
    assert!((2..=4).contains(&releases), "{releases} in two minutes");
}

/// Earlier releases know neither a successor nor reports, and a rolling update mixes both.
#[test]
fn rows_and_pings_of_earlier_releases_are_read_and_written() {
    let row = r#"{"epoch":3,"host":"h","life":1,"address":"a","transaction":5,"released":true}"#;
    let record: OwnerRecord = serde_json::from_str(row).expect("a row of an earlier release");
    assert_eq!(record.successor, None);
    let written = serde_json::to_string(&record).expect("valid");
    assert_eq!(written, row);
    let ping = serde_json::to_string(&PeerRequest::Ping).expect("valid");
    assert_eq!(ping, r#""ping""#);
    let pong = r#"{"pong":{"life":1,"epoch":3,"confirmed_ms":40}}"#;
    let pong: PeerResponse = serde_json::from_str(pong).expect("an answer of an earlier release");
    let PeerResponse::Pong(pong) = pong else {
        panic!("{pong:?}");
    };
    assert!(!pong.accepts_reports);
}

fn candidate(host: &str, capacity: HostCapacity) -> Candidate {
    Candidate {
        host: host.into(),
        capacity,
        ready_for: Some(4 * SECOND),
        store_round_trip: 8 * MILLISECOND,
    }
}

const OWNER: Incumbent = Incumbent {
    capacity: capacity(0.1, 50.0),
    owned_for: Duration::from_secs(5),
    unconfirmed_for: Duration::from_millis(400),
    store_round_trip: Duration::from_millis(8),
};

#[test]
fn an_owner_hands_over_to_a_considerably_stronger_host_only() {
    let strong = candidate("h", capacity(0.3, 150.0));
    let with = |change: fn(&mut Candidate)| {
        let mut candidate = strong.clone();
        change(&mut candidate);
        candidate
    };
    let cases = [
        ("three times as strong", strong.clone(), true),
        ("twice", with(|host| host.capacity.cores = 0.2), true),
        ("1.9 times", with(|host| host.capacity.cores = 0.19), false),
        (
            "slower link",
            with(|host| host.capacity.link_mbps = 49.0),
            false,
        ),
        ("not ready", with(|host| host.ready_for = None), false),
        (
            "just ready",
            with(|host| host.ready_for = Some(2_900 * MILLISECOND)),
            false,
        ),
        (
            "farther",
            with(|host| host.store_round_trip = 12 * MILLISECOND),
            true,
        ),
        (
            "far",
            with(|host| host.store_round_trip = 90 * MILLISECOND),
            false,
        ),
    ];
    for (what, host, expected) in cases {
        let chosen = handover::stronger_host(&OWNER, std::slice::from_ref(&host)).is_some();
        assert_eq!(chosen, expected, "{what}");
    }
    let unconfirmed = Incumbent {
        unconfirmed_for: SECOND,
        ..OWNER
    };
    let new = Incumbent {
        owned_for: 4 * SECOND,
        ..OWNER
    };
    let strong_enough = Incumbent {
        capacity: capacity(1.0, 200.0),
        ..OWNER
    };
    let hosts = [candidate("h", capacity(8.0, 1_000.0))];
    for owner in [unconfirmed, new, strong_enough] {
        assert_eq!(handover::stronger_host(&owner, &hosts), None, "{owner:?}");
    }
}

#[test]
fn the_strongest_candidate_follows() {
    let hosts = [
        candidate("b", capacity(0.4, 200.0)),
        candidate("a", capacity(0.4, 200.0)),
        candidate("weaker", capacity(0.3, 200.0)),
    ];
    let chosen = handover::stronger_host(&OWNER, &hosts).map(|host| &*host.host);
    assert_eq!(chosen, Some("a"));
}

#[test]
fn the_interval_between_hand_overs_doubles_after_each_that_failed() {
    let own: Rc<str> = "own".into();
    let successor: Arc<str> = "successor".into();
    let followed_by = |host: &str, epoch: u64| OwnerRecord {
        epoch,
        host: host.to_owned(),
        ..OwnerRecord::default()
    };
    // (the next owner, the seconds until this host owns the executors again, interval in seconds)
    let cases = [
        ("successor", None, 10),
        ("other", None, 20),
        ("own", None, 20),
        ("successor", Some(30), 20),
        ("successor", Some(90), 10),
    ];
    for (next, back_after, expected) in cases {
        let mut handovers = Handovers::default();
        let start = Mono::ZERO;
        assert!(handovers.is_due(start));
        handovers.record(1, successor.clone(), start);
        handovers.observe(&followed_by("own", 1), &own, start.after(SECOND));
        handovers.observe(&followed_by(next, 2), &own, start.after(SECOND));
        if let Some(seconds) = back_after {
            let now = start.after(SECOND * seconds);
            handovers.observe(&followed_by("own", 3), &own, now);
        }
        let due = start.after(SECOND * expected);
        let before = start.after(SECOND * expected - MILLISECOND);
        let seen = (handovers.is_due(before), handovers.is_due(due));
        assert_eq!(seen, (false, true), "{next}, {back_after:?}");
    }
}
