use fake::faults::Fault;
use fake::table::FakeTable;
use model::id::RowVersion;
use plat::error::CallError;
use plat::table;
use plat::table::Table;
use plat::table::TableError;

use crate::support::CallOutcome;
use crate::support::LOOPBACK;
use crate::support::call_outcome;
use crate::support::check;
use crate::support::client;
use crate::support::delete;
use crate::support::endpoint;
use crate::support::fault_cases;
use crate::support::txn;
use crate::support::write;

fn call_error<T>(response: Result<T, TableError>) -> Result<T, CallError> {
    response.map_err(|error| match error {
        TableError::Call(error) => error,
        TableError::Conflict { .. } => panic!("unexpected conflict"),
    })
}

async fn commit_under(fault: Option<&Fault>, fake: &FakeTable, table: &Table) -> CallOutcome {
    let opening = (table.read)("other".to_owned()).await;
    assert_eq!(opening, Ok(None));
    if let Some(fault) = fault {
        fake.faults().set_next(fault.clone(), 1);
    }
    call_outcome(&call_error((table.commit)(txn("op-1", "row", 0)).await))
}

#[tokio::test]
async fn a_commit_over_http_reports_the_outcome_that_each_fault_permits() {
    for (fault, expected, executions) in fault_cases() {
        let fake = FakeTable::new();
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        let faulty = endpoint(server.address(), fault.as_ref());
        // The read that opens the connection uses a timeout that cannot expire.
        let without_fault = endpoint(server.address(), None);
        let client = client();
        let table = Table {
            read: table::http(&client, without_fault).read,
            ..table::http(&client, faulty)
        };
        let outcome = commit_under(fault.as_ref(), &fake, &table).await;
        assert_eq!(outcome, expected, "{fault:?}");
        assert_eq!(fake.rows().commits(), u64::from(executions), "{fault:?}");
        assert_eq!(
            fake.faults().calls(),
            2,
            "the commit is sent once under {fault:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_commit_without_a_socket_reports_the_same_outcome_as_over_http() {
    for (fault, expected, executions) in fault_cases() {
        let fake = FakeTable::new();
        let outcome = commit_under(fault.as_ref(), &fake, &fake.direct()).await;
        assert_eq!(outcome, expected, "{fault:?}");
        assert_eq!(fake.rows().commits(), u64::from(executions), "{fault:?}");
    }
}

#[tokio::test]
async fn an_unreachable_table_is_reported_as_refused() {
    let fake = FakeTable::new();
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let table = table::http(&client(), endpoint(server.address(), None));
    server.stop().await;
    let outcome = call_error((table.commit)(txn("op-1", "row", 0)).await);
    assert_eq!(call_outcome(&outcome), CallOutcome::Refused);
}

#[tokio::test]
async fn a_connection_closed_on_accept_leaves_the_outcome_unknown() {
    let fake = FakeTable::new();
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let table = table::http(&client(), endpoint(server.address(), None));
    fake.faults().set_next(Fault::Down, 1);
    let closed = call_error((table.commit)(txn("op-1", "row", 0)).await);
    assert_eq!(call_outcome(&closed), CallOutcome::Unknown);
    assert_eq!(fake.rows().commits(), 0);
    let retried = call_error((table.commit)(txn("op-2", "row", 0)).await);
    assert_eq!(call_outcome(&retried), CallOutcome::Answered);
}

#[tokio::test]
async fn a_commit_delivered_twice_is_executed_once_and_reports_the_conflict() {
    let fake = FakeTable::new();
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let table = table::http(&client(), endpoint(server.address(), None));
    fake.faults().set_next(Fault::Twice, 1);
    let conflict = TableError::Conflict {
        key: "row".to_owned(),
        actual: RowVersion(1),
    };
    assert_eq!((table.commit)(txn("op-1", "row", 0)).await, Err(conflict));
    assert_eq!(fake.rows().commits(), 1);
}

#[tokio::test]
async fn a_conflict_names_the_first_row_that_fails_and_nothing_is_written() {
    let fake = FakeTable::new();
    fake.put("b", "other".into());
    fake.put("c", "other".into());
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let table = table::http(&client(), endpoint(server.address(), None));
    let mut several = txn("op-1", "a", 0);
    several.checks.extend([check("b", 7), check("c", 9)]);
    several.writes.push(write("b", "ours".into()));
    let conflict = TableError::Conflict {
        key: "b".to_owned(),
        actual: RowVersion(1),
    };
    assert_eq!((table.commit)(several).await, Err(conflict));
    assert_eq!((table.read)("a".to_owned()).await, Ok(None));
    let untouched = fake.rows().row("b").expect("the row is there");
    assert_eq!(untouched.value, "other");
}

#[tokio::test(start_paused = true)]
async fn a_recreated_row_continues_its_version_count() {
    let table = FakeTable::new().direct();
    assert_eq!(
        (table.commit)(txn("op-1", "row", 0)).await,
        Ok(vec![RowVersion(1)])
    );
    let mut deletion = txn("op-2", "row", 1);
    deletion.writes = vec![delete("row")];
    assert_eq!((table.commit)(deletion).await, Ok(vec![RowVersion(0)]));
    assert_eq!(
        (table.commit)(txn("op-3", "row", 0)).await,
        Ok(vec![RowVersion(3)])
    );
    let late = (table.commit)(txn("op-4", "row", 1)).await;
    assert!(matches!(late, Err(TableError::Conflict { .. })));
}
