//! Two writers append to one row under faults drawn at random.

use std::time::Duration;

use fake::faults::Fault;
use fake::table::FakeTable;
use model::id::OpId;
use model::id::RowVersion;
use plat::settle::Settled;
use plat::settle::settle;
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
const PATIENCE: Duration = Duration::from_secs(20);
const LATE: Duration = Duration::from_secs(120);
const ROW: &str = "row";

/// One fault of a commit, or none.
#[derive(Clone, Debug)]
struct Drawn(Option<Fault>);

impl Arbitrary for Drawn {
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

/// Returns the ops that a row lists.
fn listed(value: Option<&Value>) -> Vec<String> {
    let ops = value.and_then(Value::as_array).into_iter().flatten();
    ops.filter_map(|op| op.as_str().map(str::to_owned))
        .collect()
}

async fn append(table: &Table, op: &str) -> Settled {
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
    settle(table, txn, Instant::now() + PATIENCE).await
}

async fn writer(name: &'static str, table: Table) -> Vec<(String, Settled)> {
    let mut settled = Vec::new();
    for number in 0..APPENDS {
        let op = format!("{name}-{number}");
        let fate = append(&table, &op).await;
        settled.push((op, fate));
        sleep(Duration::from_millis(7)).await;
    }
    settled
}

/// Returns whether what a writer was told agrees with the row in the end.
fn agrees(op: &String, settled: &Settled, in_the_end: &[String]) -> bool {
    let times = in_the_end.iter().filter(|listed| *listed == op).count();
    match settled {
        Settled::Committed => times == 1,
        Settled::Refused(_) => times == 0,
        Settled::Unknown => times <= 1,
        Settled::Conflict { row, .. } => {
            let then = listed(row.as_ref().map(|row| &row.value));
            times == usize::from(then.contains(op))
        }
    }
}

async fn race(faults: Vec<Drawn>) -> TestResult {
    let fake = FakeTable::new();
    for Drawn(fault) in &faults {
        let fault = fault.clone().unwrap_or(Fault::Slow(Duration::ZERO));
        fake.faults().set_next_for("commit", fault, 1);
    }
    let left = tokio::spawn(writer("left", fake.direct()));
    let right = tokio::spawn(writer("right", fake.direct()));
    let mut told = left.await.expect("the writer ends");
    told.extend(right.await.expect("the writer ends"));
    sleep(LATE).await;
    let row = fake.rows().row(ROW);
    let in_the_end = listed(row.as_ref().map(|row| &row.value));
    let liar = told
        .iter()
        .find(|(op, fate)| !agrees(op, fate, &in_the_end));
    match liar {
        Some(liar) => TestResult::error(format!("{liar:?} against {in_the_end:?}")),
        None => TestResult::passed(),
    }
}

#[test]
fn what_a_writer_is_told_agrees_with_the_row_in_the_end() {
    fn property(faults: Vec<Drawn>) -> TestResult {
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
        .quickcheck(property as fn(Vec<Drawn>) -> TestResult);
}
