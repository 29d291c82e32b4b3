//! Evacuations of data centres: no task starts there once the deadline has passed, whatever fails.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use dispatch::dump::OwnerDump;
use job::spec::JobSpec;
use job::warmup::WarmupLimits;

use crate::log_capture;
use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(5);

/// Returns a world with two executors in each of the data centres `x` and `y`.
fn world() -> World {
    let world = World::new(4);
    world.evacuation_deadline.set(Some(DEADLINE));
    for number in 1..=4 {
        let data_centre = if number <= 2 { "x" } else { "y" };
        *world.fleet.executor(number).data_centre.borrow_mut() = data_centre.into();
    }
    world
}

async fn started(hosts: &[&str]) -> World {
    let world = world();
    for host in hosts {
        world.start(host);
    }
    world.advance(SECOND).await;
    assert!(world.owner().is_some(), "no host owns the executors");
    world
}

fn other(owner: &str) -> &'static str {
    if owner == "a" { "b" } else { "a" }
}

/// Returns how often tasks have started in the data centre `x`.
fn starts_in_x(world: &World) -> u64 {
    world.fleet.executor(1).starts.get() + world.fleet.executor(2).starts.get()
}

fn set_hanging(world: &World, executors: &[usize], hangs: bool) {
    for number in executors {
        world.fleet.executor(*number).hangs_starts.set(hangs);
    }
}

fn owner_dump(world: &World) -> OwnerDump {
    let owner = world.owner().expect("an owner");
    let dump = dispatch::dump::dump(&world.host(&owner).node);
    dump.owner.expect("the state of the owner")
}

/// Submits a job of two steps with two tasks each in every 150 ms for this long. That is half of what
/// the executors of one data centre can do.
async fn submit_for(world: &World, host: &str, first: u64, duration: Duration) -> Vec<u64> {
    let end = tokio::time::Instant::now() + duration;
    let mut numbers = Vec::new();
    while tokio::time::Instant::now() < end {
        let number = first + numbers.len() as u64;
        if world.submit(host, number, job(2)).await == SubmitOutcome::Accepted {
            numbers.push(number);
        }
        world.advance(Duration::from_millis(150)).await;
    }
    numbers
}

/// Returns a job of one step.
fn one_step(count: u32, estimate_ms: u64) -> JobSpec {
    let mut spec = job(count);
    spec.steps.truncate(1);
    spec.steps[0].estimate_ms = estimate_ms;
    spec
}

/// Guards against starts in an evacuated data centre, and against one that stays unused after its evacuation.
#[tokio::test(start_paused = true)]
async fn starts_end_with_the_evacuation_and_begin_again_after_it() {
    let world = started(&["a", "b"]).await;
    let mut jobs = submit_for(&world, "a", 1, SECOND).await;
    assert!(starts_in_x(&world) > 0);
    world.evacuate("x");
    jobs.extend(submit_for(&world, "a", 100, SECOND).await);
    let at_once = starts_in_x(&world);
    jobs.extend(submit_for(&world, "a", 200, 8 * SECOND).await);
    assert_eq!(starts_in_x(&world), at_once, "starts after a second");
    world.wait_until_succeeded("b", &jobs, 5 * SECOND).await;
    world.end_evacuation("x");
    let jobs = submit_for(&world, "a", 400, 2 * SECOND).await;
    assert!(starts_in_x(&world) > at_once);
    world.wait_until_succeeded("b", &jobs, 5 * SECOND).await;
}

/// Guards against leases that are no longer extended and ends that are not acknowledged there: the tasks
/// would start again elsewhere.
#[tokio::test(start_paused = true)]
async fn what_runs_there_goes_on_and_ends() {
    let world = started(&["a", "b"]).await;
    for number in 1..=2 {
        world.fleet.executor(number).task_duration.set(14 * SECOND);
    }
    for number in 3..=4 {
        world.fleet.executor(number).listed.set(false);
    }
    world.advance(3 * SECOND).await;
    world.submit("a", 1, one_step(8, 14_000)).await;
    world.advance(SECOND / 2).await;
    assert_eq!(starts_in_x(&world), 8);
    world.evacuate("x");
    world.wait_until_succeeded("b", &[1], 16 * SECOND).await;
    world.advance(8 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 8);
    world.assert_no_violations();
}

