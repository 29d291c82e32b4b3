//! A far host that receives the operators' document from the owner while the owner, the link or the
//! store fails.

use std::time::Duration;

use crate::peer_faults::DocumentFault;
use crate::peer_faults::PeerFaults;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);
/// How much longer the calls of far hosts to the store take.
const DISTANCE: Duration = Duration::from_millis(40);
/// The hosts of the store's region.
const NEAR: [&str; 2] = ["near-1", "near-2"];
/// The hosts of the other region.
const FAR: [&str; 3] = ["far-1", "far-2", "far-3"];
/// Within this time after the store has acknowledged a change, it is in force on each host.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest interval between two pings of a likely successor, in milliseconds.
const PING_INTERVAL_MS: u64 = 300;

/// Returns a world in which a host near the store owns the executors and far hosts take the document
/// from it, with this fault of the hosts near the store.
async fn started(document: DocumentFault) -> World {
    let world = World::new(3);
    for name in NEAR {
        world.start(name);
    }
    for name in FAR {
        world.start_at(name, DISTANCE);
    }
    world.advance(3 * SECOND).await;
    let owner = owner(&world);
    assert!(owner.starts_with("near"), "{owner} owns the executors");
    set_faults(
        &world,
        PeerFaults {
            document,
            loses_pings: false,
        },
    );
    world
}

fn set_faults(world: &World, faults: PeerFaults) {
    for name in NEAR {
        world.host(name).peer_faults.set(faults);
    }
}

fn set_store_fault(world: &World, fault: StoreFault) {
    for name in FAR {
        world.host(name).store_fault.set(fault);
    }
}

fn owner(world: &World) -> String {
    world.owner().expect("an owner")
}

fn versions(world: &World) -> [u64; 3] {
    FAR.map(|name| {
        let plan = world.host(name).node.plan();
        plan.map_or(0, |plan| plan.version)
    })
}

fn transfers_from_store(world: &World) -> [u32; 3] {
    FAR.map(|name| world.document.transfers(name))
}

/// A far host waited 2 s for the first byte of the document from an owner whose machine had lost
/// power, before it asked the store.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_far_hosts_if_the_owner_loses_power_when_asked_for_the_document() {
    for phase in (0..PING_INTERVAL_MS).step_by(50) {
        println!("the document changes {phase} ms later");
        let world = started(DocumentFault::LosesPower).await;
        world.advance(Duration::from_millis(phase)).await;
        let before = transfers_from_store(&world);
        world.document.change(plan(2, false));
        world.advance(APPLY_LIMIT).await;
        assert!(NEAR.iter().any(|name| world.host(name).frozen.get()));
        assert_eq!(versions(&world), [2; 3]);
        world.advance(3 * SECOND).await;
        let read = transfers_from_store(&world);
        assert_eq!(read, before.map(|number| number + 1), "full copies");
    }
}

/// The waits for two owners added up.
#[tokio::test(start_paused = true)]
async fn changes_reach_far_hosts_if_one_owner_after_the_other_loses_power() {
    let world = started(DocumentFault::LosesPower).await;
    for version in 2..=3 {
        let owner = owner(&world);
        world.document.change(plan(version, false));
        world.advance(APPLY_LIMIT).await;
        assert!(world.host(&owner).frozen.get(), "{owner} has power");
        assert_eq!(versions(&world), [version; 3]);
        world.advance(3 * SECOND).await;
    }
}

/// A far host waited for the next part of the document from an owner without power, and then for the
/// first byte of the next attempt.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_far_hosts_if_the_owner_loses_power_during_the_transfer() {
    for after_ms in (300..1_700).step_by(100) {
        println!("the owner loses power after {after_ms} ms");
        let world = started(DocumentFault::Slow(SECOND * 5 / 4)).await;
        let owner = owner(&world);
        world.document.change(plan(2, false));
        world.advance(Duration::from_millis(after_ms)).await;
        world.host(&owner).frozen.set(true);
        let rest = APPLY_LIMIT - Duration::from_millis(after_ms);
        world.advance(rest).await;
        assert_eq!(versions(&world), [2; 3]);
    }
}

/// The connection that carries the request is broken, for example because a device on the network
/// path has dropped its state, while the owner answers pings on another one.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_far_hosts_if_the_owner_answers_pings_alone() {
    for phase in (0..PING_INTERVAL_MS).step_by(50) {
        println!("the document changes {phase} ms later");
        let world = started(DocumentFault::Unanswered).await;
        world.advance(Duration::from_millis(phase)).await;
        world.document.change(plan(2, false));
        world.advance(APPLY_LIMIT).await;
        assert_eq!(versions(&world), [2; 3]);
    }
}

