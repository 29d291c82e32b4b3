use std::time::Duration;

use fake::faults::Fault;
use fake::table::FakeTable;
use model::id::OpId;
use plat::settle::Settled;
use plat::settle::settle;
use plat::table::Txn;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::support::check;
use crate::support::delete;
use crate::support::txn;
use crate::support::write;

const PATIENCE: Duration = Duration::from_secs(30);
/// Longer than any late copy of a test is under way.
const LATE: Duration = Duration::from_secs(120);

fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Committed,
    Refused,
    Unknown,
}

fn fate(settled: &Settled) -> Fate {
    match settled {
        Settled::Committed => Fate::Committed,
        Settled::Refused(_) => Fate::Refused,
        Settled::Unknown => Fate::Unknown,
        Settled::Conflict { .. } => panic!("nobody else writes"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_transaction_takes_effect_once_whatever_happens_to_its_answers() {
    let ms = Duration::from_millis;
    // The faults of the commits in their order, the fate, and how often it took effect in the end.
    let cases: Vec<(&[Fault], Fate, u64)> = vec![
        (&[], Fate::Committed, 1),
        (&[Fault::Refused], Fate::Refused, 0),
        (&[Fault::Down], Fate::Refused, 0),
        (&[Fault::LostBefore], Fate::Committed, 1),
        (&[Fault::LostAfter], Fate::Committed, 1),
        (&[Fault::Silent], Fate::Committed, 1),
        (&[Fault::Twice], Fate::Committed, 1),
        (&[Fault::CutShort, Fault::Garbage], Fate::Committed, 1),
        (
            &[Fault::LostAfter, Fault::Refused, Fault::Down],
            Fate::Committed,
            1,
        ),
        (
            &[Fault::LostBefore, Fault::Refused, Fault::Down],
            Fate::Committed,
            1,
        ),
        (&[Fault::LostAfter, Fault::LostAfter], Fate::Committed, 1),
    ];
    for (faults, expected, effects) in cases {
        assert_fate(faults, expected, effects).await;
    }
    let late_before_the_repetition = [Fault::Late(ms(10))];
    assert_fate(&late_before_the_repetition, Fate::Committed, 1).await;
    let late_after_it = [Fault::Late(ms(5000)), Fault::Late(ms(5000))];
    assert_fate(&late_after_it, Fate::Committed, 1).await;
    let slow_beyond_the_deadline_of_a_call = [Fault::Slow(ms(10_000))];
    assert_fate(&slow_beyond_the_deadline_of_a_call, Fate::Committed, 1).await;
}

async fn assert_fate(faults: &[Fault], expected: Fate, effects: u64) {
    let fake = FakeTable::new();
    for fault in faults {
        fake.faults().set_next_for("commit", fault.clone(), 1);
    }
    let settled = settle(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
    sleep(LATE).await;
    assert_eq!(fate(&settled), expected, "{faults:?}");
    assert_eq!(fake.rows().commits(), effects, "{faults:?}");
}

#[tokio::test(start_paused = true)]
async fn answers_that_stay_lost_end_in_unknown_at_the_deadline() {
    for (fault, effects) in [
        (Fault::LostBefore, 0),
        (Fault::Silent, 0),
        (Fault::Failure, 1),
    ] {
        let fake = FakeTable::new();
        fake.faults().set(fault.clone());
        let begun = Instant::now();
        let settled = settle(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
        assert_eq!(settled, Settled::Unknown, "{fault:?}");
        assert!(begun.elapsed() <= PATIENCE, "{fault:?}");
        assert_eq!(fake.rows().commits(), effects, "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_the_deadline() {
    let fake = FakeTable::new();
    let past = Instant::now();
    let settled = settle(&fake.direct(), txn("op-1", "row", 0), past).await;
    assert!(matches!(settled, Settled::Refused(_)));
    assert_eq!(fake.faults().calls(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_row_of_somebody_else_is_a_conflict_with_its_content() {
    let fake = FakeTable::new();
    fake.put("row", json!("other"));
    fake.faults().set_next_for("read", Fault::LostBefore, 3);
    let settled = settle(&fake.direct(), txn("op-1", "row", 0), deadline()).await;
    let row = fake.rows().row("row");
    assert!(row.is_some());
    let key = "row".to_owned();
    assert_eq!(settled, Settled::Conflict { key, row });
}

/// Settles a transaction whose first copy lands with its answer lost, while somebody else does
/// something before it is repeated.
async fn settle_while(fake: &FakeTable, txn: Txn, meanwhile: impl FnOnce(&FakeTable)) -> Settled {
    fake.faults().set_next_for("commit", Fault::LostAfter, 1);
    let table = fake.direct();
    let until = deadline();
    let settling = tokio::spawn(async move { settle(&table, txn, until).await });
    sleep(Duration::from_millis(1)).await;
    meanwhile(fake);
    settling.await.expect("settling does not panic")
}

#[tokio::test(start_paused = true)]
async fn a_write_that_landed_and_was_overwritten_is_a_conflict_for_the_caller_to_judge() {
    let fake = FakeTable::new();
    let overwrite = |fake: &FakeTable| fake.put("row", json!("other"));
    let settled = settle_while(&fake, txn("op-1", "row", 0), overwrite).await;
    let Settled::Conflict { row: Some(row), .. } = settled else {
        panic!("{settled:?}");
    };
    assert_eq!(row.value, "other");
}

#[tokio::test(start_paused = true)]
async fn a_write_that_landed_is_committed_though_a_row_it_only_checks_moved_on() {
    let fake = FakeTable::new();
    fake.put("shard/a", json!(1));
    let mut ours = txn("op-1", "task/a/1", 0);
    ours.checks.insert(0, check("shard/a", 1));
    let next_owner = |fake: &FakeTable| fake.put("shard/a", json!(2));
    assert_eq!(
        settle_while(&fake, ours, next_owner).await,
        Settled::Committed
    );
}

#[tokio::test(start_paused = true)]
async fn a_move_that_landed_is_committed_though_the_row_it_checks_is_gone() {
    let fake = FakeTable::new();
    fake.put("task/a/1", json!("queued"));
    let moved = Txn {
        op: OpId::from("op-1"),
        checks: vec![check("task/a/1", 1), check("task/b/1", 0)],
        writes: vec![delete("task/a/1"), write("task/b/1", json!("queued"))],
    };
    assert_eq!(settle_while(&fake, moved, |_| ()).await, Settled::Committed);
    assert_eq!(fake.rows().rows_with_prefix("task/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_transaction_that_could_take_effect_twice_is_not_repeated() {
    // The checks of a transaction that writes none of the rows that it checks.
    for checks in [vec![], vec![check("other", 0)]] {
        let fake = FakeTable::new();
        let mut twice = txn("op-1", "row", 0);
        twice.checks = checks;
        let settled = settle_while(&fake, twice.clone(), |_| ()).await;
        assert_eq!(settled, Settled::Unknown, "{twice:?}");
        assert_eq!(fake.rows().commits(), 1, "{twice:?}");
    }
}
