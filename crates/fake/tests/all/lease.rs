//! Epochs, leases, and messages that are delayed, duplicated or out of order.

use std::time::Duration;

use fake::faults::Fault;
use fake::worker::Program;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::RunState;
use plat::worker::WorkerError;
use tokio::time::Instant;
use tokio::time::advance;

use crate::harness::Harness;
use crate::harness::LEASE;
use crate::harness::SIZE;
use crate::harness::TASK;
use crate::harness::release;
use crate::harness::start;
use crate::harness::stop;
use crate::harness::throttle;

const HOUR: Duration = Duration::from_secs(3600);
const ONE_MS: Duration = Duration::from_millis(1);

fn batch_harness() -> Harness {
    Harness::new(Program::batch(SIZE, HOUR))
}

#[tokio::test(start_paused = true)]
async fn an_unrenewed_lease_stops_every_run_when_it_expires() {
    let harness = batch_harness();
    assert!(harness.send(1, Vec::new()).await.is_ok());
    harness
        .send_to_first(vec![start(TASK, 1), start("task-2", 1)])
        .await;
    advance(LEASE - ONE_MS).await;
    assert_eq!(harness.worker(1).running().len(), 2);
    advance(ONE_MS).await;
    assert_eq!(harness.worker(1).running().len(), 0);
    assert_eq!(harness.first_run_state().await, RunState::Stopped);
    let run = &harness.ledger.runs(&TaskId::from(TASK))[0];
    assert_eq!(run.until.since(run.from), LEASE);
}

