//! A task that crashes each executor that starts it, beside owners that are lost.

use std::rc::Rc;
use std::time::Duration;

use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use job::scheduler::JobState;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Size;
use tokio::time::Instant;

use crate::executor::FakeExecutor;
use crate::world::World;

const EXECUTORS: usize = 8;
const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
/// From a crash until the next process is listed.
const AWAY: Duration = Duration::from_secs(3);
/// From a crash until the owner is lost, which has stored that the executor is silent. The executors of
/// the tests still answer a poll in progress, so that it takes the owner up to 1.8 s to notice.
const OWNER_LOST_AFTER: Duration = Duration::from_secs(2);
/// How often such a task may start: twice after three executors have crashed under it.
const MAX_STARTS: u64 = 5;
const STEP: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(30);

fn task(long_running: bool) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        steps: vec![StepSpec {
            count: 1,
            size: Size::new(4_000, 1_000, 0),
            estimate_ms: 60_000,
            long_running,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

/// Returns the number of the executor on which a run has started that did not crash it yet.
fn started_on(world: &World) -> Option<usize> {
    let is_there =
        |executor: &Rc<FakeExecutor>| executor.reachable.get() && !executor.tasks().is_empty();
    (1..=EXECUTORS).find(|number| {
        let executor = world.fleet.find(&format!("e{number}"));
        executor.is_some_and(|executor| is_there(&executor))
    })
}

async fn has_failed(world: &World) -> bool {
    let Some(host) = world.owner() else {
        return false;
    };
    world.state(&host, 1).await == JobLookup::State(JobState::Failed)
}

/// Waits for the next start. Returns its executor, or `None` if the job has failed.
async fn next_start(world: &World) -> Option<usize> {
    let begin = Instant::now();
    while begin.elapsed() < LIMIT {
        if let Some(number) = started_on(world) {
            return Some(number);
        }
        if has_failed(world).await {
            return None;
        }
        world.advance(STEP).await;
    }
    panic!("neither a start nor a failed job within {LIMIT:?}");
}

/// BUDGET: each successor inherited the run on an executor that had crashed, and did not count the crash,
/// so that the task was started again and again.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_executors_is_given_up_although_each_crash_is_known_to_a_later_owner() {
    for (renamed, long_running) in [(true, false), (false, true)] {
        let case = format!("renamed: {renamed}, long-running: {long_running}");
        let world = World::with_owner(EXECUTORS, &HOSTS).await;
        let host = world.owner().expect("an owner");
        let submitted = world.submit(&host, 1, task(long_running)).await;
        assert_eq!(submitted, SubmitOutcome::Accepted);
        while let Some(number) = next_start(&world).await {
            let starts = world.fleet.starts.get();
            assert!(starts <= MAX_STARTS, "{case}: started {starts} times");
            world.advance(STEP).await;
            world.fleet.executor(number).reachable.set(false);
            world.advance(OWNER_LOST_AFTER).await;
            let owner = world.owner().expect("an owner");
            world.kill(&owner);
            world.advance(AWAY - OWNER_LOST_AFTER).await;
            if renamed {
                let id = format!("e{number}-later");
                world.fleet.replace(number, &id);
                let later = world.fleet.find(&id).expect("listed");
                // It shows the crash, and gets no further start.
                later.draining.set(true);
            } else {
                world.fleet.restart(number);
                let later = world.fleet.executor(number);
                later.task_duration.set(Duration::from_secs(60));
            }
            world.start(&owner);
        }
        world.assert_no_violations();
    }
}