/// Guards against commands that are carried out long after the deadline, because the runs were not stopped
/// first.
#[tokio::test(start_paused = true)]
async fn a_start_whose_answer_is_lost_while_the_evacuation_begins_takes_no_effect_later() {
    for (late, submitted_before) in [(7, 20), (7, 300), (7, 900), (11, 100), (11, 1_500)] {
        let world = started(&["a", "b"]).await;
        for number in 1..=2 {
            let executor = world.fleet.executor(number);
            executor.command_delay.set(Some(late * SECOND));
        }
        world.submit("a", 1, one_step(12, 600)).await;
        world.advance(Duration::from_millis(submitted_before)).await;
        world.evacuate("x");
        world.advance(SECOND / 10).await;
        for number in 1..=2 {
            world.fleet.executor(number).command_delay.set(None);
        }
        world.wait_until_succeeded("b", &[1], 20 * SECOND).await;
        world.advance(12 * SECOND).await;
        world.assert_no_violations();
        assert_eq!(starts_in_x(&world), 0, "{late} s, {submitted_before} ms");
    }
}

/// Guards against the late sending of starts that wait for a command slot, because two others hang, or that
/// are repeated.
#[tokio::test(start_paused = true)]
async fn starts_that_wait_or_are_repeated_are_withdrawn_and_run_elsewhere() {
    let world = started(&["a", "b"]).await;
    set_hanging(&world, &[1, 2], true);
    world.submit("a", 1, one_step(40, 600)).await;
    world.advance(SECOND / 4).await;
    world.evacuate("x");
    world.advance(SECOND / 4).await;
    set_hanging(&world, &[1, 2], false);
    world.wait_until_succeeded("b", &[1], 6 * SECOND).await;
    assert_eq!(starts_in_x(&world), 0);
    let dump = owner_dump(&world);
    let evacuations = dump.evacuations.expect("evacuations");
    let [evacuation] = &evacuations.data_centres[..] else {
        panic!("expected one evacuation, got {evacuations:?}");
    };
    assert_eq!(evacuation.data_centre, "x");
    assert!(evacuation.withdrawn_starts > 0, "{evacuation:?}");
    assert_eq!((evacuation.executors, evacuation.tasks), (2, 0));
    let metrics = {
        let owner = world.owner().expect("an owner");
        let node = world.host(&owner).node.clone();
        node.metrics.encode(&node).expect("metrics as text")
    };
    for line in [
        "fireflynotch_withdrawn_starts_total{data_centre=\"x\"}",
        "fireflynotch_evacuated_tasks{data_centre=\"x\"} 0",
        "fireflynotch_executors{outcome=\"evacuated\"} 2",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}

/// Guards against a successor that starts tasks before it has read the evacuations, and against an earlier
/// owner that goes on.
#[tokio::test(start_paused = true)]
async fn every_owner_obeys_around_a_takeover() {
    for (fail, name) in [
        (
            (|world: &World, owner: &str| world.kill(owner)) as fn(&World, &str),
            "killed",
        ),
        (|world, owner| world.host(owner).frozen.set(true), "frozen"),
        (
            |world, owner| world.host(owner).store_fault.set(StoreFault::Silent),
            "cut off",
        ),
    ] {
        // When the row is written, from the failure of the owner on.
        for written_ms in [-50, 100, 1_200, 2_500] {
            let world = started(&["a", "b", "c"]).await;
            let owner = world.owner().expect("an owner");
            let host = other(&owner);
            let mut jobs = submit_for(&world, host, 1, SECOND / 2).await;
            if written_ms < 0 {
                world.evacuate("x");
                let before = Duration::from_millis(i64::unsigned_abs(written_ms));
                jobs.extend(submit_for(&world, host, 100, before).await);
            }
            fail(&world, &owner);
            if let Ok(after) = u64::try_from(written_ms) {
                let after = Duration::from_millis(after);
                jobs.extend(submit_for(&world, host, 100, after).await);
                world.evacuate("x");
            }
            jobs.extend(submit_for(&world, host, 200, 7 * SECOND).await);
            if world.host_exists(&owner) {
                world.host(&owner).frozen.set(false);
                world.host(&owner).store_fault.set(StoreFault::None);
            }
            world.wait_until_succeeded(host, &jobs, 25 * SECOND).await;
            let started = starts_in_x(&world);
            world.end_evacuation("x");
            let jobs = submit_for(&world, host, 400, SECOND).await;
            world.wait_until_succeeded(host, &jobs, 5 * SECOND).await;
            assert!(starts_in_x(&world) > started, "{name}, {written_ms} ms");
        }
    }
}

/// Guards against starts by an owner that stores assignments and hears of jobs, but not of the evacuation.
#[tokio::test(start_paused = true)]
async fn an_owner_that_cannot_read_the_evacuations_starts_nothing_until_it_can() {
    for fault in [StoreFault::Silent, StoreFault::Refuses] {
        let world = started(&["a"]).await;
        log_capture::begin();
        let host = world.host("a");
        host.evacuation_fault.set(fault);
        world.evacuate("x");
        let mut jobs = submit_for(&world, "a", 1, 3 * SECOND).await;
        let before = world.fleet.starts.get();
        assert!(before > 0, "the last read permits starts for a while");
        world.advance(SECOND).await;
        jobs.extend(submit_for(&world, "a", 100, 8 * SECOND).await);
        assert_eq!(log_capture::lines("evacuations_known").len(), 1);
        world.assert_no_violations();
        host.evacuation_fault.set(StoreFault::None);
        world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
        let started = starts_in_x(&world);
        let jobs = submit_for(&world, "a", 200, SECOND).await;
        world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
        assert_eq!(starts_in_x(&world), started);
        assert_eq!(log_capture::lines("evacuations_known").len(), 2);
        assert_eq!(world.owner().as_deref(), Some("a"));
    }
}

/// Guards against starts that are sent right after the pause, before the store is asked: those whose
/// assignments were being stored when the pause began, and those that waited for slots of others that
/// hang.
#[tokio::test(start_paused = true)]
async fn an_owner_that_was_paused_while_the_evacuation_began_starts_nothing_there() {
    for hangs in [false, true] {
        for paused_ms in [4_400, 5_200, 8_000] {
            for shift_ms in (0..40).step_by(3) {
                let world = started(&["a"]).await;
                set_hanging(&world, &[1, 2, 3, 4], hangs);
                world.submit("a", 1, one_step(30, 600)).await;
                world.advance(Duration::from_millis(shift_ms)).await;
                let host = world.host("a");
                host.frozen.set(true);
                world.evacuate("x");
                world.advance(Duration::from_millis(paused_ms)).await;
                set_hanging(&world, &[1, 2, 3, 4], false);
                host.frozen.set(false);
                world.wait_until_succeeded("a", &[1], 20 * SECOND).await;
            }
        }
    }
}

/// Guards against an effect that outlasts an evacuation which began and ended while the owner could not
/// read it.
#[tokio::test(start_paused = true)]
async fn an_evacuation_that_begins_and_ends_during_a_partition_of_the_owner_is_over_after_it() {
    for whole_store in [false, true] {
        for (begins, lasts, heals) in [(0, 1, 2), (0, 6, 2), (2, 3, 3)] {
            let world = started(&["a", "b"]).await;
            let owner = world.owner().expect("an owner");
            let host = other(&owner);
            let cut_off = world.host(&owner);
            let fault = if whole_store {
                &cut_off.store_fault
            } else {
                &cut_off.evacuation_fault
            };
            fault.set(StoreFault::Silent);
            let mut jobs = submit_for(&world, host, 1, begins * SECOND).await;
            world.evacuate("x");
            jobs.extend(submit_for(&world, host, 100, lasts * SECOND).await);
            world.end_evacuation("x");
            jobs.extend(submit_for(&world, host, 200, heals * SECOND).await);
            fault.set(StoreFault::None);
            world.wait_until_succeeded(host, &jobs, 25 * SECOND).await;
            let started = starts_in_x(&world);
            let jobs = submit_for(&world, host, 400, SECOND).await;
            world.wait_until_succeeded(host, &jobs, 10 * SECOND).await;
            assert!(starts_in_x(&world) > started, "{begins} {lasts} {heals}");
        }
    }
}

/// Guards against an owner that takes a failed read for the end of an evacuation.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_evacuation_during_a_partition_has_no_effect_before_it_is_read() {
    let world = started(&["a"]).await;
    world.evacuate("x");
    world.advance(SECOND).await;
    let host = world.host("a");
    host.evacuation_fault.set(StoreFault::Silent);
    world.end_evacuation("x");
    let jobs = submit_for(&world, "a", 1, 8 * SECOND).await;
    assert_eq!(starts_in_x(&world), 0, "what was last read stays in force");
    host.evacuation_fault.set(StoreFault::None);
    world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
    let jobs = submit_for(&world, "a", 200, SECOND).await;
    world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
    assert!(starts_in_x(&world) > 0);
}

