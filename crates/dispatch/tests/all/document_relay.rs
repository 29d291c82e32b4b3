//! Hosts far from the store take the operators' document from the owner.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use dispatch::document::packed::PackedPlan;
use dispatch::document::relay;
use dispatch::document::relay::OwnerDocument;
use dispatch::peers::DocumentInfo;
use dispatch::peers::Pong;
use job::plan::Plan;
use job::plan::Queue;
use model::Mono;

use crate::log_capture;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);
/// How much longer the calls of far hosts to the store take.
const DISTANCE: Duration = Duration::from_millis(40);
/// The hosts of the other region.
const FAR: [&str; 3] = ["far-1", "far-2", "far-3"];
/// Within this time a change is in force everywhere, whatever happens to the owner.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// Returns a world with two hosts near the store, one of them the owner, and three far from it.
async fn started() -> World {
    let world = World::new(3);
    world.start("near-1");
    world.start("near-2");
    for name in FAR {
        world.start_at(name, DISTANCE);
    }
    world.advance(3 * SECOND).await;
    let owner = world.owner().expect("an owner");
    assert!(owner.starts_with("near"), "{owner} owns the executors");
    world
}

fn version_at(world: &World, name: &str) -> u64 {
    world.host(name).node.plan().map_or(0, |plan| plan.version)
}

fn assert_in_force(world: &World, names: &[&str], version: u64) {
    for name in names {
        assert_eq!(version_at(world, name), version, "{name}");
    }
}

/// A document of thousands of queues, read by all hosts of a region at once, filled the link to the
/// store's region for seconds.
#[tokio::test(start_paused = true)]
async fn a_changed_document_crosses_to_the_other_region_from_the_owner_and_not_from_the_store() {
    let world = started().await;
    let before = FAR.map(|name| world.document.transfers(name));
    for version in 2..=4 {
        world.document.change(plan(version, false));
        world.advance(SECOND).await;
        assert_in_force(&world, &["near-1", "near-2"], version);
        assert_in_force(&world, &FAR, version);
    }
    assert_eq!(FAR.map(|name| world.document.transfers(name)), before);
}

/// Name of what happens to the owner while the document changes, and the function that causes it.
type OwnerFault = (&'static str, fn(&World, &str));

const OWNER_FAULTS: [OwnerFault; 4] = [
    ("killed", |world, owner| world.kill(owner)),
    ("frozen", |world, owner| world.host(owner).frozen.set(true)),
    ("rejected by the store", |world, owner| {
        world.host(owner).store_fault.set(StoreFault::Refuses);
    }),
    ("not answered by the store", |world, owner| {
        world.host(owner).store_fault.set(StoreFault::Silent);
    }),
];

#[tokio::test(start_paused = true)]
async fn a_changed_document_reaches_far_hosts_whatever_happens_to_the_owner() {
    for (name, fail) in OWNER_FAULTS {
        println!("the owner is {name}");
        let world = started().await;
        let owner = world.owner().expect("an owner");
        fail(&world, &owner);
        world.document.change(plan(2, false));
        world.advance(APPLY_LIMIT).await;
        assert_in_force(&world, &FAR, 2);
    }
}

/// The owner has reported the new version and stops before or while it sends the document.
#[tokio::test(start_paused = true)]
async fn a_changed_document_reaches_far_hosts_whenever_the_owner_freezes() {
    for after_ms in (0..600).step_by(25) {
        println!("the owner freezes after {after_ms} ms");
        let world = started().await;
        let owner = world.owner().expect("an owner");
        world.document.change(plan(2, false));
        world.advance(Duration::from_millis(after_ms)).await;
        world.host(&owner).frozen.set(true);
        let rest = APPLY_LIMIT - Duration::from_millis(after_ms);
        world.advance(rest).await;
        assert_in_force(&world, &FAR, 2);
    }
}

/// A host that takes the document from the owner makes no other regular call to the store. It would
/// refuse callers for good after a disruption if it did not check that the store answers again.
#[tokio::test(start_paused = true)]
async fn a_far_host_accepts_jobs_again_after_it_had_lost_the_store() {
    let world = started().await;
    let host = world.host("far-1");
    host.store_fault.set(StoreFault::Refuses);
    world.advance(SECOND).await;
    let lost = world.submit("far-1", 1, job(1)).await;
    assert_eq!(lost, SubmitOutcome::Refused);
    world.advance(3 * SECOND).await;
    host.store_fault.set(StoreFault::None);
    world.advance(2 * SECOND).await;
    let back = world.submit("far-1", 2, job(1)).await;
    assert_eq!(back, SubmitOutcome::Accepted);
}

/// Each call to the store without an answer made a host read the whole document again, over links
/// that were slow already.
#[tokio::test(start_paused = true)]
async fn a_host_that_lost_the_store_does_not_read_an_unchanged_document_again() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = if owner == "near-1" {
        "near-2"
    } else {
        "near-1"
    };
    let before = world.document.transfers(host);
    world.host(host).store_fault.set(StoreFault::Silent);
    world.advance(5 * SECOND).await;
    world.host(host).store_fault.set(StoreFault::None);
    world.advance(3 * SECOND).await;
    assert_eq!(world.document.transfers(host), before);
    world.document.change(plan(2, false));
    world.advance(SECOND).await;
    assert_in_force(&world, &[host], 2);
    assert_eq!(world.document.transfers(host), before + 1);
}

