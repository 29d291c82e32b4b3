//! A daemon begins a life under its name; of two with one name, the older gives way.

use std::time::Duration;

use fake::faults::Fault;
use model::id::Incarnation;
use node::heartbeat;
use node::join::Life;
use node::join::join;
use node::join::life_key;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::drive::PATIENCE;
use crate::drive::SEED;
use crate::drive::World;
use crate::drive::addresses;
use crate::drive::settings;

fn life(world: &World) -> Option<Incarnation> {
    let row = world.table.rows().row(&life_key(&"d1".into()))?;
    let life: Life = serde_json::from_value(row.value).ok()?;
    Some(life.incarnation)
}

#[tokio::test(start_paused = true)]
async fn two_daemons_of_one_name_that_race_begin_one_life_each() {
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
        // A life whose answer was lost may be overtaken and given up, so numbers may be left out.
        assert_ne!(left.incarnation, right.incarnation, "{fault:?}");
        let younger = left.incarnation.max(right.incarnation);
        assert_eq!(life(&world), Some(younger), "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_waits_for_the_table_to_begin_its_life() {
    let world = World::new(&[], Duration::ZERO);
    world.table.faults().set(Fault::Down);
    let (table, settings) = (world.table.direct(), settings("d1"));
    let joining = join(&table, &settings, addresses(), SEED);
    tokio::pin!(joining);
    assert!(timeout(PATIENCE, &mut joining).await.is_err());
    assert_eq!(life(&world), None);
    world.table.faults().clear();
    let owner = timeout(PATIENCE, joining).await.expect("it joins now");
    assert_eq!(owner.incarnation, Incarnation(1));
}

#[tokio::test(start_paused = true)]
async fn the_older_of_two_daemons_of_one_name_ends_and_the_younger_goes_on() {
    let world = World::new(&[], Duration::ZERO);
    let run = |cx| tokio::spawn(heartbeat::run(cx, addresses(), CancellationToken::new()));
    let older = run(world.cx("d1").await);
    let younger = run(world.cx("d1").await);
    let ended = timeout(PATIENCE, older).await.expect("it ends");
    let error = ended
        .expect("it does not panic")
        .expect_err("it cannot go on");
    assert!(error.fatal, "no restart helps: {error}");
    assert!(timeout(PATIENCE, younger).await.is_err(), "it goes on");
}