/// Guards against changes that are missed because they are in a part of the history that the store has
/// dropped: one row is written and another removed there.
#[tokio::test(start_paused = true)]
async fn all_rows_are_read_again_when_the_history_was_dropped() {
    let world = started(&["a"]).await;
    world.evacuate("y");
    world.advance(SECOND).await;
    let host = world.host("a");
    host.evacuation_fault.set(StoreFault::Refuses);
    world.advance(SECOND).await;
    world.evacuate("x");
    world.end_evacuation("y");
    world.store.drop_history();
    world.advance(SECOND / 4).await;
    host.evacuation_fault.set(StoreFault::None);
    world.advance(SECOND).await;
    let jobs = submit_for(&world, "a", 1, 2 * SECOND).await;
    world.wait_until_succeeded("a", &jobs, 5 * SECOND).await;
    assert_eq!(starts_in_x(&world), 0);
    assert!(world.fleet.starts.get() > 0);
    // A follower whose own version is dropped.
    world.end_evacuation("x");
    world.advance(SECOND).await;
    world.store.drop_history();
    world.evacuate("x");
    world.advance(SECOND).await;
    let started = starts_in_x(&world);
    let jobs = submit_for(&world, "a", 100, SECOND).await;
    world.wait_until_succeeded("a", &jobs, 5 * SECOND).await;
    assert_eq!(starts_in_x(&world), started);
}

