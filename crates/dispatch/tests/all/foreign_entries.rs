//! Entries in the list of executors that no executor has written.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Size;

use crate::world::World;

const EXECUTORS: usize = 8;
const HOSTS: [&str; 3] = ["a", "b", "c"];
/// The executor that is cut off.
const CUT: usize = 1;
/// The name of the foreign entry.
const FOREIGN: &str = "x-copy";
/// Interval between two changes, in milliseconds.
const STEP_MS: u64 = 50;
/// How long the executor is cut off, in milliseconds.
const CUT_MS: u64 = 5_500;
/// When its entry expires, in milliseconds after the cut.
const EXPIRED_MS: u64 = 3_300;
/// How long killed hosts are away, in milliseconds.
const AWAY_MS: u64 = 500;
/// How long an owner is frozen, in milliseconds.
const FROZEN_MS: u64 = 4_000;
/// Longer than any lease, and than the time after which the tasks of a silent executor start again, in
/// milliseconds.
const OBSERVED_MS: u64 = 14_000;

/// When the foreign entry is in the list.
#[derive(Clone, Copy, Debug)]
enum Presence {
    /// From before the tasks start.
    Always,
    /// From this time after the cut on, in milliseconds.
    From(u64),
    /// Until this time after the cut, in milliseconds.
    Until(u64),
    /// From the first to the second time after the cut, in milliseconds.
    Between(u64, u64),
}

impl Presence {
    fn contains(self, after_ms: u64) -> bool {
        match self {
            Self::Always => true,
            Self::From(from) => after_ms >= from,
            Self::Until(until) => after_ms < until,
            Self::Between(from, until) => (from..until).contains(&after_ms),
        }
    }
}

/// How the owner is lost while the executor is cut off.
#[derive(Clone, Copy, Debug)]
enum OwnerLoss {
    Never,
    /// Its process is killed this long after the cut, in milliseconds, and does not return.
    Killed(u64),
    /// All hosts are killed this long after the cut, in milliseconds, and start again.
    AllRestarted(u64),
    /// Its process stands still for a while from this long after the cut on, in milliseconds.
    Frozen(u64),
}

fn tasks(step: StepSpec) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        steps: vec![StepSpec {
            count: 24,
            size: Size::new(4_000, 1_000, 0),
            estimate_ms: 60_000,
            ..step
        }],
        repeat: None,
    }
}

