use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use fake::table::FakeTable;
use model::id::OpId;
use model::id::RowVersion;
use plat::call::call;
use plat::error::CallError;
use plat::table;
use plat::table::MAX_SCAN_ROWS;
use plat::table::Row;
use plat::table::Scan;
use plat::table::Table;
use plat::table::TableError;
use plat::table::scan_all;

use crate::support::LOOPBACK;
use crate::support::client;
use crate::support::endpoint;

const BELOW: usize = 2 * MAX_SCAN_ROWS + 1;

#[tokio::test]
async fn a_scan_pages_through_all_rows_below_the_prefix_and_no_others() {
    let fake = FakeTable::new();
    for number in 0..BELOW {
        fake.put(&format!("task/a/{number:06}"), number.into());
    }
    for key in ["task/", "task/a", "task/b/1", "task0"] {
        fake.put(key, "other".into());
    }
    let server = fake.serve(LOOPBACK).await.expect("a port is free");
    let table = table::http(
        &client(),
        endpoint(server.address(), None).max_response_bytes(1 << 20),
    );
    let rows = scan_all(&table, "task/a/").await.expect("no fault is set");
    let numbers: Vec<_> = rows.iter().filter_map(|row| row.value.as_u64()).collect();
    assert_eq!(numbers, (0..BELOW as u64).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn a_page_that_does_not_match_its_request_is_rejected() {
    let row = |key: &str| Row {
        key: key.to_owned(),
        value: key.into(),
        version: RowVersion(1),
        op: OpId::from("op"),
    };
    // If accepted, each page would cause an endless loop, duplicate rows or rows of another prefix.
    let pages = [
        ("the same page again and again", vec![row("a/1")]),
        ("out of order", vec![row("a/2"), row("a/1")]),
        ("below another prefix", vec![row("b/1")]),
        ("a row twice", vec![row("a/1"), row("a/1")]),
    ];
    for (name, page) in pages {
        let requests = AtomicUsize::new(0);
        let table = Table {
            scan: call(move |_: Scan| {
                // Ends the loop of a scan that accepts the page, so that the test fails.
                let repeat = requests.fetch_add(1, Ordering::Relaxed) < 3;
                let page = if repeat { page.clone() } else { Vec::new() };
                async move { Ok(page) }
            }),
            ..FakeTable::new().direct()
        };
        let scanned = scan_all(&table, "a/").await;
        let unknown = matches!(scanned, Err(TableError::Call(CallError::Unknown(_))));
        assert!(unknown, "{name}");
    }
}
