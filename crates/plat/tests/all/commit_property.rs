//! Property test: two writers append to one row while random faults occur.

use std::time::Duration;

use fake::faults::Fault;
use fake::table::FakeTable;
use model::id::OpId;
use model::id::RowVersion;
use plat::commit::TxnOutcome;
use plat::commit::commit_with_retries;
use plat::table::Table;
use plat::table::Txn;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::support::check;
use crate::support::write;

const SEED: u64 = 20_261_203;
const GEN_SIZE: usize = 40;
const CASES: u64 = 300;
const APPENDS: usize = 10;
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_DELAY: Duration = Duration::from_secs(120);
const ROW: &str = "row";

/// A random fault of a commit, or none.
#[derive(Clone, Debug)]
struct RandomFault(Option<Fault>);

impl Arbitrary for RandomFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let late = Fault::Late(Duration::from_millis(u64::arbitrary(g) % 6000));
        let slow = Fault::Slow(Duration::from_millis(u64::arbitrary(g) % 6000));
        let faults = [
            None,
            None,
            Some(Fault::Refused),
            Some(Fault::LostBefore),
            Some(Fault::LostAfter),
            Some(Fault::Twice),
            Some(Fault::Silent),
            Some(late),
            Some(slow),
        ];
        Self(g.choose(&faults).cloned().flatten())
    }
}

/// Returns the ids of the transactions that a row lists.
fn listed(value: Option<&Value>) -> Vec<String> {
    let ops = value.and_then(Value::as_array).into_iter().flatten();
    ops.filter_map(|op| op.as_str().map(str::to_owned))
        .collect()
}

async fn append(table: &Table, op: &str) -> TxnOutcome {
    let row = (table.read)(ROW.to_owned())
        .await
        .expect("reads meet no fault");
    let version = row.as_ref().map_or(RowVersion(0), |row| row.version);
    let mut ops = listed(row.as_ref().map(|row| &row.value));
    ops.push(op.to_owned());
    let txn = Txn {
        op: OpId::from(op),
        checks: vec![check(ROW, version.0)],
        writes: vec![write(ROW, json!(ops))],
    };
    commit_with_retries(table, txn, Instant::now() + TIMEOUT).await
}

async fn writer(name: &'static str, table: Table) -> Vec<(String, TxnOutcome)> {
    let mut outcomes = Vec::new();
    for number in 0..APPENDS {
        let op = format!("{name}-{number}");
        let outcome = append(&table, &op).await;
        outcomes.push((op, outcome));
        sleep(Duration::from_millis(7)).await;
    }
    outcomes
}

/// Returns whether the outcome that a writer received agrees with the final row.
fn agrees(op: &String, outcome: &TxnOutcome, final_ops: &[String]) -> bool {
    let count = final_ops.iter().filter(|listed| *listed == op).count();
    match outcome {
        TxnOutcome::Committed => count == 1,
        TxnOutcome::Refused(_) => count == 0,
        TxnOutcome::Unknown => count <= 1,
        TxnOutcome::Conflict { row, .. } => {
            let listed_at_conflict = listed(row.as_ref().map(|row| &row.value));
            count == usize::from(listed_at_conflict.contains(op))
        }
    }
}

async fn race(faults: Vec<RandomFault>) -> TestResult {
    let fake = FakeTable::new();
    for RandomFault(fault) in &faults {
        let fault = fault.clone().unwrap_or(Fault::Slow(Duration::ZERO));
        fake.faults().set_next_for("commit", fault, 1);
    }
    let left = tokio::spawn(writer("left", fake.direct()));
    let right = tokio::spawn(writer("right", fake.direct()));
    let mut outcomes = left.await.expect("the writer ends");
    outcomes.extend(right.await.expect("the writer ends"));
    sleep(MAX_DELAY).await;
    let row = fake.rows().row(ROW);
    let final_ops = listed(row.as_ref().map(|row| &row.value));
    let violation = outcomes
        .iter()
        .find(|(op, outcome)| !agrees(op, outcome, &final_ops));
    match violation {
        Some(violation) => TestResult::error(format!("{violation:?} against {final_ops:?}")),
        None => TestResult::passed(),
    }
}

#[test]
fn the_reported_outcome_agrees_with_the_final_row() {
    fn property(faults: Vec<RandomFault>) -> TestResult {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        runtime.expect("a runtime is made").block_on(race(faults))
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Vec<RandomFault>) -> TestResult);
}
