//! The simulated behaviour of tasks on a worker.

use std::sync::Arc;
use std::time::Duration;

use fake::faults::Fault;
use fake::worker::Completion;
use fake::worker::InterferenceEffect;
use fake::worker::InterferenceModel;
use fake::worker::Program;
use fake::worker::RunCounts;
use fake::worker::RunView;
use model::Mono;
use model::Size;
use model::id::CheckpointId;
use plat::worker::RunState;
use tokio::time::advance;

use crate::harness::Harness;
use crate::harness::LAG;
use crate::harness::SIZE;
use crate::harness::TASK;
use crate::harness::start;
use crate::harness::start_from;
use crate::harness::stop;
use crate::harness::throttle;

const TEN_SECONDS: Duration = Duration::from_secs(10);
const ONE_SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn programs_reach_the_configured_state() {
    let ten_seconds = Program::batch(SIZE, TEN_SECONDS);
    let cpu_capped_to_half = Program::batch(Size::new(2000, 1, 0), TEN_SECONDS / 2);
    let over_memory_limit = Program::batch(Size::new(500, 1001, 0), TEN_SECONDS);
    let failing = ten_seconds
        .clone()
        .completion(Completion::Fails(ONE_SECOND));
    let service = Program::service(SIZE, 900);
    let cases = [
        (&ten_seconds, 9, RunState::Running),
        (&ten_seconds, 10, RunState::Succeeded),
        (&cpu_capped_to_half, 9, RunState::Running),
        (&cpu_capped_to_half, 10, RunState::Succeeded),
        (&over_memory_limit, 1, RunState::Failed),
        (&failing, 1, RunState::Failed),
        (&service, 10, RunState::Running),
    ];
    for (program, after_s, expected) in cases {
        let harness = Harness::new(program.clone());
        harness.send_to_first(vec![start(TASK, 1)]).await;
        advance(ONE_SECOND * after_s).await;
        assert_eq!(
            harness.first_run_state().await,
            expected,
            "{program:?} after {after_s} s"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_throttled_task_progresses_at_its_capped_speed() {
    let harness = Harness::new(Program::batch(SIZE, TEN_SECONDS));
    harness.send_to_first(vec![start(TASK, 1)]).await;
    advance(ONE_SECOND * 2).await;
    harness.send_to_first(vec![throttle(250)]).await;
    advance(ONE_SECOND * 8).await;
    let report = harness.send_to_first(vec![throttle(1000)]).await;
    assert_eq!((report.progress_ms, report.throttle_permille), (4000, 1000));
    advance(ONE_SECOND * 6).await;
    assert_eq!(harness.first_run_state().await, RunState::Succeeded);
}

#[tokio::test(start_paused = true)]
async fn usage_is_reported_only_after_the_lag() {
    let harness = Harness::new(Program::service(Size::new(600, 700, 0), 900));
    assert_eq!(
        harness.send_to_first(vec![start(TASK, 1)]).await.usage,
        Size::ZERO
    );
    advance(LAG - Duration::from_millis(1)).await;
    assert_eq!(harness.send_to_first(Vec::new()).await.p99_us, None);
    advance(Duration::from_millis(1)).await;
    let report = harness.send_to_first(vec![throttle(500)]).await;
    assert_eq!(report.usage, Size::new(600, 700, 0));
    assert_eq!(report.p99_us, Some(900));
    advance(LAG).await;
    assert_eq!(
        harness.send_to_first(Vec::new()).await.usage.cpu_millis,
        500
    );
}

#[tokio::test(start_paused = true)]
async fn an_evicted_task_resumes_from_its_checkpoint_on_another_worker() {
    let harness = Harness::new(Program::batch(SIZE, TEN_SECONDS).stop_time(ONE_SECOND));
    harness.send_to_first(vec![start(TASK, 1)]).await;
    advance(ONE_SECOND * 6).await;
    let stopping = harness.send_to_first(vec![stop(1, true)]).await;
    assert_eq!(
        (stopping.state, stopping.checkpoint),
        (RunState::Running, None)
    );
    advance(ONE_SECOND).await;
    let stopped = harness.send_to_first(Vec::new()).await;
    assert_eq!(stopped.state, RunState::Stopped);
    let commands = vec![start_from(TASK, 2, stopped.checkpoint)];
    assert!(harness.send(2, commands).await.is_ok());
    advance(ONE_SECOND * 3).await;
    let report = harness
        .send(2, Vec::new())
        .await
        .expect("no fault is injected");
    assert_eq!(report.runs[0].state, RunState::Succeeded);
    let expected = RunCounts {
        started: 2,
        resumed: 1,
        ..RunCounts::default()
    };
    assert_eq!(harness.ledger.counts(), expected);
}

#[tokio::test(start_paused = true)]
async fn a_checkpoint_that_cannot_be_stored_is_not_reported() {
    let unable = Program::batch(SIZE, TEN_SECONDS).can_checkpoint(false);
    for (program, fault) in [
        (unable, None),
        (Program::batch(SIZE, TEN_SECONDS), Some(Fault::Down)),
    ] {
        let harness = Harness::new(program);
        harness.send_to_first(vec![start(TASK, 1)]).await;
        if let Some(fault) = fault {
            harness.objects.faults().set(fault);
        }
        let stopped = harness.send_to_first(vec![stop(1, true)]).await;
        assert_eq!(
            (stopped.state, stopped.checkpoint),
            (RunState::Stopped, None)
        );
        assert_eq!(harness.objects.names(), Vec::<String>::new());
    }
}

#[tokio::test(start_paused = true)]
async fn the_ledger_counts_a_missing_checkpoint() {
    let harness = Harness::new(Program::batch(SIZE, TEN_SECONDS));
    let missing = Some(CheckpointId::from("checkpoint/none"));
    let report = harness
        .send_to_first(vec![start_from(TASK, 2, missing)])
        .await;
    assert_eq!(report.progress_ms, 0);
    assert_eq!(harness.ledger.counts().missing_checkpoints, 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_beyond_the_capacity_is_rejected_and_counted() {
    let harness = Harness::new(Program::batch(SIZE, TEN_SECONDS));
    harness
        .send_to_first(vec![start(TASK, 1), start("task-2", 1)])
        .await;
    let report = harness
        .send(1, vec![start("task-3", 1)])
        .await
        .expect("no fault is injected");
    let refused = report.runs.iter().find(|run| run.task.as_str() == "task-3");
    assert_eq!(refused.map(|run| run.state), Some(RunState::Stopped));
    assert_eq!(harness.ledger.counts().overcommits, 1);
    assert_eq!(harness.worker(1).reserved(), SIZE + SIZE);
}

#[tokio::test(start_paused = true)]
async fn a_worker_set_to_fail_on_start_fails_every_run() {
    let harness = Harness::new(Program::batch(SIZE, TEN_SECONDS));
    harness.worker(1).set_fail_on_start(true);
    assert_eq!(
        harness.send_to_first(vec![start(TASK, 1)]).await.state,
        RunState::Failed
    );
    assert_eq!(harness.ledger.counts().started, 1);
}

#[tokio::test(start_paused = true)]
async fn hidden_interference_slows_tasks_that_run_together() {
    let half_speed_together: InterferenceModel = Arc::new(|views: &[RunView], _now: Mono| {
        let speed = if views.len() > 1 { 0.5 } else { 1.0 };
        let p99_us = Some(1000 * views.len() as u64);
        views
            .iter()
            .map(|_| InterferenceEffect { speed, p99_us })
            .collect()
    });
    let harness = Harness::with(Program::batch(SIZE, TEN_SECONDS), Some(half_speed_together));
    harness.send_to_first(vec![start(TASK, 1)]).await;
    advance(ONE_SECOND * 4).await;
    harness.send_to_first(vec![start("task-2", 1)]).await;
    advance(ONE_SECOND * 8).await;
    let report = harness.send_to_first(Vec::new()).await;
    assert_eq!((report.progress_ms, report.p99_us), (8000, Some(2000)));
}
