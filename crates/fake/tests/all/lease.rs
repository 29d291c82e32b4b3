//! Epochs, leases and messages that come late, twice or out of order.

use std::time::Duration;

use fake::faults::Fault;
use fake::worker::Program;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::RunState;
use plat::worker::WorkerError;
use tokio::time::Instant;
use tokio::time::advance;

use crate::support::Bench;
use crate::support::LEASE;
use crate::support::SIZE;
use crate::support::TASK;
use crate::support::release;
use crate::support::start;
use crate::support::stop;
use crate::support::throttle;

const HOUR: Duration = Duration::from_secs(3600);
const MS: Duration = Duration::from_millis(1);

fn bench() -> Bench {
    Bench::new(Program::batch(SIZE, HOUR))
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_is_not_renewed_stops_everything_at_its_end() {
    let bench = bench();
    assert!(bench.send(1, Vec::new()).await.is_ok());
    bench.first(vec![start(TASK, 1), start("task-2", 1)]).await;
    advance(LEASE - MS).await;
    assert_eq!(bench.worker(1).running().len(), 2);
    advance(MS).await;
    assert_eq!(bench.worker(1).running().len(), 0);
    assert_eq!(bench.state().await, RunState::Stopped);
    let run = &bench.ledger.runs(&TaskId::from(TASK))[0];
    assert_eq!(run.until.since(run.from), LEASE);
}

#[tokio::test(start_paused = true)]
async fn a_start_elsewhere_is_doubled_before_the_lapse_and_not_after_it() {
    for (wait, doubled) in [(LEASE - MS, 1), (LEASE, 0)] {
        let bench = bench();
        assert!(bench.send(1, Vec::new()).await.is_ok());
        bench.first(vec![start(TASK, 1)]).await;
        advance(wait).await;
        assert!(bench.send(2, vec![start(TASK, 2)]).await.is_ok());
        bench.fakes.advance();
        assert_eq!(bench.ledger.tally().doubled, doubled, "after {wait:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_message_that_was_under_way_for_long_grants_no_lease_and_starts_nothing() {
    for late in [LEASE, LEASE * 4] {
        let bench = bench();
        assert!(bench.send(1, Vec::new()).await.is_ok());
        bench.worker(1).faults().next(Fault::Late(late), 1);
        assert!(bench.send(1, vec![start(TASK, 1)]).await.is_err());
        tokio::time::sleep(late + MS).await;
        assert_eq!(bench.ledger.tally().begun, 0, "late by {late:?}");
        assert!(bench.worker(1).running().is_empty(), "late by {late:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_late_start_runs_no_longer_than_its_sender_counted_with() {
    let bench = bench();
    assert!(bench.send(1, Vec::new()).await.is_ok());
    bench.worker(1).faults().next(Fault::Late(LEASE / 2), 1);
    assert!(bench.send(1, vec![start(TASK, 1)]).await.is_err());
    tokio::time::sleep(LEASE / 2 + MS).await;
    assert_eq!(bench.worker(1).running().len(), 1);
    advance(LEASE / 2).await;
    assert_eq!(bench.worker(1).running().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_first_report_that_was_slow_shortens_the_lease_granted_after_it() {
    for stale_before in [false, true] {
        let bench = bench();
        if stale_before {
            assert!(bench.send(1, Vec::new()).await.is_ok());
            advance(LEASE).await;
        }
        bench
            .worker(1)
            .faults()
            .next(Fault::Slow(Duration::from_millis(1500)), 1);
        let counted_from = Instant::now();
        if stale_before {
            assert!(bench.exchange(1, 1, 0, Vec::new()).await.is_ok());
        }
        assert!(bench.send(1, vec![start(TASK, 1)]).await.is_ok());
        assert_eq!(
            bench.worker(1).running().len(),
            1,
            "stale before: {stale_before}"
        );
        advance(LEASE - counted_from.elapsed()).await;
        assert_eq!(
            bench.worker(1).running().len(),
            0,
            "stale before: {stale_before}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn messages_that_come_late_or_twice_change_nothing() {
    // What is set before a message, the commands of it and of the one after it, and the runs
    // begun in the end.
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
            "answer lost, sent again",
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
    for (name, fault, first, second, begun) in cases {
        let bench = bench();
        assert!(bench.send(1, Vec::new()).await.is_ok());
        bench.worker(1).faults().next(fault, 1);
        let _maybe_lost = bench.send(1, first).await;
        assert!(bench.send(1, second).await.is_ok(), "{name}");
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(bench.ledger.tally().begun, begun, "{name}");
        assert_eq!(bench.ledger.tally().doubled, 0, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_message_of_before_is_refused_after_a_newer_one() {
    let bench = bench();
    bench.first(vec![start(TASK, 1)]).await;
    bench
        .worker(1)
        .faults()
        .next(Fault::Late(Duration::from_secs(2)), 1);
    assert!(bench.send(1, vec![throttle(100)]).await.is_err());
    bench.first(vec![throttle(500)]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(bench.first(Vec::new()).await.throttle_permille, 500);
}

#[tokio::test(start_paused = true)]
async fn a_higher_epoch_fences_the_lower_one_at_once() {
    let bench = bench();
    bench.first(vec![start(TASK, 1)]).await;
    assert!(bench.send_under(2, 1, Vec::new()).await.is_ok());
    let fenced = Err(WorkerError::Fenced { epoch: Epoch(2) });
    assert_eq!(bench.send(1, vec![start("task-2", 1)]).await, fenced);
    assert_eq!(bench.worker(1).running(), [TaskId::from(TASK)]);
}

#[tokio::test(start_paused = true)]
async fn a_released_run_stays_forgotten_and_is_not_begun_again() {
    let bench = bench();
    bench.first(vec![start(TASK, 1)]).await;
    bench.first(vec![release(1)]).await;
    assert_eq!(bench.state().await, RunState::Running);
    bench.first(vec![stop(1, false)]).await;
    let report = bench
        .send(1, vec![release(1)])
        .await
        .expect("no fault is set");
    assert_eq!(report.runs, []);
    assert_eq!(
        bench.first(vec![start(TASK, 1)]).await.state,
        RunState::Stopped
    );
    assert_eq!(bench.ledger.tally().begun, 1);
}

#[tokio::test(start_paused = true)]
async fn a_failed_host_runs_nothing_and_keeps_its_epoch() {
    let bench = bench();
    assert!(bench.send_under(2, 1, vec![start(TASK, 1)]).await.is_ok());
    bench.worker(1).crash();
    assert!(bench.send_under(2, 1, Vec::new()).await.is_err());
    bench.worker(1).faults().clear();
    assert!(matches!(
        bench.send(1, Vec::new()).await,
        Err(WorkerError::Fenced { .. })
    ));
    let report = bench
        .send_under(2, 1, Vec::new())
        .await
        .expect("the host is back");
    assert_eq!(report.runs, []);
    assert!(bench.send(2, vec![start(TASK, 2)]).await.is_ok());
    assert_eq!(bench.ledger.tally().doubled, 0);
}
