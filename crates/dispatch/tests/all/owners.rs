//! Failures of the owner and takeovers.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use job::plan::Plan;

use crate::log_capture;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);

async fn started() -> World {
    let world = World::new(3);
    world.start("a");
    world.start("b");
    world.start("c");
    world.advance(SECOND).await;
    assert!(world.owner().is_some(), "no host owns the executors");
    world
}

fn other(owner: &str) -> &'static str {
    if owner == "a" { "b" } else { "a" }
}

/// Returns a world whose owner has just started three jobs, the name of the owner and that of
/// another host.
async fn with_three_jobs() -> (World, String, &'static str) {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = other(&owner);
    for number in 1..=3 {
        world.submit(host, number, job(5)).await;
    }
    world.advance(Duration::from_millis(100)).await;
    (world, owner, host)
}

#[tokio::test(start_paused = true)]
async fn a_job_runs_to_its_end() {
    let world = started().await;
    assert_eq!(world.submit("b", 1, job(4)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("c", &[1], 5 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8);
}

/// Name of a failure of the owner, the function that causes it, and the time limit for its jobs.
type Failure = (&'static str, fn(&World, &str), Duration);

const FAILURES: [Failure; 5] = [
    (
        "killed",
        |world, owner| world.kill(owner),
        Duration::from_secs(9),
    ),
    (
        "frozen",
        |world, owner| world.host(owner).frozen.set(true),
        Duration::from_secs(9),
    ),
    (
        "rejected by the store",
        |world, owner| world.host(owner).store_fault.set(StoreFault::Refuses),
        Duration::from_secs(9),
    ),
    (
        "not answered by the store",
        |world, owner| world.host(owner).store_fault.set(StoreFault::Silent),
        Duration::from_secs(9),
    ),
    (
        "restarted",
        |world, owner| {
            world.kill(owner);
            world.start(owner);
        },
        Duration::from_secs(5),
    ),
];

#[tokio::test(start_paused = true)]
async fn jobs_of_an_owner_that_fails_go_on_and_no_task_runs_twice() {
    for (name, fail, limit) in FAILURES {
        println!("the owner is {name}");
        for delay_ms in [5, 20, 300, 700] {
            let world = started().await;
            let owner = world.owner().expect("an owner");
            let host = other(&owner);
            for number in 1..=3 {
                assert_eq!(
                    world.submit(host, number, job(5)).await,
                    SubmitOutcome::Accepted
                );
            }
            world.advance(Duration::from_millis(delay_ms)).await;
            fail(&world, &owner);
            world.wait_until_succeeded(host, &[1, 2, 3], limit).await;
            assert_eq!(world.fleet.starts.get(), 30, "{name} after {delay_ms} ms");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_resumes_after_a_takeover_starts_nothing() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = other(&owner);
    world.submit(host, 1, job(5)).await;
    world.advance(Duration::from_millis(30)).await;
    world.host(&owner).frozen.set(true);
    world.advance(4 * SECOND).await;
    let successor = world.owner().expect("a successor");
    assert_ne!(successor, owner);
    world.submit(host, 2, job(5)).await;
    world.host(&owner).frozen.set(false);
    world.wait_until_succeeded(host, &[1, 2], 8 * SECOND).await;
    assert!(world.host(&owner).node.owner().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_delayed_command_starts_no_task_twice() {
    for late_ms in [900, 2_500, 7_000, 11_000] {
        let world = started().await;
        let owner = world.owner().expect("an owner");
        let host = other(&owner);
        let executor = world.fleet.executor(1);
        executor
            .command_delay
            .set(Some(Duration::from_millis(late_ms)));
        for number in 1..=3 {
            world.submit(host, number, job(4)).await;
        }
        world.advance(SECOND).await;
        executor.command_delay.set(None);
        world
            .wait_until_succeeded(host, &[1, 2, 3], 20 * SECOND)
            .await;
        world.advance(15 * SECOND).await;
        world.assert_no_violations();
    }
}

#[tokio::test(start_paused = true)]
async fn a_command_delayed_past_a_takeover_starts_no_task_twice() {
    for late_ms in [900, 2_500, 7_000, 11_000] {
        let world = started().await;
        let owner = world.owner().expect("an owner");
        let host = other(&owner);
        let executor = world.fleet.executor(1);
        executor
            .command_delay
            .set(Some(Duration::from_millis(late_ms)));
        for number in 1..=3 {
            world.submit(host, number, job(4)).await;
        }
        world.advance(Duration::from_millis(200)).await;
        world.kill(&owner);
        executor.command_delay.set(None);
        world
            .wait_until_succeeded(host, &[1, 2, 3], 25 * SECOND)
            .await;
        world.advance(15 * SECOND).await;
        world.assert_no_violations();
    }
}

#[tokio::test(start_paused = true)]
async fn tasks_of_an_unreachable_executor_restart_elsewhere_only_after_its_lease_expires() {
    let (world, _, host) = with_three_jobs().await;
    world.fleet.executor(2).reachable.set(false);
    world
        .wait_until_succeeded(host, &[1, 2, 3], 15 * SECOND)
        .await;
    world.fleet.executor(2).reachable.set(true);
    world.advance(3 * SECOND).await;
    world.assert_no_violations();
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_for_the_lease_of_an_unreachable_executor() {
    let (world, owner, host) = with_three_jobs().await;
    world.fleet.executor(2).reachable.set(false);
    world.kill(&owner);
    world.start(&owner);
    world
        .wait_until_succeeded(host, &[1, 2, 3], 15 * SECOND)
        .await;
}

#[tokio::test(start_paused = true)]
async fn tasks_continue_through_a_store_outage_and_count_once() {
    for fault in [
        StoreFault::Refuses,
        StoreFault::Silent,
        StoreFault::LosesAnswers,
        StoreFault::DelaysWrites(3 * SECOND),
    ] {
        println!("{fault:?}");
        let world = started().await;
        for number in 1..=3 {
            world.submit("b", number, job(5)).await;
        }
        world.advance(Duration::from_millis(15)).await;
        for name in ["a", "b", "c"] {
            world.host(name).store_fault.set(fault);
        }
        world.advance(4 * SECOND).await;
        for name in ["a", "b", "c"] {
            world.host(name).store_fault.set(StoreFault::None);
        }
        world
            .wait_until_succeeded("b", &[1, 2, 3], 12 * SECOND)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_stops_in_order_is_followed_without_a_wait() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let host = other(&owner);
    world.submit(host, 1, job(5)).await;
    world.advance(Duration::from_millis(100)).await;
    let node = world.host(&owner).node.clone();
    world.run_on(&owner, node.drain()).await;
    world.advance(SECOND).await;
    let successor = world.owner().expect("a successor within a second");
    assert_ne!(successor, owner);
    world.wait_until_succeeded(host, &[1], 5 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 10);
}

#[tokio::test(start_paused = true)]
async fn running_tasks_survive_a_restart_of_all_hosts() {
    let world = started().await;
    for number in 1..=3 {
        world.submit("a", number, job(5)).await;
    }
    world.advance(Duration::from_millis(100)).await;
    for name in ["a", "b", "c"] {
        world.kill(name);
    }
    world.advance(SECOND).await;
    for name in ["a", "b", "c"] {
        world.start(name);
    }
    world
        .wait_until_succeeded("a", &[1, 2, 3], 8 * SECOND)
        .await;
    assert_eq!(world.fleet.starts.get(), 30);
}

#[tokio::test(start_paused = true)]
async fn jobs_accepted_while_the_change_history_was_dropped_are_found() {
    let world = started().await;
    for number in 1..=5 {
        world.submit("a", number, job(2)).await;
        world.store.drop_history();
    }
    world
        .wait_until_succeeded("b", &[1, 2, 3, 4, 5], 10 * SECOND)
        .await;
}

/// An executor answers polls, but each answer arrives too late for the executor to be reachable.
#[tokio::test(start_paused = true)]
async fn a_late_answer_to_a_poll_still_reports_the_end_of_a_run() {
    let world = World::new(1);
    world.start("a");
    world.advance(SECOND).await;
    let executor = world.fleet.executor(1);
    executor.answer_delay.set(2 * SECOND);
    log_capture::begin();
    world.submit("a", 1, job(2)).await;
    world.wait_until_succeeded("a", &[1], 30 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 4, "each task runs once");
    let late = log_capture::lines("late_answer");
    assert!(late.iter().any(|line| line["ends"] == "2"), "{late:?}");
}

/// Answers that take longer than a lease: the end of a run counts once an answer has listed it, and the
/// task must not start again although the owner has not heard of it.
#[tokio::test(start_paused = true)]
async fn no_task_starts_again_while_answers_to_polls_take_longer_than_a_lease() {
    for executors in [1, 3] {
        let world = World::new(executors);
        world.start("a");
        world.advance(SECOND).await;
        for number in 1..=executors {
            let executor = world.fleet.executor(number);
            executor.answer_delay.set(6 * SECOND);
        }
        world.submit("a", 1, job(2)).await;
        world.advance(40 * SECOND).await;
        assert!(
            world.fleet.starts.get() <= 4,
            "{} starts of 4 tasks on {executors} executors",
            world.fleet.starts.get()
        );
    }
}

/// Reads of many rows over a full link: other hosts took each successor for dead while it read, claimed
/// in turn and read the same rows again.
#[tokio::test(start_paused = true)]
async fn a_successor_that_reads_for_seconds_is_not_superseded_meanwhile() {
    let (world, owner, host) = with_three_jobs().await;
    let epoch = world.host(&owner).node.highest_epoch.get();
    world.store.set_read_transfer(Duration::from_millis(1_300));
    world.kill(&owner);
    world.advance(10 * SECOND).await;
    assert_eq!(world.host(host).node.highest_epoch.get(), epoch + 1);
    assert!(world.owner().is_some(), "no host owns the executors");
    world
        .wait_until_succeeded(host, &[1, 2, 3], 15 * SECOND)
        .await;
}

/// A job waited for as long as its document was in force, because the owner had taken the earlier one at the
/// start of its takeover.
#[tokio::test(start_paused = true)]
async fn an_owner_follows_a_document_that_comes_while_it_takes_over() {
    let (world, owner, host) = with_three_jobs().await;
    world
        .wait_until_succeeded(host, &[1, 2, 3], 15 * SECOND)
        .await;
    world.document.change(with_service(2, "absent"));
    world.advance(2 * SECOND).await;
    let submitted = world.submit(host, 4, job(1)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    world.store.set_read_transfer(Duration::from_millis(1_300));
    let epoch = world.host(&owner).node.highest_epoch.get();
    world.kill(&owner);
    let names = ["a", "b", "c"].into_iter().filter(|name| *name != owner);
    let names: Vec<&str> = names.collect();
    let claims = |name: &&&str| world.host(name).node.highest_epoch.get() > epoch;
    while !names.iter().any(|name| claims(&name)) {
        world.advance(Duration::from_millis(50)).await;
    }
    assert_eq!(world.owner(), None, "the takeover is under way");
    world.document.change(with_service(3, "service"));
    world.wait_until_succeeded(host, &[4], 10 * SECOND).await;
}

fn with_service(version: u64, service: &str) -> Plan {
    let mut plan = plan(version, false);
    let mut queue = plan.queues[0].clone();
    queue.service = service.into();
    plan.queues = vec![queue].into();
    plan
}

/// A successor that another host supersedes while it reads leaves the executors to that host.
#[tokio::test(start_paused = true)]
async fn a_successor_that_is_frozen_while_it_reads_is_superseded() {
    let (world, owner, host) = with_three_jobs().await;
    let epoch = world.host(&owner).node.highest_epoch.get();
    world.store.set_read_transfer(Duration::from_millis(1_300));
    world.kill(&owner);
    let names = ["a", "b", "c"];
    let successor = loop {
        world.advance(Duration::from_millis(50)).await;
        let alive = names.iter().filter(|name| **name != owner);
        let mut claimed = alive.filter(|name| world.host(name).node.highest_epoch.get() > epoch);
        if let Some(name) = claimed.next() {
            break *name;
        }
    };
    world.host(successor).frozen.set(true);
    world.advance(10 * SECOND).await;
    world.host(successor).frozen.set(false);
    world.advance(SECOND).await;
    assert_ne!(world.owner().as_deref(), Some(successor));
    assert!(world.host(successor).node.owner().is_none());
    world
        .wait_until_succeeded(host, &[1, 2, 3], 15 * SECOND)
        .await;
}

/// The lease of a crashed executor has not expired yet when the process that follows it is listed.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_crashed_executor_start_again_before_its_lease_expires() {
    let world = World::new(2);
    world.start("a");
    world.advance(SECOND).await;
    for number in 1..=2 {
        world.fleet.executor(number).task_duration.set(60 * SECOND);
    }
    world.submit("a", 1, job(8)).await;
    world.advance(SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8);
    log_capture::begin();
    world.fleet.replace(1, "e1-after-its-crash");
    world.advance(3 * SECOND).await;
    let lost = log_capture::lines("run_lost");
    let lost_there = lost.iter().filter(|line| line["executor"] == "e1");
    assert_eq!(lost_there.count(), 4, "{lost:?}");
    world.assert_no_violations();
    let successor = world.fleet.find("e1-after-its-crash");
    let others = [successor, world.fleet.find("e2")];
    for executor in others.into_iter().flatten() {
        executor.task_duration.set(SECOND);
    }
    world.wait_until_succeeded("a", &[1], 20 * SECOND).await;
}