/// Guards against a request that is ignored because nothing is left for a service, or whose effect no log
/// line and no dump shows.
#[tokio::test(start_paused = true)]
async fn an_evacuation_of_all_that_is_left_is_obeyed_and_told() {
    let world = started(&["a"]).await;
    log_capture::begin();
    world.evacuate("x");
    world.advance(SECOND).await;
    assert_eq!(log_capture::lines("evacuation_problem").len(), 0);
    world.evacuate("y");
    world.advance(SECOND).await;
    world.submit("a", 1, job(4)).await;
    world.advance(12 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), 0);
    assert_eq!(log_capture::lines("evacuation_began").len(), 2);
    assert_eq!(log_capture::lines("evacuation_problem").len(), 1);
    let dump = owner_dump(&world);
    let evacuations = dump.evacuations.expect("evacuations");
    let problems = evacuations.problems.iter();
    let problems: Vec<(&str, &str)> = problems
        .map(|problem| (problem.problem, &*problem.subject))
        .collect();
    assert_eq!(problems, [("no_executor_left", "service")]);
    assert!(dump.unavailable_executors.iter().all(|one| one.evacuated));
    let reason = &dump.jobs[0].blocked_steps[0].reason;
    assert!(
        reason.contains("4 are in evacuated data centres"),
        "{reason}"
    );
    world.end_evacuation("y");
    world.wait_until_succeeded("a", &[1], 5 * SECOND).await;
    assert_eq!(log_capture::lines("evacuation_ended").len(), 1);
    assert_eq!(starts_in_x(&world), 0);
}

