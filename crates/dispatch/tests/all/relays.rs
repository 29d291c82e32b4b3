//! An owner whose calls to executors are carried by other hosts, which fail.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use dispatch::node::HostCapacity;
use job::spec::JobSpec;

use crate::log_capture;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
/// A capacity with which an owner needs relays for a few executors.
const WEAK: HostCapacity = HostCapacity {
    cores: 0.000_2,
    link_mbps: 1_000.0,
};
const TWO: &[&str] = &["a", "b"];
const THREE: &[&str] = &["a", "b", "c"];
const EXECUTORS: usize = 4;
/// Number of tasks of each step of a job.
const TASKS: u32 = 4;
/// Time limit for the takeover and the first relay.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Time limit for jobs of two steps after a failure.
const LIMIT: Duration = Duration::from_secs(12);

/// Returns the hosts that relay the calls of the owner.
fn relays(world: &World, hosts: &[&'static str]) -> Vec<&'static str> {
    let Some(owner) = world.owner() else {
        return Vec::new();
    };
    let epoch = world.host(&owner).node.owner().map(|owner| owner.epoch);
    let live = hosts.iter().filter(|host| world.host_exists(host));
    live.filter(|host| Some(world.host(host).node.relay_session.epoch()) == epoch)
        .copied()
        .collect()
}

/// Waits until all other hosts relay the calls of the owner.
async fn wait_for_relays(world: &World, hosts: &[&'static str]) {
    let end = tokio::time::Instant::now() + START_LIMIT;
    while relays(world, hosts).len() + 1 < hosts.len() {
        assert!(tokio::time::Instant::now() < end, "no relays");
        world.advance(SECOND / 10).await;
    }
    world.advance(SECOND).await;
}

/// Returns a world of weak hosts whose owner uses all others as relays, and the owner.
async fn started(executors: usize, hosts: &[&'static str]) -> (World, String) {
    log_capture::begin();
    let world = World::new(executors);
    for host in hosts {
        world.start_with(host, Duration::ZERO, WEAK);
    }
    wait_for_relays(&world, hosts).await;
    let owner = world.owner().expect("an owner");
    (world, owner)
}

fn others(hosts: &[&'static str], owner: &str) -> Vec<&'static str> {
    let hosts = hosts.iter().copied();
    hosts.filter(|host| *host != owner).collect()
}

async fn submit(world: &World, host: &str, numbers: &[u64]) {
    for number in numbers {
        let submitted = world.submit(host, *number, job(TASKS)).await;
        assert_eq!(submitted, SubmitOutcome::Accepted);
    }
}

/// Returns a job whose tasks are expected to take this long.
fn long_job(count: u32, estimate: Duration) -> JobSpec {
    let mut spec = job(count);
    for step in &mut spec.steps {
        step.estimate_ms = u32::try_from(estimate.as_millis())
            .expect("a short time")
            .into();
    }
    spec
}

#[tokio::test(start_paused = true)]
async fn relays_carry_all_calls_of_a_weak_owner() {
    for hosts in [TWO, THREE] {
        let (world, owner) = started(EXECUTORS, hosts).await;
        assert_eq!(relays(&world, hosts), others(hosts, &owner));
        let calls = world.fleet.callers.calls_of(&owner);
        submit(&world, &owner, &[1, 2, 3]).await;
        world
            .wait_until_succeeded(&owner, &[1, 2, 3], 8 * SECOND)
            .await;
        assert_eq!(world.fleet.starts.get(), 24);
        assert_eq!(world.fleet.callers.calls_of(&owner), calls, "direct calls");
        for relay in others(hosts, &owner) {
            assert!(world.fleet.callers.calls_of(relay) > 0, "{relay}");
        }
    }
}

/// How a relay fails: it is killed, or frozen for this long.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    Frozen(Duration),
}

const FAILURES: [Failure; 4] = [
    Failure::Killed,
    Failure::Frozen(Duration::from_millis(300)),
    Failure::Frozen(Duration::from_secs(1)),
    Failure::Frozen(Duration::from_secs(3)),
];

async fn fail_relay(world: &World, relay: &str, failure: Failure) {
    match failure {
        Failure::Killed => world.kill(relay),
        Failure::Frozen(time) => {
            world.host(relay).frozen.set(true);
            world.advance(time).await;
            world.host(relay).frozen.set(false);
        }
    }
}

/// Lets a relay fail some time after jobs came. Returns what went wrong.
async fn lose_relay(hosts: &[&'static str], failure: Failure, after_ms: u64) -> Vec<String> {
    let (world, owner) = started(EXECUTORS, hosts).await;
    let relay = others(hosts, &owner)[0];
    submit(&world, &owner, &[1, 2, 3]).await;
    world.advance(Duration::from_millis(after_ms)).await;
    fail_relay(&world, relay, failure).await;
    world.wait_until_succeeded(&owner, &[1, 2, 3], LIMIT).await;
    let mut wrong = Vec::new();
    let starts = world.fleet.starts.get();
    if starts != 24 {
        wrong.push(format!("{starts} starts of 24 tasks"));
    }
    for event in ["run_lost", "executor_rests", "executor"] {
        let lines = log_capture::lines(event);
        if !lines.is_empty() {
            wrong.push(format!("{} lines of {event}: {:?}", lines.len(), lines[0]));
        }
    }
    // Calls go on by way of what is left, and directly if nothing is.
    submit(&world, &owner, &[4]).await;
    world.wait_until_succeeded(&owner, &[4], LIMIT).await;
    assert_eq!(world.owner(), Some(owner), "the owner stays");
    wrong
}

async fn assert_relay_may_fail(hosts: &[&'static str]) {
    let mut all = Vec::new();
    for failure in FAILURES {
        for after_ms in [1, 4, 7, 20, 400, 598, 604, 700] {
            let wrong = lose_relay(hosts, failure, after_ms).await;
            if !wrong.is_empty() {
                all.push(format!("{failure:?} after {after_ms} ms: {wrong:?}"));
            }
        }
    }
    assert!(all.is_empty(), "{} cases: {all:#?}", all.len());
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_one_of_two_relays_loses_no_run_and_starts_no_task_again() {
    assert_relay_may_fail(THREE).await;
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_the_only_relay_loses_no_run_and_starts_no_task_again() {
    assert_relay_may_fail(TWO).await;
}

/// The starts lie in the connection to a relay that is frozen, and the owner sends them another way.
#[tokio::test(start_paused = true)]
async fn starts_in_a_frozen_relay_are_not_carried_out_after_their_executors_restarted() {
    for hosts in [TWO, THREE] {
        for before_restart in [2 * SECOND, 4 * SECOND] {
            let (world, owner) = started(EXECUTORS, hosts).await;
            let frozen = others(hosts, &owner);
            for relay in &frozen {
                world.host(relay).frozen.set(true);
            }
            submit(&world, &owner, &[1]).await;
            world.advance(before_restart).await;
            world.wait_until_succeeded(&owner, &[1], LIMIT).await;
            world.advance(2 * SECOND).await;
            let starts = world.fleet.starts.get();
            for number in 1..=EXECUTORS {
                world.fleet.restart(number);
            }
            for relay in &frozen {
                world.host(relay).frozen.set(false);
            }
            world.advance(5 * SECOND).await;
            assert_eq!(world.fleet.starts.get(), starts);
            world.assert_no_violations();
        }
    }
}

/// The owner is frozen while runs go on. `succeeded` says whether another host may take over.
async fn freeze_owner(succeeded: bool, after_ms: u64) {
    let (world, owner) = started(EXECUTORS, THREE).await;
    let rest = others(THREE, &owner);
    submit(&world, &owner, &[1, 2]).await;
    world.advance(Duration::from_millis(after_ms)).await;
    if !succeeded {
        for host in &rest {
            world.host(host).store_fault.set(StoreFault::Refuses);
        }
    }
    world.host(&owner).frozen.set(true);
    world.advance(3 * SECOND).await;
    world.fleet.callers.recorded.set(true);
    world.host(&owner).frozen.set(false);
    world.advance(SECOND / 5).await;
    for host in &rest {
        world.host(host).store_fault.set(StoreFault::None);
    }
    if succeeded {
        world.advance(3 * SECOND).await;
    }
    let host = world.owner().expect("an owner");
    assert_eq!(host == owner, !succeeded, "the owner is {host}");
    let epoch = world.host(&host).node.owner().expect("the owner").epoch;
    let starts = world.fleet.callers.starts.borrow().clone();
    let superseded = starts.iter().find(|start| start.target.epoch < epoch);
    assert_eq!(superseded, None, "starts of a superseded owner");
    world.wait_until_succeeded(&host, &[1, 2], 2 * LIMIT).await;
    submit(&world, &host, &[3]).await;
    world.wait_until_succeeded(&host, &[3], LIMIT).await;
    assert_eq!(
        world.fleet.starts.get(),
        24,
        "succeeded {succeeded}, {after_ms} ms"
    );
    wait_for_relays(&world, THREE).await;
    let calls = world.fleet.callers.calls_of(&host);
    submit(&world, &host, &[4]).await;
    world.wait_until_succeeded(&host, &[4], LIMIT).await;
    assert_eq!(
        world.fleet.callers.calls_of(&host),
        calls,
        "calls go by way of relays again"
    );
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_was_frozen_goes_on_by_way_of_relays() {
    for after_ms in [1, 5, 20, 400, 604] {
        freeze_owner(false, after_ms).await;
    }
}

#[tokio::test(start_paused = true)]
async fn the_successor_of_a_frozen_owner_goes_on_by_way_of_relays() {
    for after_ms in [1, 5, 20, 400, 604] {
        freeze_owner(true, after_ms).await;
    }
}

/// Relays that fail say nothing about an executor, whose leases must lapse nevertheless.
#[tokio::test(start_paused = true)]
async fn the_tasks_of_a_dead_executor_start_elsewhere_while_relays_fail_again_and_again() {
    for hosts in [TWO, THREE] {
        for (down_ms, up_ms) in [(600, 100), (600, 1_500), (450, 2_500)] {
            let (world, owner) = started(2, hosts).await;
            for number in [1, 2] {
                let executor = world.fleet.executor(number);
                executor.task_duration.set(60 * SECOND);
            }
            let spec = long_job(6, 60 * SECOND);
            assert_eq!(world.submit(&owner, 1, spec).await, SubmitOutcome::Accepted);
            world.advance(SECOND).await;
            let dead = world.fleet.executor(1);
            assert!(dead.starts.get() > 0, "it has tasks");
            assert_eq!(world.fleet.starts.get(), 6);
            dead.reachable.set(false);
            let died = tokio::time::Instant::now();
            let relays = others(hosts, &owner);
            let mut phases = relays
                .iter()
                .cycle()
                .flat_map(|relay| [(*relay, true, down_ms), (*relay, false, up_ms)]);
            while let Some(left) = (8 * SECOND).checked_sub(died.elapsed())
                && !left.is_zero()
            {
                let (relay, is_frozen, time_ms) = phases.next().expect("an endless cycle");
                world.host(relay).frozen.set(is_frozen);
                world
                    .advance(left.min(Duration::from_millis(time_ms)))
                    .await;
            }
            assert_eq!(
                world.fleet.executor(2).starts.get(),
                6,
                "{} hosts, relays down for {down_ms} and up for {up_ms} ms, after {:?}",
                hosts.len(),
                died.elapsed()
            );
            world.assert_no_violations();
        }
    }
}

/// Cuts the paths of relays to an executor while runs start, go on and end. Returns what went wrong.
async fn cut_paths(all_relays: bool, after_ms: u64, cut: Duration) -> Vec<String> {
    let (world, owner) = started(EXECUTORS, THREE).await;
    let mut relays = others(THREE, &owner);
    if !all_relays {
        relays.truncate(1);
    }
    for number in 1..=EXECUTORS {
        let executor = world.fleet.executor(number);
        executor.task_duration.set(4 * SECOND);
    }
    for number in 1..=3 {
        let spec = long_job(TASKS, 4 * SECOND);
        world.submit(&owner, number, spec).await;
    }
    world.advance(Duration::from_millis(after_ms)).await;
    let set_cut = |is_cut| {
        for relay in &relays {
            for number in 1..=EXECUTORS {
                let executor = format!("e{number}");
                world.fleet.callers.cut(relay, &executor, is_cut);
            }
        }
    };
    set_cut(true);
    world.advance(cut).await;
    set_cut(false);
    world
        .wait_until_succeeded(&owner, &[1, 2, 3], 20 * SECOND)
        .await;
    let mut wrong = Vec::new();
    let starts = world.fleet.starts.get();
    if starts != 24 {
        wrong.push(format!("{starts} starts of 24 tasks"));
    }
    for line in log_capture::lines("run_lost") {
        wrong.push(format!("{line:?}"));
    }
    wrong
}

#[tokio::test(start_paused = true)]
async fn a_cut_between_relays_and_executors_that_live_loses_no_run() {
    let mut all = Vec::new();
    for (all_relays, after_ms, cut) in [
        (false, 4, 10 * SECOND),
        (true, 4, 3 * SECOND),
        (false, 1_500, 10 * SECOND),
        (true, 1_500, 3 * SECOND),
        (false, 3_900, SECOND),
        (true, 3_900, 3 * SECOND),
    ] {
        let wrong = cut_paths(all_relays, after_ms, cut).await;
        if !wrong.is_empty() {
            all.push(format!(
                "all relays {all_relays}, cut for {cut:?} after {after_ms} ms: {wrong:?}"
            ));
        }
    }
    assert!(all.is_empty(), "{} cases: {all:#?}", all.len());
}
