//! The log line of the owner that shows where time goes when it cannot keep up.

use std::time::Duration;

use crate::log_capture;
use crate::log_capture::Fields;
use crate::log_capture::started;
use crate::log_capture::submit;
use crate::store::StoreFault;

const SECOND: Duration = Duration::from_secs(1);

fn number(line: &Fields, name: &str) -> u64 {
    line[name].parse().expect("the field is a number")
}

/// Returns the sum of a field over all lines so far.
fn sum(name: &str) -> u64 {
    let lines = log_capture::lines("owner_load");
    lines.iter().map(|line| number(line, name)).sum()
}

#[tokio::test(start_paused = true)]
async fn the_owner_logs_once_a_second_what_it_did() {
    let world = started().await;
    submit(&world, 1).await;
    world.advance(5 * SECOND).await;
    let lines = log_capture::lines("owner_load");
    assert!((4..=6).contains(&lines.len()), "{lines:?}");
    assert_eq!(sum("in_time"), 1);
    assert_eq!(sum("late") + sum("hopeless") + sum("in_time_filling"), 0);
    assert!(sum("rows") >= 1, "{lines:?}");
    assert!(sum("row_bytes") > 0, "{lines:?}");
    assert!(sum("polls") >= 1, "{lines:?}");
    let last = lines.last().expect("there are lines");
    assert_eq!(number(last, "unstored_jobs"), 0);
    assert_eq!(number(last, "starts_in_flight"), 0);
}

#[tokio::test(start_paused = true)]
async fn tasks_that_wait_for_the_store_are_shown_and_so_is_how_long_they_waited() {
    let world = started().await;
    submit(&world, 1).await;
    // The job is known to the owner, and its assignment is not stored yet.
    world.host("a").store_fault.set(StoreFault::Refuses);
    world.advance(3 * SECOND).await;
    world.host("a").store_fault.set(StoreFault::None);
    world.advance(4 * SECOND).await;
    let lines = log_capture::lines("owner_load");
    let unstored = lines.iter().map(|line| number(line, "unstored_starts"));
    assert_eq!(unstored.max(), Some(1), "{lines:?}");
    let longest = lines.iter().map(|line| number(line, "store_ms")).max();
    assert!(longest >= Some(1_000), "{lines:?}");
}
