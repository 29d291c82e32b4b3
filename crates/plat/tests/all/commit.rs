use std::time::Duration;

use fake::faults::Fault;
use fake::table::FakeTable;
use model::id::OpId;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Txn;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::support::check;
use crate::support::delete;
use crate::support::txn;
use crate::support::write;

const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than any delayed copy of a test is in flight.
const MAX_DELAY: Duration = Duration::from_secs(120);

fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutcomeKind {
    Committed,
    Refused,
    Unknown,
}

fn outcome_kind(outcome: &TxnOutcome) -> OutcomeKind {
    match outcome {
        TxnOutcome::Committed => OutcomeKind::Committed,
        TxnOutcome::Refused(_) => OutcomeKind::Refused,
        TxnOutcome::Unknown => OutcomeKind::Unknown,
        TxnOutcome::Conflict { .. } => panic!("there is no other writer"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_transaction_takes_effect_at_most_once_under_every_response_fault() {
    let ms = Duration::from_millis;
    // The faults of the commits in their order, the outcome, and how often the transaction took
    // effect.
    let cases: Vec<(&[Fault], OutcomeKind, u64)> = vec![
        (&[], OutcomeKind::Committed, 1),
        (&[Fault::Refused], OutcomeKind::Refused, 0),
        (&[Fault::Down], OutcomeKind::Refused, 0),
        (&[Fault::LostBefore], OutcomeKind::Committed, 1),
        (&[Fault::LostAfter], OutcomeKind::Committed, 1),
        (&[Fault::Silent], OutcomeKind::Committed, 1),
        (&[Fault::Twice], OutcomeKind::Committed, 1),
        (
            &[Fault::CutShort, Fault::Garbage],
            OutcomeKind::Committed,
            1,
        ),
        (
            &[Fault::LostAfter, Fault::Refused, Fault::Down],
            OutcomeKind::Committed,
            1,
        ),
        (
            &[Fault::LostBefore, Fault::Refused, Fault::Down],
            OutcomeKind::Committed,
            1,
        ),
        (
            &[Fault::LostAfter, Fault::LostAfter],
            OutcomeKind::Committed,
            1,
        ),
    ];
    for (faults, expected, effects) in cases {
        assert_outcome(faults, expected, effects).await;
    }
    let delayed_until_before_the_retry = [Fault::Late(ms(10))];
    assert_outcome(&delayed_until_before_the_retry, OutcomeKind::Committed, 1).await;
    let delayed_until_after_the_retry = [Fault::Late(ms(5000)), Fault::Late(ms(5000))];
    assert_outcome(&delayed_until_after_the_retry, OutcomeKind::Committed, 1).await;
    let slower_than_the_timeout_of_a_call = [Fault::Slow(ms(10_000))];
    assert_outcome(
        &slower_than_the_timeout_of_a_call,
        OutcomeKind::Committed,
        1,
    )
    .await;
}

async fn assert_outcome(faults: &[Fault], expected: OutcomeKind, effects: u64) {
    let fake = FakeTable::new();
    for fault in faults {
        fake.faults().set_next_for("commit", fault.clone(), 1);
    }
    let outcome = commit_with_retries(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
    sleep(MAX_DELAY).await;
    assert_eq!(outcome_kind(&outcome), expected, "{faults:?}");
    assert_eq!(fake.rows().commits(), effects, "{faults:?}");
}

#[tokio::test(start_paused = true)]
async fn lost_responses_end_in_unknown_at_the_deadline() {
    for (fault, effects) in [
        (Fault::LostBefore, 0),
        (Fault::Silent, 0),
        (Fault::Failure, 1),
    ] {
        let fake = FakeTable::new();
        fake.faults().set(fault.clone());
        let started = Instant::now();
        let outcome = commit_with_retries(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
        assert_eq!(outcome, TxnOutcome::Unknown, "{fault:?}");
        assert!(started.elapsed() <= TIMEOUT, "{fault:?}");
        assert_eq!(fake.rows().commits(), effects, "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_the_deadline() {
    let fake = FakeTable::new();
    let past = Instant::now();
    let outcome = commit_with_retries(&fake.direct(), txn("op-1", "row", 0), past).await;
    assert!(matches!(outcome, TxnOutcome::Refused(_)));
    assert_eq!(fake.faults().calls(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_row_of_another_writer_is_a_conflict_with_its_content() {
    let fake = FakeTable::new();
    fake.put("row", json!("other"));
    fake.faults().set_next_for("read", Fault::LostBefore, 3);
    let outcome = commit_with_retries(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
    let row = fake.rows().row("row");
    assert!(row.is_some());
    let key = "row".to_owned();
    assert_eq!(outcome, TxnOutcome::Conflict { key, row });
}

/// Commits a transaction whose first copy takes effect with its response lost; `meanwhile` runs
/// before the retry.
async fn commit_while(
    fake: &FakeTable,
    txn: Txn,
    meanwhile: impl FnOnce(&FakeTable),
) -> TxnOutcome {
    fake.faults().set_next_for("commit", Fault::LostAfter, 1);
    let table = fake.direct();
    let until = deadline();
    let committing = tokio::spawn(async move { commit_with_retries(&table, txn, until).await });
    sleep(Duration::from_millis(1)).await;
    meanwhile(fake);
    committing.await.expect("committing does not panic")
}

#[tokio::test(start_paused = true)]
async fn a_committed_write_that_was_overwritten_is_reported_as_a_conflict() {
    let fake = FakeTable::new();
    let overwrite = |fake: &FakeTable| fake.put("row", json!("other"));
    let outcome = commit_while(&fake, txn("op-1", "row", 0), overwrite).await;
    let TxnOutcome::Conflict { row: Some(row), .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(row.value, "other");
}

#[tokio::test(start_paused = true)]
async fn a_committed_write_is_recognised_after_a_row_it_only_checks_changed() {
    let fake = FakeTable::new();
    fake.put("shard/a", json!(1));
    let mut ours = txn("op-1", "task/a/1", 0);
    ours.checks.insert(0, check("shard/a", 1));
    let next_owner = |fake: &FakeTable| fake.put("shard/a", json!(2));
    assert_eq!(
        commit_while(&fake, ours, next_owner).await,
        TxnOutcome::Committed
    );
}

#[tokio::test(start_paused = true)]
async fn a_committed_move_is_recognised_after_the_row_it_checks_is_deleted() {
    let fake = FakeTable::new();
    fake.put("task/a/1", json!("queued"));
    let moved = Txn {
        op: OpId::from("op-1"),
        checks: vec![check("task/a/1", 1), check("task/b/1", 0)],
        writes: vec![delete("task/a/1"), write("task/b/1", json!("queued"))],
    };
    assert_eq!(
        commit_while(&fake, moved, |_| ()).await,
        TxnOutcome::Committed
    );
    assert_eq!(fake.rows().rows_with_prefix("task/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_transaction_that_could_take_effect_twice_is_not_retried() {
    // Checks that contain no row that the transaction writes.
    for checks in [vec![], vec![check("other", 0)]] {
        let fake = FakeTable::new();
        let mut twice = txn("op-1", "row", 0);
        twice.checks = checks;
        let outcome = commit_while(&fake, twice.clone(), |_| ()).await;
        assert_eq!(outcome, TxnOutcome::Unknown, "{twice:?}");
        assert_eq!(fake.rows().commits(), 1, "{twice:?}");
    }
}
