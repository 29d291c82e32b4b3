//! Rows that no release would write: a host that reads them goes on, and all other jobs are run.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use dispatch::dependencies::RowId;
use dispatch::rows;

use crate::world::World;
use crate::world::job;
use crate::world::job_id;

const SECOND: Duration = Duration::from_secs(1);

/// Values that cannot be read, or say what cannot be.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let texts = [
        "",
        "null",
        "{}",
        "[]",
        "{\"q\":7}",
        "\u{0}\u{1}\u{2}",
        "{\"q\":\"queue\",\"at\":18446744073709551616,\"j\":{\"payload\":\"p\",\"steps\":[]}}",
        "{\"q\":\"queue\",\"at\":18446744073709551615,\"j\":{\"payload\":\"p\",\"steps\":[]}}",
        "{\"q\":\"no queue\",\"at\":7,\"j\":{\"payload\":\"p\",\"steps\":[{\"count\":4294967295}]}}",
        "{\"s\":\"r\",\"d\":[4294967295],\"t\":[{\"n\":4294967295,\"r\":18446744073709551615}]}",
        "{\"s\":\"r\",\"a\":[{\"n\":0,\"r\":18446744073709551615,\"e\":\"\",\"b\":18446744073709551615}]}",
        &nested,
    ];
    let texts = texts.iter().map(|text| text.as_bytes().to_vec());
    texts.chain([vec![1, 255, 255], vec![0xff; 300]]).collect()
}

/// Writes odd rows under the ids of jobs from `first` on, and under keys that name none.
fn write_odd_rows(world: &World, first: u64) {
    for (value, number) in odd_values().into_iter().zip(first..) {
        let id = job_id(number);
        world.store.put(rows::job_row_id(id), value.clone());
        world.store.put(rows::run_row_id(id), value.clone());
        let cancelled = job_id(number + 500);
        world
            .store
            .put(rows::cancellation_row_id(cancelled), value.clone());
        let table = [rows::JOBS_TABLE, rows::RUNS_TABLE];
        for (table, part) in table.into_iter().zip(["jobs-0", rows::OWNED_PART]) {
            let key = format!("odd {number}");
            world.store.put(RowId { table, part, key }, value.clone());
        }
        world.store.put(rows::interference_row_id(), value);
    }
}

/// Guards against an odd row that ends each host that reads it, in the first read, in the feed or in a
/// takeover, and against jobs that wait because of it.
#[tokio::test(start_paused = true)]
async fn odd_rows_stop_no_other_job() {
    let world = World::new(2);
    write_odd_rows(&world, 1_000);
    world.start("a");
    world.advance(2 * SECOND).await;
    assert_eq!(
        world.submit("a", 1, job(2)).await,
        SubmitOutcome::Accepted,
        "after the first read"
    );
    write_odd_rows(&world, 3_000);
    assert_eq!(world.submit("a", 2, job(2)).await, SubmitOutcome::Accepted);
    world.wait_until_succeeded("a", &[1, 2], 10 * SECOND).await;
    world.submit("a", 3, job(2)).await;
    world.kill("a");
    world.start("b");
    world.submit("b", 4, job(2)).await;
    world.wait_until_succeeded("b", &[3, 4], 20 * SECOND).await;
    world.assert_no_violations();
}