#[tokio::test(start_paused = true)]
async fn a_start_elsewhere_overlaps_before_the_lease_expires_and_not_after() {
    for (wait, overlapping) in [(LEASE - ONE_MS, 1), (LEASE, 0)] {
        let harness = batch_harness();
        assert!(harness.send(1, Vec::new()).await.is_ok());
        harness.send_to_first(vec![start(TASK, 1)]).await;
        advance(wait).await;
        assert!(harness.send(2, vec![start(TASK, 2)]).await.is_ok());
        harness.fake_workers.advance();
        assert_eq!(
            harness.ledger.counts().overlapping,
            overlapping,
            "after {wait:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_message_delayed_past_the_lease_grants_none_and_starts_nothing() {
    for delay in [LEASE, LEASE * 4] {
        let harness = batch_harness();
        assert!(harness.send(1, Vec::new()).await.is_ok());
        harness.worker(1).faults().set_next(Fault::Late(delay), 1);
        assert!(harness.send(1, vec![start(TASK, 1)]).await.is_err());
        tokio::time::sleep(delay + ONE_MS).await;
        assert_eq!(harness.ledger.counts().started, 0, "late by {delay:?}");
        assert!(harness.worker(1).running().is_empty(), "late by {delay:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_delayed_start_runs_no_longer_than_the_lease_its_sender_assumes() {
    let harness = batch_harness();
    assert!(harness.send(1, Vec::new()).await.is_ok());
    harness
        .worker(1)
        .faults()
        .set_next(Fault::Late(LEASE / 2), 1);
    assert!(harness.send(1, vec![start(TASK, 1)]).await.is_err());
    tokio::time::sleep(LEASE / 2 + ONE_MS).await;
    assert_eq!(harness.worker(1).running().len(), 1);
    advance(LEASE / 2).await;
    assert_eq!(harness.worker(1).running().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_slow_first_report_shortens_the_lease_granted_after_it() {
    for stale_before in [false, true] {
        let harness = batch_harness();
        if stale_before {
            assert!(harness.send(1, Vec::new()).await.is_ok());
            advance(LEASE).await;
        }
        harness
            .worker(1)
            .faults()
            .set_next(Fault::Slow(Duration::from_millis(1500)), 1);
        let lease_start = Instant::now();
        if stale_before {
            assert!(harness.exchange(1, 1, 0, Vec::new()).await.is_ok());
        }
        assert!(harness.send(1, vec![start(TASK, 1)]).await.is_ok());
        assert_eq!(
            harness.worker(1).running().len(),
            1,
            "stale before: {stale_before}"
        );
        advance(LEASE - lease_start.elapsed()).await;
        assert_eq!(
            harness.worker(1).running().len(),
            0,
            "stale before: {stale_before}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn delayed_or_duplicate_messages_have_no_effect() {
    // The fault of the first message, the commands of the first and the second message, and the
    // number of runs started in the end.
    let late = Fault::Late(Duration::from_secs(2));
    let cases = [
        (
            "delivered twice",
            Fault::Twice,
            vec![start(TASK, 1)],
            vec![],
            1,
        ),
        (
            "response lost, sent again",
            Fault::LostAfter,
            vec![start(TASK, 1)],
            vec![start(TASK, 1)],
            1,
        ),
        (
            "late, sent again",
            late.clone(),
            vec![start(TASK, 1)],
            vec![start(TASK, 1)],
            1,
        ),
        (
            "late, after its stop",
            late.clone(),
            vec![start(TASK, 1)],
            vec![stop(1, false)],
            0,
        ),
        (
            "late, after a later attempt",
            late,
            vec![start(TASK, 1)],
            vec![start(TASK, 2)],
            1,
        ),
    ];
    for (name, fault, first, second, started) in cases {
        let harness = batch_harness();
        assert!(harness.send(1, Vec::new()).await.is_ok());
        harness.worker(1).faults().set_next(fault, 1);
        let _result = harness.send(1, first).await;
        assert!(harness.send(1, second).await.is_ok(), "{name}");
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(harness.ledger.counts().started, started, "{name}");
        assert_eq!(harness.ledger.counts().overlapping, 0, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_older_message_is_ignored_after_a_newer_one() {
    let harness = batch_harness();
    harness.send_to_first(vec![start(TASK, 1)]).await;
    harness
        .worker(1)
        .faults()
        .set_next(Fault::Late(Duration::from_secs(2)), 1);
    assert!(harness.send(1, vec![throttle(100)]).await.is_err());
    harness.send_to_first(vec![throttle(500)]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        harness.send_to_first(Vec::new()).await.throttle_permille,
        500
    );
}

#[tokio::test(start_paused = true)]
async fn a_higher_epoch_fences_the_lower_one_at_once() {
    let harness = batch_harness();
    harness.send_to_first(vec![start(TASK, 1)]).await;
    assert!(harness.send_under(2, 1, Vec::new()).await.is_ok());
    let fenced = Err(WorkerError::Fenced { epoch: Epoch(2) });
    assert_eq!(harness.send(1, vec![start("task-2", 1)]).await, fenced);
    assert_eq!(harness.worker(1).running(), [TaskId::from(TASK)]);
}

#[tokio::test(start_paused = true)]
async fn a_released_run_is_forgotten_and_not_started_again() {
    let harness = batch_harness();
    harness.send_to_first(vec![start(TASK, 1)]).await;
    harness.send_to_first(vec![release(1)]).await;
    assert_eq!(harness.first_run_state().await, RunState::Running);
    harness.send_to_first(vec![stop(1, false)]).await;
    let report = harness
        .send(1, vec![release(1)])
        .await
        .expect("no fault is injected");
    assert_eq!(report.runs, []);
    assert_eq!(
        harness.send_to_first(vec![start(TASK, 1)]).await.state,
        RunState::Stopped
    );
    assert_eq!(harness.ledger.counts().started, 1);
}

#[tokio::test(start_paused = true)]
async fn a_failed_host_runs_nothing_and_keeps_its_epoch() {
    let harness = batch_harness();
    assert!(harness.send_under(2, 1, vec![start(TASK, 1)]).await.is_ok());
    harness.worker(1).crash();
    assert!(harness.send_under(2, 1, Vec::new()).await.is_err());
    harness.worker(1).faults().clear();
    assert!(matches!(
        harness.send(1, Vec::new()).await,
        Err(WorkerError::Fenced { .. })
    ));
    let report = harness
        .send_under(2, 1, Vec::new())
        .await
        .expect("the host has recovered");
    assert_eq!(report.runs, []);
    assert!(harness.send(2, vec![start(TASK, 2)]).await.is_ok());
    assert_eq!(harness.ledger.counts().overlapping, 0);
}