/// Hundreds of lines said that hosts had lost the store, and none that it was the document that they
/// were reading.
#[tokio::test(start_paused = true)]
async fn the_log_tells_where_a_document_was_read_and_which_call_to_the_store_failed() {
    log_capture::begin();
    let world = started().await;
    world.document.change(plan(2, false));
    world.advance(SECOND).await;
    let documents = log_capture::lines("document");
    let of_version_2 = documents.iter().filter(|line| line["version"] == "2");
    let mut sources: Vec<&str> = of_version_2.map(|line| line["source"].as_str()).collect();
    sources.sort_unstable();
    assert_eq!(sources, ["owner", "owner", "owner", "store", "store"]);
    world.document.break_transfers_after(SECOND);
    world.document.change(plan(3, false));
    world.advance(3 * SECOND).await;
    let dependencies = log_capture::lines("dependency");
    let lost = dependencies
        .iter()
        .filter(|line| line["available"] == "false");
    let mut calls: Vec<&str> = lost.map(|line| line["detail"].as_str()).collect();
    calls.dedup();
    assert_eq!(calls, ["document"]);
}

#[test]
fn the_owner_is_preferred_if_it_is_much_closer_to_the_store_and_current() {
    let cases = [
        // The host's and the owner's round trip, the age of the owner's document, the result.
        (44, 6, 1_000, true),
        (44, 6, 1_700, false),
        (7, 6, 0, false),
        (44, 44, 0, false),
        (6, 44, 0, false),
        // The store answers in less than a millisecond, and nobody is far from it.
        (1, 0, 0, false),
        (3, 1, 0, false),
        (20, 0, 0, true),
    ];
    for (own_ms, owner_ms, age_ms, expected) in cases {
        let info = DocumentInfo {
            version: 1,
            store_version: 1,
            age_ms: age_ms / 2,
            store_round_trip_ms: owner_ms,
        };
        let owner = OwnerDocument {
            address: "owner".into(),
            info,
            reported_at: Mono(5_000),
        };
        let now = Mono(5_000 + age_ms / 2);
        let round_trip = Duration::from_millis(own_ms);
        let preferred = relay::is_preferred(&owner, round_trip, now);
        assert_eq!(preferred, expected, "{own_ms} {owner_ms} {age_ms}");
    }
}

/// A document with many queues, as an operator may add them.
fn large_plan() -> Plan {
    let small = plan(7, true);
    let queues = (0..3_000).map(|number| Queue {
        name: format!("queue-{number}").into(),
        host: format!("host-{}.example", number % 7).into(),
        path_prefix: format!("/prefix-{number}/").into(),
        ..small.queues[0].clone()
    });
    Plan {
        queues: queues.collect(),
        ..small
    }
}

#[test]
fn a_packed_document_is_restored_and_much_smaller() {
    let plan = large_plan();
    let packed = PackedPlan::pack(&plan).expect("a document");
    assert_eq!(packed.version, 7);
    let json = serde_json::to_vec(&plan).expect("valid JSON");
    let message = serde_json::to_vec(&packed).expect("valid JSON");
    assert!(message.len() * 5 < json.len(), "{}", message.len());
    let received: PackedPlan = serde_json::from_slice(&message).expect("a packed document");
    let restored = received.unpack().expect("a document");
    assert_eq!(restored, plan);
    assert!(restored.queue("queue-2999").is_some());
}

#[test]
fn a_damaged_document_is_not_restored() {
    let packed = PackedPlan::pack(&large_plan()).expect("a document");
    let message = serde_json::to_string(&packed).expect("valid JSON");
    let middle = message.len() / 2;
    let damaged = format!("{}AAAA{}", &message[..middle], &message[middle + 4..]);
    let received: PackedPlan = serde_json::from_str(&damaged).expect("a packed document");
    assert_eq!(received.unpack(), None);
}

#[test]
fn an_answer_of_an_earlier_release_reports_no_document() {
    let answer = r#"{"life":5,"epoch":2,"confirmed_ms":30}"#;
    let pong: Pong = serde_json::from_str(answer).expect("a valid answer");
    assert_eq!((pong.epoch, pong.document), (2, None));
}
