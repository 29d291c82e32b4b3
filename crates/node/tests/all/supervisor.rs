use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::Clock;
use node::supervisor::FAILURE_WINDOW;
use node::supervisor::MAX_FAILURES;
use node::supervisor::PartState;
use node::supervisor::StatusBoard;
use node::supervisor::Supervisor;
use node::supervisor::failure;
use node::supervisor::fatal;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

fn counter() -> (Arc<AtomicU32>, Arc<AtomicU32>) {
    let count = Arc::new(AtomicU32::new(0));
    (count.clone(), count)
}

#[tokio::test(start_paused = true)]
async fn a_part_that_fails_or_panics_is_restarted() {
    let (runs, count) = counter();
    let board = StatusBoard::default();
    let supervisor =
        Supervisor::new("top", Clock::start(), board.clone()).part("flaky", move |_| {
            let run = count.fetch_add(1, Ordering::SeqCst);
            async move {
                assert!(run != 0, "first run panics");
                if run == 1 {
                    Err(failure("flaky", "second run fails"))
                } else {
                    Ok(())
                }
            }
        });
    supervisor.run(CancellationToken::new()).await.unwrap();
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    let status = board.all().remove(0);
    assert_eq!((status.state, status.restarts), (PartState::Ended, 2));
    assert!(status.last_error.unwrap().contains("second run fails"));
}

#[tokio::test(start_paused = true)]
async fn a_part_that_keeps_failing_ends_its_siblings_and_escalates() {
    let (runs, count) = counter();
    let (ended, end) = counter();
    let board = StatusBoard::default();
    let supervisor = Supervisor::new("top", Clock::start(), board.clone())
        .part("broken", move |_| {
            count.fetch_add(1, Ordering::SeqCst);
            async { Err(failure("broken", "always")) }
        })
        .part("sibling", move |token| {
            let end = end.clone();
            async move {
                token.cancelled().await;
                end.fetch_add(1, Ordering::SeqCst);
                Ok(())
            }
        });
    let error = supervisor.run(CancellationToken::new()).await.unwrap_err();
    assert_eq!(error.part, "top/broken");
    assert_eq!(runs.load(Ordering::SeqCst) as usize, MAX_FAILURES);
    assert_eq!(ended.load(Ordering::SeqCst), 1);
    assert!(
        board
            .all()
            .iter()
            .any(|status| status.state == PartState::Escalated)
    );
}

#[tokio::test(start_paused = true)]
async fn failures_far_apart_do_not_escalate() {
    let (runs, count) = counter();
    let enough = u32::try_from(MAX_FAILURES).unwrap() * 2;
    let supervisor =
        Supervisor::new("top", Clock::start(), StatusBoard::default()).part("rare", move |_| {
            let run = count.fetch_add(1, Ordering::SeqCst);
            async move {
                sleep(FAILURE_WINDOW + Duration::from_secs(1)).await;
                if run < enough {
                    Err(failure("rare", "now and then"))
                } else {
                    Ok(())
                }
            }
        });
    supervisor.run(CancellationToken::new()).await.unwrap();
    assert_eq!(runs.load(Ordering::SeqCst), enough + 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_to_end_reaches_a_part_that_waits_for_its_restart() {
    let token = CancellationToken::new();
    let supervisor = Supervisor::new("top", Clock::start(), StatusBoard::default())
        .part("broken", |_| async { Err(failure("broken", "always")) });
    let run = tokio::spawn(supervisor.run(token.clone()));
    sleep(Duration::from_millis(10)).await;
    token.cancel();
    run.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_fatal_error_escalates_through_all_levels_at_once() {
    let (runs, count) = counter();
    let board = StatusBoard::default();
    let inner_board = board.clone();
    let clock = Clock::start();
    let supervisor = Supervisor::new("top", clock, board).part("inner", move |token| {
        let count = count.clone();
        let inner = Supervisor::new("inner", clock, inner_board.clone());
        let inner = inner.part("doomed", move |_| {
            count.fetch_add(1, Ordering::SeqCst);
            async { Err(fatal("doomed", "replaced")) }
        });
        inner.run(token)
    });
    let error = supervisor.run(CancellationToken::new()).await.unwrap_err();
    assert!(error.fatal);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}
