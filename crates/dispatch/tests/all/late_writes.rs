//! Submissions that the store writes after their cancellation was answered.

use std::time::Duration;

use dispatch::api;
use dispatch::api::CancelOutcome;
use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use dispatch::rows;
use dispatch::tombstones::Tombstones;
use dispatch::tombstones::WriteBudget;
use job::record::SubmissionRecord;
use model::Mono;

use crate::store::StoreFault;
use crate::world::QUEUE;
use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);
/// How much later than usual the store writes a submission.
const LATE_BY: Duration = Duration::from_millis(5_800);
/// Time after which a tombstone is gone.
const GONE_AFTER: Duration = Duration::from_secs(80);

async fn started() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world
}

async fn cancel(world: &World, name: &str, number: u64) -> CancelOutcome {
    let node = world.host(name).node.clone();
    let cancelled = api::cancel(&node, job_id(number));
    world.run_on(name, cancelled).await
}

fn has_tombstone(world: &World, number: u64) -> bool {
    let row_id = rows::cancellation_row_id(job_id(number));
    world.store.value(&row_id).is_some()
}

/// Guards against a job that runs although its cancellation was answered with `NoSuchJob`, because its
/// submission is stored seconds later.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_written_after_its_cancellation_does_not_run() {
    for owner_dies in [false, true] {
        let world = started().await;
        let owner = world.owner().expect("an owner");
        let other = if owner == "a" { "b" } else { "a" };
        let fault = world.host(other).store_fault.clone();
        fault.set(StoreFault::DelaysWrites(LATE_BY));
        let outcome = world.submit(other, 1, job(2)).await;
        assert_eq!(outcome, SubmitOutcome::Unknown);
        fault.set(StoreFault::None);
        let cancelled = cancel(&world, other, 1).await;
        assert_eq!(cancelled, CancelOutcome::NoSuchJob);
        if owner_dies {
            world.kill(&owner);
        }
        world.advance(20 * SECOND).await;
        assert_eq!(world.fleet.starts.get(), 0, "owner dies: {owner_dies}");
        assert_eq!(world.state(other, 1).await, JobLookup::NoSuchJob);
        world.advance(GONE_AFTER).await;
        assert!(!has_tombstone(&world, 1));
        assert_eq!(world.fleet.starts.get(), 0);
    }
}

/// Guards against the same where the late write is one of a host of an earlier release, which does not
/// expect that there is no tombstone.
#[tokio::test(start_paused = true)]
async fn a_late_write_by_a_host_of_an_earlier_release_does_not_run_either() {
    for takeover in [false, true] {
        let world = started().await;
        assert_eq!(cancel(&world, "a", 1).await, CancelOutcome::NoSuchJob);
        let owner = world.owner().expect("an owner");
        let other = if owner == "a" { "b" } else { "a" };
        if takeover {
            world.kill(&owner);
            world.advance(Duration::from_millis(50)).await;
        } else {
            world.advance(3 * SECOND).await;
        }
        let record = SubmissionRecord {
            queue: QUEUE.into(),
            accepted_unix_ms: 1_000_000,
            spec: job(2).into(),
            terms: None,
        };
        let value = serde_json::to_vec(&record).expect("JSON");
        world.store.put(rows::job_row_id(job_id(1)), value);
        world.advance(20 * SECOND).await;
        assert_eq!(world.fleet.starts.get(), 0, "takeover: {takeover}");
        let state = JobLookup::State(job::scheduler::JobState::Cancelled);
        assert_eq!(world.state(other, 1).await, state);
    }
}

/// Guards against a tombstone that does not apply to a new submission, and against one that blocks its name
/// for good.
#[tokio::test(start_paused = true)]
async fn a_used_name_is_refused_while_its_cancellation_is_stored_and_free_afterwards() {
    let world = started().await;
    assert_eq!(cancel(&world, "a", 1).await, CancelOutcome::NoSuchJob);
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Cancelled);
    // The owner reads all rows again while one is removed.
    world.advance(GONE_AFTER / 2).await;
    world.store.drop_history();
    world.advance(GONE_AFTER / 2).await;
    assert!(!has_tombstone(&world, 1));
    assert_eq!(world.submit("b", 1, job(2)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("b", &[1], 10 * SECOND).await;
}

/// Guards against cancellations of unknown jobs that take the store's writes or fill it with rows.
#[tokio::test(start_paused = true)]
async fn a_flood_of_cancellations_of_unknown_jobs_costs_few_writes_and_leaves_no_rows() {
    let world = started().await;
    let mut stored = 0;
    for number in 1..=300 {
        match cancel(&world, "a", number).await {
            CancelOutcome::NoSuchJob => stored += 1,
            outcome => assert_eq!(outcome, CancelOutcome::TooMany),
        }
        // What is stored is answered without another write.
        if number == 1 {
            assert_eq!(cancel(&world, "b", 1).await, CancelOutcome::NoSuchJob);
        }
    }
    assert!((40..=120).contains(&stored), "{stored} stored");
    let tombstones = (1..=300).filter(|number| has_tombstone(&world, *number));
    assert_eq!(tombstones.count(), stored);
    // A job that is known is cancelled all the same.
    world.submit("a", 400, job(2)).await;
    assert_eq!(cancel(&world, "a", 400).await, CancelOutcome::Accepted);
    world.advance(GONE_AFTER).await;
    let left = (1..=300).filter(|number| has_tombstone(&world, *number));
    assert_eq!(left.count(), 0);
}

/// Guards against a budget that refuses well-behaved callers at once, or that earns too much.
#[test]
fn the_budget_allows_a_burst_and_then_a_steady_rate() {
    let mut budget = WriteBudget::default();
    let now = Mono(60_000);
    let burst = (0..1_000).filter(|_| budget.take(now)).count();
    assert_eq!(burst, 40);
    let steady = (0..10_000).filter(|ms| budget.take(Mono(60_000 + ms)));
    assert!((79..=81).contains(&steady.count()));
}

/// Guards against tombstones that accumulate, and against the early removal of one that a late write needs.
#[test]
fn only_tombstones_that_no_late_write_needs_go_early_when_there_are_too_many() {
    let mut tombstones = Tombstones::default();
    for number in 0..5_000 {
        tombstones.add(job_id(number), number + 1, Mono(number));
    }
    let retention = 180 * SECOND;
    let expired = |at: u64| tombstones.expired(retention, 10_000, Mono(at)).len();
    assert_eq!(expired(29_999), 0, "a late write is possible");
    assert_eq!(expired(40_000), 5_000 - 4_096);
    assert_eq!(expired(180_000), 5_000 - 4_096);
    assert_eq!(expired(185_000), 5_000);
}