/// Guards against a misspelled name that nobody is told about, or that stops other starts.
#[tokio::test(start_paused = true)]
async fn an_evacuation_of_an_unknown_data_centre_is_told_and_harmless() {
    let world = started(&["a"]).await;
    log_capture::begin();
    world.evacuate("nowhere");
    let jobs = submit_for(&world, "a", 1, 2 * SECOND).await;
    world.wait_until_succeeded("a", &jobs, 5 * SECOND).await;
    assert_eq!(log_capture::lines("evacuation_problem").len(), 1);
    let evacuations = owner_dump(&world).evacuations.expect("evacuations");
    assert_eq!(evacuations.problems[0].problem, "unknown_data_centre");
    assert_eq!(evacuations.problems[0].subject, "nowhere");
    assert!(starts_in_x(&world) > 0);
}

/// Guards against a deployment without evacuations that obeys rows which belong to something else.
#[tokio::test(start_paused = true)]
async fn a_deployment_without_evacuations_reads_and_obeys_none() {
    let world = world();
    world.evacuation_deadline.set(None);
    world.start("a");
    world.advance(SECOND).await;
    world.evacuate("x");
    let jobs = submit_for(&world, "a", 1, SECOND).await;
    world.wait_until_succeeded("a", &jobs, 5 * SECOND).await;
    assert!(starts_in_x(&world) > 0);
    assert!(owner_dump(&world).evacuations.is_none());
}

/// Guards against all waiting work being sent at once to executors that return cold.
#[tokio::test(start_paused = true)]
async fn executors_that_are_cold_after_an_evacuation_get_work_only_for_lack_of_warm_ones() {
    let world = world();
    world.warmup.set(Some(WarmupLimits {
        overage_thousandths: 1_500,
        slack: 5,
    }));
    world.start("a");
    world.advance(SECOND).await;
    world.evacuate("x");
    world.advance(SECOND).await;
    log_capture::begin();
    let cold_until = tokio::time::Instant::now() + 6 * SECOND;
    for number in 1..=2 {
        world.fleet.executor(number).cold_until.set(cold_until);
    }
    world.advance(3 * SECOND).await;
    assert_eq!(log_capture::lines("executor_cold").len(), 2);
    assert_eq!(owner_dump(&world).cold_executors.len(), 2);
    world.end_evacuation("x");
    let mut jobs = submit_for(&world, "a", 1, SECOND).await;
    assert_eq!(starts_in_x(&world), 0, "warm executors have room");
    // The warm executors fill up.
    let starts_of = |number: usize| world.fleet.executor(number).starts.get();
    let warm_before = starts_of(3) + starts_of(4);
    world.submit("a", 50, one_step(80, 600)).await;
    jobs.push(50);
    world.advance(SECOND / 2).await;
    let warm = starts_of(3) + starts_of(4) - warm_before;
    let limit = 1.5 * warm as f64 / 2.0 + 5.0;
    for number in 1..=2 {
        let cold = starts_of(number);
        assert!(cold > 0, "executor {number} is not used");
        assert!(cold as f64 <= limit, "{cold} of {limit}");
    }
    world.advance(2 * SECOND).await;
    let before = starts_in_x(&world);
    jobs.extend(submit_for(&world, "a", 100, 2 * SECOND).await);
    assert!(starts_in_x(&world) > before, "they are warm now");
    world.wait_until_succeeded("a", &jobs, 10 * SECOND).await;
    assert!(owner_dump(&world).cold_executors.is_empty());
}
