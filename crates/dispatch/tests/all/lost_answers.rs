//! Answers that are lost after what they tell of was done: nothing is done again, and no caller is
//! told that it was not.

use std::time::Duration;

use dispatch::api::JobLookup;
use dispatch::api::SubmitOutcome;
use job::scheduler::JobState;

use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;

const SECOND: Duration = Duration::from_secs(1);
/// The number of tasks of a job of two steps with two tasks each.
const TASKS: u64 = 4;

async fn started() -> World {
    let world = World::new(2);
    world.start("a");
    world.start("b");
    world.advance(SECOND).await;
    world
}

/// Returns the host that is not the owner.
fn follower(owner: &str) -> &'static str {
    if owner == "a" { "b" } else { "a" }
}

#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_was_lost_is_not_called_refused_and_runs_once() {
    for asked in ["a", "b"] {
        for again in ["a", "b"] {
            let world = started().await;
            let fault = world.host(asked).store_fault.clone();
            fault.set(StoreFault::LosesAnswers);
            let outcome = world.submit(asked, 1, job(2)).await;
            assert_eq!(outcome, SubmitOutcome::Unknown, "{asked}");
            fault.set(StoreFault::None);
            let outcome = world.submit(again, 1, job(2)).await;
            assert_eq!(outcome, SubmitOutcome::Accepted, "{asked}, {again}");
            world.wait_until_succeeded(again, &[1], 10 * SECOND).await;
            world.advance(6 * SECOND).await;
            assert_eq!(world.fleet.starts.get(), TASKS, "{asked}, {again}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn work_whose_end_was_stored_without_an_answer_does_not_run_again() {
    for lost_for in [SECOND / 2, 2 * SECOND, 12 * SECOND] {
        let world = started().await;
        let owner = world.owner().expect("an owner");
        let follower = follower(&owner);
        world.submit(follower, 1, job(2)).await;
        // The tasks of the first step run.
        world.advance(SECOND / 2).await;
        assert_eq!(world.fleet.starts.get(), TASKS / 2);
        let fault = world.host(&owner).store_fault.clone();
        fault.set(StoreFault::LosesAnswers);
        world.advance(lost_for).await;
        fault.set(StoreFault::None);
        world
            .wait_until_succeeded(follower, &[1], 20 * SECOND)
            .await;
        world.advance(6 * SECOND).await;
        assert_eq!(world.fleet.starts.get(), TASKS, "{lost_for:?}");
        world.assert_no_violations();
    }
}

/// Lets two executors execute start commands without an answer, and reports arrive this late.
async fn run_without_answers_to_starts(reports_after: Duration) {
    let world = started().await;
    for number in [1, 2] {
        let executor = world.fleet.executor(number);
        executor.command_delay.set(Some(Duration::ZERO));
        executor.answer_delay.set(reports_after);
        executor.task_duration.set(6 * SECOND);
    }
    let mut spec = job(2);
    for step in &mut spec.steps {
        step.estimate_ms = 6_000;
    }
    world.submit("a", 1, spec).await;
    world.wait_until_succeeded("a", &[1], 60 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), TASKS);
}

#[tokio::test(start_paused = true)]
async fn a_task_whose_start_was_executed_without_an_answer_starts_once() {
    run_without_answers_to_starts(Duration::ZERO).await;
}

/// The run was stopped after three attempts without an answer, before the report that shows it arrived, and
/// its task started again and again.
#[tokio::test(start_paused = true)]
async fn a_task_whose_start_was_executed_starts_once_although_reports_come_a_second_late() {
    run_without_answers_to_starts(SECOND).await;
}

/// The answer to the cancellation is lost on its way through the store, and the caller asks again.
#[tokio::test(start_paused = true)]
async fn a_job_whose_cancellation_was_stored_without_an_answer_starts_nothing_more() {
    let world = started().await;
    let owner = world.owner().expect("an owner");
    let follower = follower(&owner);
    world.submit(follower, 1, job(2)).await;
    world.advance(SECOND / 2).await;
    let fault = world.host(follower).store_fault.clone();
    fault.set(StoreFault::LosesAnswers);
    let node = world.host(follower).node.clone();
    let id = crate::world::job_id(1);
    world
        .run_on(follower, dispatch::api::cancel(&node, id))
        .await;
    fault.set(StoreFault::None);
    world
        .run_on(follower, dispatch::api::cancel(&node, id))
        .await;
    world.advance(8 * SECOND).await;
    assert_eq!(world.fleet.starts.get(), TASKS / 2);
    assert_eq!(
        world.state(follower, 1).await,
        JobLookup::State(JobState::Cancelled)
    );
}
