use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fake::faults::Fault;
use model::time::millis;
use node::context::DaemonContext;
use node::janitor;
use node::janitor::MAX_DELETED_ROWS;
use node::janitor::RETENTION;
use node::janitor::ROUND;
use peer::members::Profile;
use plat::table::Txn;
use plat::table::Write;
use route::proxy::intent::IntentRow;
use route::proxy::intent::IntentState;
use route::proxy::intent::PREFIX;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::drive::World;
use crate::drive::within;

/// Wall-clock time of the tests.
const NOW_MS: u64 = 1_800_000_000_000;
/// Long enough to delete a few hundred rows.
const MAX_WAIT: Duration = Duration::from_secs(120);

fn row(age: Duration) -> serde_json::Value {
    let row = IntentRow {
        state: IntentState::Answered { status: 200 },
        daemon: "d1".into(),
        unix_ms: NOW_MS - millis(age),
    };
    serde_json::to_value(row).expect("it is JSON")
}

fn put(world: &World, name: &str, age: Duration) {
    world
        .table
        .put(&format!("{PREFIX}parts/-/{name}"), row(age));
}

fn names(world: &World) -> Vec<String> {
    let rows = world.table.rows().rows_with_prefix(PREFIX);
    rows.into_iter().map(|row| row.key).collect()
}

async fn start(world: &World, name: &str) -> (Arc<DaemonContext>, JoinHandle<()>) {
    let cx = Arc::into_inner(world.cx(name).await).expect("there is no other reference");
    let cx = Arc::new(cx.with_unix_ms(|| NOW_MS));
    let part = janitor::run(cx.clone(), CancellationToken::new());
    let part = tokio::spawn(async move { part.await.expect("the part does not fail") });
    (cx, part)
}

#[tokio::test(start_paused = true)]
async fn rows_past_the_retention_are_deleted_and_all_others_stay() {
    let world = World::new(&[], Duration::ZERO);
    let second = Duration::from_secs(1);
    for number in 0..700 {
        put(&world, &format!("a-{number:03}"), RETENTION - second);
    }
    put(&world, "b-young", Duration::ZERO);
    put(&world, "b-old", RETENTION);
    put(&world, "c-older", RETENTION * 3);
    world
        .table
        .put(&format!("{PREFIX}d-unreadable"), serde_json::json!("old"));
    world.table.put("requests-of-others", row(RETENTION * 2));
    let _part = start(&world, "d1").await;
    let only_retained = || {
        let names = names(&world);
        names.len() == 702 && !names.iter().any(|name| name.ends_with("old"))
    };
    assert!(
        within(MAX_WAIT, async || only_retained()).await,
        "{:?}",
        names(&world).len()
    );
    assert!(names(&world).contains(&format!("{PREFIX}d-unreadable")));
    assert!(world.table.rows().row("requests-of-others").is_some());
}

#[tokio::test(start_paused = true)]
async fn a_row_written_between_its_read_and_its_deletion_stays() {
    let world = World::new(&[], Duration::ZERO);
    for name in ["a", "b", "c"] {
        put(&world, name, RETENTION);
    }
    let direct = world.table.direct();
    let mut platform = world.platform();
    let rewritten = Arc::new(AtomicU64::new(0));
    let (table, count) = (world.table.clone(), rewritten.clone());
    platform.table.commit = plat::call::call(move |txn: Txn| {
        let deletes = txn.writes.iter().any(is_deletion);
        if deletes && count.fetch_add(1, Ordering::Relaxed) == 0 {
            table.put(&format!("{PREFIX}parts/-/b"), row(Duration::ZERO));
        }
        (direct.commit)(txn)
    });
    let mut cx = Arc::into_inner(world.cx("d1").await).expect("there is no other reference");
    cx.platform = platform;
    let cx = Arc::new(cx.with_unix_ms(|| NOW_MS));
    let part = tokio::spawn(janitor::run(cx, CancellationToken::new()));
    let only_b = async || names(&world) == [format!("{PREFIX}parts/-/b")];
    assert!(within(MAX_WAIT, only_b).await, "{:?}", names(&world));
    sleep(MAX_WAIT).await;
    assert!(only_b().await, "the row has been renewed");
    part.abort();
}

fn is_deletion(write: &Write) -> bool {
    write.value.is_none() && write.key.starts_with(PREFIX)
}

#[tokio::test(start_paused = true)]
async fn no_round_deletes_more_than_its_bound() {
    let world = World::new(&[], Duration::ZERO);
    let rounds = 4;
    for number in 0..MAX_DELETED_ROWS * rounds {
        put(&world, &format!("{number:04}"), RETENTION);
    }
    let all = names(&world).len();
    let _part = start(&world, "d1").await;
    for round in 0..rounds {
        sleep(ROUND).await;
        let deleted = all - names(&world).len();
        assert!(
            deleted <= MAX_DELETED_ROWS * (round + 1),
            "{deleted} in {round}"
        );
    }
    let none = async || names(&world).is_empty();
    assert!(
        within(ROUND * 2, none).await,
        "all rows are deleted within the expected rounds"
    );
}

#[tokio::test(start_paused = true)]
async fn a_pass_continues_at_its_position_after_a_table_fault() {
    let faults: [(&str, Fault); 5] = [
        ("scan", Fault::Down),
        ("scan", Fault::Silent),
        ("commit", Fault::Down),
        ("commit", Fault::LostBefore),
        ("commit", Fault::LostAfter),
    ];
    for (op, fault) in faults {
        let world = World::new(&[], Duration::ZERO);
        for number in 0..MAX_DELETED_ROWS * 3 {
            put(&world, &format!("{number:04}"), RETENTION);
        }
        let (_cx, part) = start(&world, "d1").await;
        let all = names(&world).len();
        let deleting = async || names(&world).len() < all;
        assert!(within(MAX_WAIT, deleting).await);
        world.table.faults().set_for(op, fault.clone());
        sleep(ROUND * 4).await;
        assert!(
            !names(&world).is_empty() || fault == Fault::LostAfter,
            "{op} {fault:?}"
        );
        world.table.faults().clear();
        let none = async || names(&world).is_empty();
        assert!(within(ROUND * 6, none).await, "{op} {fault:?}");
        part.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn the_live_daemon_with_the_smallest_name_deletes_and_another_takes_over_at_its_death() {
    let world = World::new(&[], Duration::ZERO);
    put(&world, "old", RETENTION);
    let (cx, _part) = start(&world, "d2").await;
    let profile = Profile {
        incarnation: cx.identity().incarnation,
        half: "noord".into(),
        place: cx.settings.place.clone(),
        caller_address: cx.settings.listen.callers,
        peer_address: cx.settings.listen.peers,
    };
    let mut heartbeat = peer::heartbeat::Heartbeat {
        daemon: "d1".into(),
        incarnation: profile.incarnation,
        count: 0,
        doc: Default::default(),
        draining: false,
    };
    for _ in 0..60 {
        heartbeat.count += 1;
        cx.view().members.observe(&heartbeat, cx.clock.now());
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(names(&world).len(), 1, "the other daemon's name is smaller");
    let none = async || names(&world).is_empty();
    assert!(
        within(MAX_WAIT, none).await,
        "this daemon takes over from the dead one"
    );
}