/// The waits for two attempts at a connection that breaks late added up.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_far_hosts_if_connections_to_the_owner_break() {
    for breaks_after_ms in [0, 100, 900] {
        for phase in (0..PING_INTERVAL_MS).step_by(100) {
            println!("{breaks_after_ms} ms, the document changes {phase} ms later");
            let breaks_after = Duration::from_millis(breaks_after_ms);
            let world = started(DocumentFault::Breaks(breaks_after)).await;
            world.advance(Duration::from_millis(phase)).await;
            world.document.change(plan(2, false));
            world.advance(APPLY_LIMIT).await;
            assert_eq!(versions(&world), [2; 3]);
        }
    }
}

/// Of many hosts most ping the owner seldom, so that they learn late of a new version and have less
/// time for a second source.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_many_far_hosts_if_the_owner_loses_power_when_asked_for_the_document() {
    let world = started(DocumentFault::LosesPower).await;
    let names: Vec<String> = (4..20).map(|number| format!("far-{number}")).collect();
    for name in &names {
        world.start_at(name, DISTANCE);
    }
    world.advance(3 * SECOND).await;
    world.document.change(plan(2, false));
    world.advance(APPLY_LIMIT).await;
    assert!(NEAR.iter().any(|name| world.host(name).frozen.get()));
    assert_eq!(versions(&world), [2; 3]);
    for name in &names {
        let plan = world.host(name).node.plan();
        assert_eq!(plan.map(|plan| plan.version), Some(2), "{name}");
    }
}

/// The document changes again while the owner sends the earlier version, and the owner loses power.
#[tokio::test(start_paused = true)]
async fn a_change_during_a_transfer_reaches_far_hosts_if_the_owner_loses_power() {
    let world = started(DocumentFault::Slow(SECOND)).await;
    let owner = owner(&world);
    world.document.change(plan(2, false));
    world.advance(SECOND / 2).await;
    world.document.change(plan(3, false));
    world.advance(SECOND / 4).await;
    world.host(&owner).frozen.set(true);
    world.advance(APPLY_LIMIT - SECOND / 4).await;
    assert_eq!(versions(&world), [3; 3]);
}

/// A large document over a narrow link takes seconds. A second copy from the store, or the same
/// transfer once more, would fill the link further.
#[tokio::test(start_paused = true)]
async fn a_slow_transfer_of_an_owner_that_answers_pings_is_not_repeated_or_read_from_the_store() {
    let world = started(DocumentFault::Slow(4 * SECOND)).await;
    let owner = owner(&world);
    let before = transfers_from_store(&world);
    world.document.change(plan(2, false));
    world.advance(5 * SECOND).await;
    assert_eq!(versions(&world), [2; 3]);
    assert_eq!(transfers_from_store(&world), before);
    assert_eq!(world.host(&owner).document_requests.get(), 3);
}

/// On a full link pings may be late. A transfer that still makes progress would be given up although
/// the store is away.
#[tokio::test(start_paused = true)]
async fn a_transfer_goes_on_if_pings_are_lost_and_the_store_is_away() {
    let faults = PeerFaults {
        document: DocumentFault::Slow(2 * SECOND),
        loses_pings: true,
    };
    let world = started(DocumentFault::Slow(2 * SECOND)).await;
    let owner = owner(&world);
    world.document.change(plan(2, false));
    while world.host(&owner).document_requests.get() < 3 {
        world.advance(Duration::from_millis(1)).await;
    }
    set_faults(&world, faults);
    set_store_fault(&world, StoreFault::Silent);
    world.advance(SECOND * 5 / 2).await;
    assert_eq!(versions(&world), [2; 3]);
}

/// Neither source answers for a while: the far hosts have to go on asking.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_far_hosts_soon_after_the_store_is_back_if_the_owner_has_lost_power() {
    let world = started(DocumentFault::LosesPower).await;
    set_store_fault(&world, StoreFault::Silent);
    world.document.change(plan(2, false));
    world.advance(4 * SECOND).await;
    assert_eq!(versions(&world), [1; 3]);
    set_store_fault(&world, StoreFault::None);
    world.advance(APPLY_LIMIT).await;
    assert_eq!(versions(&world), [2; 3]);
}
