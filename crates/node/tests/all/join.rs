//! A daemon begins an incarnation under its name; of two with the same name, the older one ends.

use std::time::Duration;

use fake::faults::Fault;
use model::id::Incarnation;
use node::heartbeat;
use node::join::IncarnationRow;
use node::join::incarnation_key;
use node::join::join;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::drive::MAX_WAIT;
use crate::drive::SEED;
use crate::drive::World;
use crate::drive::addresses;
use crate::drive::settings;

fn stored_incarnation(world: &World) -> Option<Incarnation> {
    let row = world.table.rows().row(&incarnation_key(&"d1".into()))?;
    let row: IncarnationRow = serde_json::from_value(row.value).ok()?;
    Some(row.incarnation)
}

#[tokio::test(start_paused = true)]
async fn two_daemons_that_join_under_one_name_get_different_incarnations() {
    let faults = [None, Some(Fault::LostAfter), Some(Fault::LostBefore)];
    for fault in faults {
        let world = World::new(&[], Duration::ZERO);
        if let Some(fault) = &fault {
            world
                .table
                .faults()
                .set_next_for("commit", fault.clone(), 1);
        }
        let (table, settings) = (world.table.direct(), settings("d1"));
        let (left, right) = tokio::join!(
            join(&table, &settings, addresses(), SEED),
            join(&table, &settings, addresses(), SEED + 1),
        );
        // An incarnation whose answer was lost may be superseded, so numbers may be skipped.
        assert_ne!(left.incarnation, right.incarnation, "{fault:?}");
        let younger = left.incarnation.max(right.incarnation);
        assert_eq!(stored_incarnation(&world), Some(younger), "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_waits_for_the_table_before_it_joins() {
    let world = World::new(&[], Duration::ZERO);
    world.table.faults().set(Fault::Down);
    let (table, settings) = (world.table.direct(), settings("d1"));
    let joining = join(&table, &settings, addresses(), SEED);
    tokio::pin!(joining);
    assert!(timeout(MAX_WAIT, &mut joining).await.is_err());
    assert_eq!(stored_incarnation(&world), None);
    world.table.faults().clear();
    let owner = timeout(MAX_WAIT, joining)
        .await
        .expect("it joins once the table answers");
    assert_eq!(owner.incarnation, Incarnation(1));
}

#[tokio::test(start_paused = true)]
async fn the_older_of_two_daemons_of_one_name_ends_and_the_younger_keeps_running() {
    let world = World::new(&[], Duration::ZERO);
    let run = |cx| tokio::spawn(heartbeat::run(cx, addresses(), CancellationToken::new()));
    let older = run(world.cx("d1").await);
    let younger = run(world.cx("d1").await);
    let ended = timeout(MAX_WAIT, older)
        .await
        .expect("the older daemon ends");
    let error = ended
        .expect("the part does not panic")
        .expect_err("the older daemon must not continue");
    assert!(error.fatal, "the error is fatal: {error}");
    assert!(
        timeout(MAX_WAIT, younger).await.is_err(),
        "the younger daemon keeps running"
    );
}
