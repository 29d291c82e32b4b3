//! Jobs whose queue a version of the document lacks, on whole hosts.

use std::time::Duration;

use dispatch::api::JobLookup;
use job::plan::Plan;
use job::plan::Queues;
use job::scheduler::JobState;

use crate::world::World;
use crate::world::job;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an owner that judges a job by a document without its queue, so that the job fails after
/// one of its three attempts. A successor has never seen a document with the queue.
#[tokio::test(start_paused = true)]
async fn a_job_outlasts_a_failure_while_its_queue_is_absent() {
    for with_takeover in [false, true] {
        let world = World::new(2);
        world.start("a");
        world.advance(SECOND).await;
        world.start("b");
        world.advance(SECOND).await;
        for number in 1..=2 {
            let executor = world.fleet.executor(number);
            executor.task_duration.set(4 * SECOND);
            executor.fails_runs.set(true);
        }
        let mut spec = job(2);
        for step in &mut spec.steps {
            step.estimate_ms = 4_000;
        }
        world.submit("b", 1, spec).await;
        world.advance(SECOND).await;
        assert_eq!(world.fleet.starts.get(), 2, "{with_takeover}");
        world.document.change(Plan {
            queues: Queues::default(),
            ..plan(2, false)
        });
        world.advance(SECOND).await;
        if with_takeover {
            world.kill("a");
            world.kill("b");
            world.start("b");
        }
        world.advance(5 * SECOND).await;
        assert_eq!(world.fleet.starts.get(), 2, "{with_takeover}");
        for number in 1..=2 {
            world.fleet.executor(number).fails_runs.set(false);
        }
        let state = world.state("b", 1).await;
        assert_eq!(
            state,
            JobLookup::State(JobState::Running),
            "{with_takeover}"
        );
        world.document.change(plan(3, false));
        world.wait_until_succeeded("b", &[1], 20 * SECOND).await;
        world.assert_no_violations();
    }
}