/// Returns a system with tasks of this kind on all executors.
async fn world_with(step: StepSpec, entry: Presence) -> World {
    let world = World::with_owner(EXECUTORS, &HOSTS).await;
    let owner = world.owner().expect("an owner");
    let submitted = world.submit(&owner, 1, tasks(step)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    list_foreign_entry(
        &world,
        matches!(entry, Presence::Always | Presence::Until(_)),
    );
    world.advance(Duration::from_secs(3)).await;
    assert!(!world.fleet.executor(CUT).tasks().is_empty());
    world
}

fn list_foreign_entry(world: &World, is_listed: bool) {
    world.fleet.foreign.borrow_mut().clear();
    if is_listed {
        world.fleet.add_foreign_entry(CUT, FOREIGN);
    }
}

/// Lets an owner fail, as far as it is time for that.
fn apply(loss: OwnerLoss, world: &World, after_ms: u64) {
    let owner = world.owner();
    match loss {
        OwnerLoss::Killed(at) if at == after_ms => world.kill(&owner.expect("an owner")),
        OwnerLoss::AllRestarted(at) if at == after_ms => {
            for host in HOSTS {
                world.kill(host);
            }
        }
        OwnerLoss::AllRestarted(at) if at + AWAY_MS == after_ms => {
            for host in HOSTS {
                world.start(host);
            }
        }
        OwnerLoss::Frozen(at) if at == after_ms => {
            world.host(&owner.expect("an owner")).frozen.set(true);
        }
        OwnerLoss::Frozen(at) if at + FROZEN_MS == after_ms => {
            for host in HOSTS {
                world.host(host).frozen.set(false);
            }
        }
        _ => {}
    }
}

/// Cuts an executor off while the list holds a foreign entry with its address, and panics if a task runs
/// twice at a time or has no run in the end.
async fn play(step: StepSpec, entry: Presence, loss: OwnerLoss) {
    let case = format!("long-running: {}, {entry:?}, {loss:?}", step.long_running);
    let world = world_with(step, entry).await;
    let executor = world.fleet.executor(CUT);
    let cut = executor.tasks();
    executor.reachable.set(false);
    for step in 0..OBSERVED_MS / STEP_MS {
        let after_ms = step * STEP_MS;
        executor.reachable.set(after_ms >= CUT_MS);
        // An executor that does not reach the store is not listed after three intervals.
        executor
            .listed
            .set(!(EXPIRED_MS..CUT_MS).contains(&after_ms));
        list_foreign_entry(&world, entry.contains(after_ms));
        apply(loss, &world, after_ms);
        world.advance(Duration::from_millis(STEP_MS)).await;
    }
    let violations = world.fleet.violations.borrow();
    assert!(violations.is_empty(), "{case}: {violations:?}");
    for task in cut {
        let runs = (1..=EXECUTORS).any(|number| world.fleet.executor(number).runs(task));
        assert!(runs, "{case}: {task:?} has no run");
    }
}

/// TWICE (issue 68): the owner took the entry for a process that had followed the executor, and started its
/// tasks elsewhere before its lease had ended.
#[tokio::test(start_paused = true)]
async fn no_task_runs_twice_while_a_foreign_entry_repeats_the_address_of_an_executor_out_of_reach()
{
    let entries = [
        Presence::Always,
        Presence::From(700),
        Presence::Until(1_500),
        Presence::Between(500, 2_500),
    ];
    for entry in entries {
        for long_running in [false, true] {
            let step = StepSpec {
                long_running,
                ..StepSpec::default()
            };
            play(step, entry, OwnerLoss::Never).await;
        }
    }
}

/// The same, for a successor, which reads the same list.
#[tokio::test(start_paused = true)]
async fn no_successor_takes_a_foreign_entry_for_a_process_that_followed_an_executor() {
    for entry in [Presence::Always, Presence::From(700)] {
        for at in [300, 1_500, 3_000] {
            let losses = [
                OwnerLoss::Killed(at),
                OwnerLoss::AllRestarted(at),
                OwnerLoss::Frozen(at),
            ];
            for loss in losses {
                play(StepSpec::default(), entry, loss).await;
            }
        }
    }
}

/// A process that follows a crashed executor shows that by its answer, whatever else is listed at the address.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_crashed_executor_start_again_at_once_beside_a_foreign_entry() {
    let world = world_with(StepSpec::default(), Presence::Always).await;
    let lost = world.fleet.executor(CUT).tasks();
    world.fleet.foreign.borrow_mut()[0].started_unix_ms = 9;
    world.fleet.replace(CUT, "e1-after-its-crash");
    world.advance(Duration::from_secs(3)).await;
    for task in lost {
        let started = world.fleet.last_start(task).expect("a start");
        assert!(started.elapsed() < Duration::from_secs(3), "{task:?}");
    }
    world.assert_no_violations();
}

/// An entry at the address of an executor out of reach gets no task before a process there has answered.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_foreign_entry_while_the_executor_at_its_address_is_out_of_reach() {
    let world = world_with(StepSpec::default(), Presence::From(1_500)).await;
    let executor = world.fleet.executor(CUT);
    executor.reachable.set(false);
    world.advance(Duration::from_millis(1_500)).await;
    world.fleet.callers.recorded.set(true);
    list_foreign_entry(&world, true);
    // The entry is read before the next job comes.
    world.advance(Duration::from_millis(1_200)).await;
    let owner = world.owner().expect("an owner");
    let step = StepSpec::default();
    let submitted = world.submit(&owner, 2, tasks(step)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    world.advance(Duration::from_secs(2)).await;
    let starts = world.fleet.callers.starts.borrow();
    assert!(starts.len() >= 24, "{starts:?}");
    let is_foreign = starts.iter().any(|start| &*start.target.id == FOREIGN);
    assert!(!is_foreign, "{starts:?}");
}
