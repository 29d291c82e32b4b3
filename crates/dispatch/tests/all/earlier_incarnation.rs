//! Calls that were meant for an incarnation of an executor that has ended. The next one has a lower clock, so that
//! their deadlines would give it the longest lease that it accepts, which a later owner does not know of.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Size;

use crate::relay::Carriage;
use crate::world::World;

const EXECUTORS: usize = 6;
const HOSTS: [&str; 3] = ["a", "b", "c"];
/// The executors that crash.
const CRASHED: [usize; 3] = [1, 2, 3];
/// How long the executors are away. Calls that are sent meanwhile reach the next incarnations.
const AWAY: Duration = Duration::from_millis(600);
/// Longer than a play, so that no run ends by itself.
const TASK_DURATION: Duration = Duration::from_secs(60);
/// Longer than any lease and than the time after which the tasks of a silent executor start again.
const OBSERVED: Duration = Duration::from_secs(12);

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

/// How an owner is lost.
#[derive(Clone, Copy, Debug)]
enum OwnerLoss {
    /// Its process is killed and starts again on the same host.
    Restarted,
    /// Its host is gone for good.
    Gone,
    /// All hosts are killed and start again.
    AllRestarted,
    /// Its process stands still and goes on later.
    Frozen,
}

/// A system in which executors crash while tasks are sent to them.
struct Crash {
    world: World,
}

impl Crash {
    async fn new(step: StepSpec) -> Self {
        let world = World::new(EXECUTORS);
        for number in 1..=EXECUTORS {
            let executor = world.fleet.executor(number);
            executor.task_duration.set(TASK_DURATION);
        }
        // The clocks of the executors are further ahead than the longest lease.
        world.advance(Duration::from_secs(20)).await;
        for host in HOSTS {
            world.start(host);
        }
        world.advance(Duration::from_secs(1)).await;
        let crash = Self { world };
        for number in CRASHED {
            crash.hold_calls(number, true);
        }
        let owner = crash.world.owner().expect("an owner");
        let submitted = crash.world.submit(&owner, 1, tasks(step)).await;
        assert_eq!(submitted, SubmitOutcome::Accepted);
        crash.world.advance(Duration::from_millis(100)).await;
        crash
    }

    fn hold_calls(&self, number: usize, is_held: bool) {
        let carriage = is_held.then_some(Carriage::After(AWAY));
        self.world.fleet.relay.set(&format!("e{number}"), carriage);
    }

    /// Lets the executors start anew under their names; `repeated` times in all.
    async fn restart_executors(&self, repeated: usize) {
        for _ in 0..repeated {
            for number in CRASHED {
                self.world.fleet.restart(number);
                let executor = self.world.fleet.executor(number);
                executor.task_duration.set(TASK_DURATION);
            }
            self.world.advance(AWAY / 2).await;
        }
        for number in CRASHED {
            self.hold_calls(number, false);
        }
    }

    async fn lose_owner(&self, loss: OwnerLoss) {
        let owner = self.world.owner().expect("an owner");
        match loss {
            OwnerLoss::Gone => self.world.kill(&owner),
            OwnerLoss::Restarted => {
                self.world.kill(&owner);
                self.world.advance(Duration::from_millis(500)).await;
                self.world.start(&owner);
            }
            OwnerLoss::AllRestarted => {
                for host in HOSTS {
                    self.world.kill(host);
                }
                self.world.advance(Duration::from_millis(500)).await;
                for host in HOSTS {
                    self.world.start(host);
                }
            }
            OwnerLoss::Frozen => {
                let host = self.world.host(&owner);
                host.frozen.set(true);
                self.world.advance(Duration::from_secs(4)).await;
                host.frozen.set(false);
            }
        }
    }

    /// Cuts the executors that have crashed off from all hosts. They run on.
    fn cut_off(&self) {
        for number in CRASHED {
            self.world.fleet.executor(number).reachable.set(false);
        }
    }
}

/// Crashes executors, loses the owner `until_loss` after they are back, and cuts them off `until_cut` after that.
async fn play(step: StepSpec, repeated: usize, loss: OwnerLoss, until_loss: u64, until_cut: u64) {
    let crash = Crash::new(step).await;
    crash.restart_executors(repeated).await;
    crash.world.advance(Duration::from_millis(until_loss)).await;
    crash.lose_owner(loss).await;
    crash.world.advance(Duration::from_millis(until_cut)).await;
    crash.cut_off();
    crash.world.advance(OBSERVED).await;
    let violations = crash.world.fleet.violations.borrow();
    let case =
        format!("{repeated} restarts, {loss:?} after {until_loss} ms, cut after {until_cut}");
    assert!(violations.is_empty(), "{case}: {violations:?}");
}

#[tokio::test(start_paused = true)]
async fn no_task_runs_twice_after_an_executor_took_a_call_meant_for_its_earlier_incarnation() {
    let times = [(0, 700), (400, 0), (400, 70), (1_400, 70)];
    for repeated in [1, 2] {
        for (until_loss, until_cut) in times {
            for loss in [OwnerLoss::Restarted, OwnerLoss::AllRestarted] {
                let step = StepSpec::default();
                play(step, repeated, loss, until_loss, until_cut).await;
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn no_task_runs_twice_after_a_restart_of_its_executor_and_the_loss_of_the_owner() {
    let service = StepSpec {
        long_running: true,
        ..StepSpec::default()
    };
    let gang = StepSpec {
        gang: true,
        ..StepSpec::default()
    };
    for step in [service, gang] {
        for loss in [OwnerLoss::Restarted, OwnerLoss::Gone, OwnerLoss::Frozen] {
            for until_loss in [0, 1_400] {
                play(step.clone(), 1, loss, until_loss, 70).await;
            }
        }
    }
}

/// An incarnation that seems to have started before the known one cannot be called. Its executor must be polled
/// no faster than one that does not answer, and its tasks must run elsewhere.
#[tokio::test(start_paused = true)]
async fn an_executor_whose_system_clock_was_set_back_is_not_polled_without_a_pause() {
    let world = World::new(EXECUTORS);
    for number in 1..=EXECUTORS {
        world.fleet.restart(number);
        let executor = world.fleet.executor(number);
        executor.task_duration.set(TASK_DURATION);
    }
    world.start("a");
    world.advance(Duration::from_secs(1)).await;
    let submitted = world.submit("a", 1, tasks(StepSpec::default())).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    world.advance(Duration::from_secs(2)).await;
    let lost = world.fleet.executor(1).tasks();
    assert!(!lost.is_empty(), "nothing runs there");

    world.fleet.restart_set_back(1);
    let calls_before = world.fleet.calls.get();
    world.advance(Duration::from_secs(9)).await;
    let calls = world.fleet.calls.get() - calls_before;
    assert!(calls < 300, "{calls} calls in 9 s");
    for task in lost {
        let runs = (2..=EXECUTORS).any(|number| world.fleet.executor(number).runs(task));
        assert!(runs, "{task:?} has no run");
    }
    world.assert_no_violations();
}
