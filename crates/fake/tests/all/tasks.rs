//! What tasks on a worker truly do.

use std::sync::Arc;
use std::time::Duration;

use fake::faults::Fault;
use fake::worker::Disturbance;
use fake::worker::Ending;
use fake::worker::Interference;
use fake::worker::Program;
use fake::worker::RunView;
use fake::worker::Tally;
use model::Mono;
use model::Size;
use model::id::CheckpointId;
use plat::worker::RunState;
use tokio::time::advance;

use crate::support::Bench;
use crate::support::LAG;
use crate::support::SIZE;
use crate::support::TASK;
use crate::support::start;
use crate::support::start_from;
use crate::support::stop;
use crate::support::throttle;

const TEN: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn programs_end_as_they_are_made_to() {
    let plain = Program::batch(SIZE, TEN);
    let halved_by_the_guard = Program::batch(Size::new(2000, 1, 0), TEN / 2);
    let too_much_memory = Program::batch(Size::new(500, 1001, 0), TEN);
    let failing = plain.clone().ending(Ending::Fails(SECOND));
    let service = Program::service(SIZE, 900);
    let cases = [
        (&plain, 9, RunState::Running),
        (&plain, 10, RunState::Succeeded),
        (&halved_by_the_guard, 9, RunState::Running),
        (&halved_by_the_guard, 10, RunState::Succeeded),
        (&too_much_memory, 1, RunState::Failed),
        (&failing, 1, RunState::Failed),
        (&service, 10, RunState::Running),
    ];
    for (program, after_s, expected) in cases {
        let bench = Bench::new(program.clone());
        bench.first(vec![start(TASK, 1)]).await;
        advance(SECOND * after_s).await;
        assert_eq!(
            bench.state().await,
            expected,
            "{program:?} after {after_s} s"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_throttled_task_goes_on_as_slowly_as_it_is_capped() {
    let bench = Bench::new(Program::batch(SIZE, TEN));
    bench.first(vec![start(TASK, 1)]).await;
    advance(SECOND * 2).await;
    bench.first(vec![throttle(250)]).await;
    advance(SECOND * 8).await;
    let report = bench.first(vec![throttle(1000)]).await;
    assert_eq!((report.progress_ms, report.throttle_permille), (4000, 1000));
    advance(SECOND * 6).await;
    assert_eq!(bench.state().await, RunState::Succeeded);
}

#[tokio::test(start_paused = true)]
async fn usage_shows_only_after_the_lag() {
    let bench = Bench::new(Program::service(Size::new(600, 700, 0), 900));
    assert_eq!(bench.first(vec![start(TASK, 1)]).await.usage, Size::ZERO);
    advance(LAG - Duration::from_millis(1)).await;
    assert_eq!(bench.first(Vec::new()).await.p99_us, None);
    advance(Duration::from_millis(1)).await;
    let report = bench.first(vec![throttle(500)]).await;
    assert_eq!(report.usage, Size::new(600, 700, 0));
    assert_eq!(report.p99_us, Some(900));
    advance(LAG).await;
    assert_eq!(bench.first(Vec::new()).await.usage.cpu_millis, 500);
}

#[tokio::test(start_paused = true)]
async fn evicted_work_goes_on_from_its_checkpoint_on_another_worker() {
    let bench = Bench::new(Program::batch(SIZE, TEN).stop(SECOND));
    bench.first(vec![start(TASK, 1)]).await;
    advance(SECOND * 6).await;
    let stopping = bench.first(vec![stop(1, true)]).await;
    assert_eq!(
        (stopping.state, stopping.checkpoint),
        (RunState::Running, None)
    );
    advance(SECOND).await;
    let stopped = bench.first(Vec::new()).await;
    assert_eq!(stopped.state, RunState::Stopped);
    let commands = vec![start_from(TASK, 2, stopped.checkpoint)];
    assert!(bench.send(2, commands).await.is_ok());
    advance(SECOND * 3).await;
    let report = bench.send(2, Vec::new()).await.expect("no fault is set");
    assert_eq!(report.runs[0].state, RunState::Succeeded);
    let expected = Tally {
        begun: 2,
        resumed: 1,
        ..Tally::default()
    };
    assert_eq!(bench.ledger.tally(), expected);
}

#[tokio::test(start_paused = true)]
async fn a_checkpoint_that_cannot_be_stored_is_not_named() {
    let unable = Program::batch(SIZE, TEN).checkpoints(false);
    for (program, fault) in [
        (unable, None),
        (Program::batch(SIZE, TEN), Some(Fault::Down)),
    ] {
        let bench = Bench::new(program);
        bench.first(vec![start(TASK, 1)]).await;
        if let Some(fault) = fault {
            bench.objects.faults().set(fault);
        }
        let stopped = bench.first(vec![stop(1, true)]).await;
        assert_eq!(
            (stopped.state, stopped.checkpoint),
            (RunState::Stopped, None)
        );
        assert_eq!(bench.objects.names(), Vec::<String>::new());
    }
}

#[tokio::test(start_paused = true)]
async fn the_ledger_counts_a_checkpoint_that_is_missing() {
    let bench = Bench::new(Program::batch(SIZE, TEN));
    let missing = Some(CheckpointId::from("checkpoint/none"));
    let report = bench.first(vec![start_from(TASK, 2, missing)]).await;
    assert_eq!(report.progress_ms, 0);
    assert_eq!(bench.ledger.tally().checkpoints_missing, 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_beyond_the_capacity_is_not_begun_and_is_counted() {
    let bench = Bench::new(Program::batch(SIZE, TEN));
    bench.first(vec![start(TASK, 1), start("task-2", 1)]).await;
    let report = bench
        .send(1, vec![start("task-3", 1)])
        .await
        .expect("no fault is set");
    let refused = report.runs.iter().find(|run| run.task.as_str() == "task-3");
    assert_eq!(refused.map(|run| run.state), Some(RunState::Stopped));
    assert_eq!(bench.ledger.tally().overcommits, 1);
    assert_eq!(bench.worker(1).reserved(), SIZE + SIZE);
}

#[tokio::test(start_paused = true)]
async fn a_bad_worker_fails_all_that_it_starts() {
    let bench = Bench::new(Program::batch(SIZE, TEN));
    bench.worker(1).set_fails_starts(true);
    assert_eq!(
        bench.first(vec![start(TASK, 1)]).await.state,
        RunState::Failed
    );
    assert_eq!(bench.ledger.tally().begun, 1);
}

#[tokio::test(start_paused = true)]
async fn hidden_interference_slows_tasks_that_run_together() {
    let halved_together: Interference = Arc::new(|views: &[RunView], _now: Mono| {
        let speed = if views.len() > 1 { 0.5 } else { 1.0 };
        let p99_us = Some(1000 * views.len() as u64);
        views
            .iter()
            .map(|_| Disturbance { speed, p99_us })
            .collect()
    });
    let bench = Bench::with(Program::batch(SIZE, TEN), Some(halved_together));
    bench.first(vec![start(TASK, 1)]).await;
    advance(SECOND * 4).await;
    bench.first(vec![start("task-2", 1)]).await;
    advance(SECOND * 8).await;
    let report = bench.first(Vec::new()).await;
    assert_eq!((report.progress_ms, report.p99_us), (8000, Some(2000)));
}
