//! Owners of shards come and go, and tasks move between them: nothing is lost or doubled.

use std::time::Duration;

use fake::faults::Fault;
use lease::record::Phase;
use lease::record::TaskSpec;
use lease::timing::OWNER_STORE_TIMEOUT;
use lease::timing::Timing;
use model::Size;
use model::id::Epoch;
use model::id::TaskId;
use node::join::join;
use node::shards::input::Reply;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use tokio::time::sleep;

use crate::drive::Node;
use crate::drive::PATIENCE;
use crate::drive::SEED;
use crate::drive::World;
use crate::drive::addresses;
use crate::drive::spawn_part;
use crate::drive::spec;
use crate::drive::urgent;
use crate::drive::within;

/// Far longer than any test.
const FOREVER: Duration = Duration::from_secs(1_000_000);
/// Within this, our users want urgent tasks to start.
const URGENT_START: Duration = Duration::from_millis(2500);

/// Two reads of the shards' rows and a start, well below the 30 s between two rescans.
const SOON: Duration = Duration::from_secs(8);

/// A task that takes a whole worker.
fn whole(name: &str) -> TaskSpec {
    TaskSpec {
        size: Size::new(8000, 8192, 0),
        ..spec(name)
    }
}

async fn submitted(node: &Node, spec: &TaskSpec) {
    let done = async || matches!(node.submit(spec).await, Reply::Done(_));
    assert!(within(PATIENCE, done).await, "{} is accepted", spec.task);
}

/// Ends the part as a panic does and begins a new life, as its supervisor has it done.
async fn restart(node: &mut Node) {
    node.part.abort();
    let cx = &node.cx;
    let identity = join(&cx.outside.table, &cx.settings, addresses(), SEED ^ 1).await;
    cx.set_identity(identity);
    node.part = spawn_part(cx, &node.token);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_part_takes_its_shards_in_a_new_life_and_doubles_nothing() {
    let world = World::new(&["r1"], FOREVER);
    let mut node = world.node("d1").await;
    for number in 0..6 {
        submitted(&node, &spec(&format!("visit-{number}"))).await;
    }
    let begun = async || world.ledger.counts().started == 6;
    assert!(within(PATIENCE, begun).await);
    let before = world.shard_row("r1").expect("it is owned");
    // Messages of the old owner reach the worker late.
    world.fleet[0]
        .faults()
        .set_next(Fault::Late(Duration::from_secs(9)), 2);
    sleep(Duration::from_secs(6)).await;
    restart(&mut node).await;
    let taken = async || {
        let row = world.shard_row("r1").expect("it is owned");
        row.epoch > before.epoch && row.owner.is_some_and(|owner| owner == node.cx.identity())
    };
    assert!(within(PATIENCE, taken).await);
    sleep(PATIENCE).await;
    world.assert_kept();
    assert_eq!(world.ledger.counts().started, 6, "all go on where they are");
    let late = WorkerMessage {
        epoch: before.epoch,
        sequence: u64::MAX,
        answers: 0,
        lease_ms: 0,
        commands: Vec::new(),
    };
    let fenced = world.fleet[0].handle_message(&late);
    let epoch = world.shard_row("r1").expect("it is owned").epoch;
    assert_eq!(
        fenced,
        Err(WorkerError::Fenced { epoch }),
        "nothing of it is done"
    );
    submitted(&node, &spec("after")).await;
    assert!(within(PATIENCE, async || world.begun("after") == 1).await);
}

/// The answer to the claim of the earlier life comes when the new one has begun.
#[tokio::test(start_paused = true)]
async fn a_claim_of_an_earlier_life_begins_no_owner_in_the_new_one() {
    let world = World::new(&["r1"], FOREVER);
    let mut node = world.node("d1").await;
    let slow = Duration::from_millis(1900);
    let commits = world.table.faults();
    let claimed = async || world.shard_row("r1").is_some();
    commits.set_for("commit", Fault::Slow(slow));
    assert!(within(PATIENCE, claimed).await);
    commits.clear();
    restart(&mut node).await;
    sleep(slow).await;
    let me = node.cx.identity();
    let mut taken_over = Vec::new();
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        let row = world.shard_row("r1").expect("it is owned");
        if node.serves("r1").await && row.owner.as_ref() != Some(&me) {
            taken_over.push(row.epoch);
        }
    }
    assert_eq!(taken_over, [], "it serves in no life but its own");
    assert_eq!(world.shard_row("r1").expect("it is owned").epoch, Epoch(2));
}

/// A peer moved a task to this daemon's shard, and its word of it was lost.
#[tokio::test(start_paused = true)]
async fn a_task_whose_hand_off_nobody_told_of_is_found_by_the_next_rescan() {
    let world = World::new(&["r1", "r2"], FOREVER);
    let first = world.node("d1").await;
    let second = world.node("d2").await;
    let one_each = async || {
        let owner = |shard| world.shard_row(shard).and_then(|row| row.owner);
        matches!((owner("r1"), owner("r2")), (Some(a), Some(b)) if a.daemon != b.daemon)
    };
    assert!(within(PATIENCE * 5, one_each).await, "one shard each");
    let (node, from) = if first.serves("r1").await {
        (&first, "r1")
    } else {
        (&second, "r1")
    };
    // No worker of this shard has room for the second one, so it is moved to the other daemon's.
    let at = |name: &str| whole(name);
    let submit = async |name: &str| {
        let done = Reply::Done(from.into());
        let accepted = async || node.submit_at(Some(from), &at(name)).await == done;
        assert!(within(PATIENCE, accepted).await, "{name}");
    };
    submit("stays").await;
    assert!(within(PATIENCE, async || world.begun("stays") == 1).await);
    submit("moves").await;
    move_by_hand(&world, "moves", "r1", "r2");
    assert!(within(Duration::from_secs(35), async || world.begun("moves") == 1).await);
    world.assert_kept();
}

/// Moves a queued task below another shard as the transaction of a hand-off does.
fn move_by_hand(world: &World, task: &str, from: &str, to: &str) {
    let (old, mut row) = world
        .tasks()
        .into_iter()
        .find(|(key, _)| key.ends_with(task))
        .expect("it waits");
    assert_eq!(row.phase, Phase::Queued, "it waits");
    row.spec.task = TaskId::from(task);
    let delete = plat::table::Write {
        key: old,
        value: None,
    };
    let write = plat::table::Write {
        key: lease::record::key::task(&to.into(), &task.into()),
        value: serde_json::to_value(&row).ok(),
    };
    let txn = plat::table::Txn {
        op: format!("move/{from}/{task}").into(),
        checks: Vec::new(),
        writes: vec![delete, write],
    };
    world.table.rows().commit(&txn).expect("nothing is checked");
}

async fn submit_whole_at(node: &Node, shard: &str, name: &str) {
    let accepted = async || {
        let reply = node.submit_at(Some(shard), &whole(name)).await;
        reply == Reply::Done(shard.into())
    };
    assert!(within(PATIENCE, accepted).await, "{name}");
}

/// Starts a daemon with two shards of one worker, fills one of them, and returns its name and that
/// of the other one.
async fn one_of_two_full() -> (World, Node, &'static str, &'static str) {
    let world = World::new(&["r1", "r2"], FOREVER);
    let node = world.node("d1").await;
    let both = async || node.serves("r1").await && node.serves("r2").await;
    assert!(within(PATIENCE, both).await);
    submit_whole_at(&node, "r1", "first").await;
    assert!(within(PATIENCE, async || world.begun("first") == 1).await);
    let first_is_full = !world.fleet[0].running().is_empty();
    let (full, free) = if first_is_full {
        ("r1", "r2")
    } else {
        ("r2", "r1")
    };
    (world, node, full, free)
}

/// The scheduler picks a worker of another shard of the same daemon.
#[tokio::test(start_paused = true)]
async fn a_start_on_another_own_shard_moves_the_task_first_and_starts_it_once() {
    for fault in [None, Some(Fault::LostAfter), Some(Fault::LostBefore)] {
        let (world, node, full, free) = one_of_two_full().await;
        submit_whole_at(&node, full, "second").await;
        if let Some(fault) = &fault {
            world
                .table
                .faults()
                .set_next_for("commit", fault.clone(), 2);
        }
        let begun = async || world.begun("second") == 1;
        assert!(within(PATIENCE, begun).await, "{fault:?}");
        sleep(PATIENCE).await;
        world.assert_kept();
        assert_eq!(world.ledger.counts().started, 2, "{fault:?}");
        let homes: Vec<String> = world.tasks().into_iter().map(|(key, _)| key).collect();
        assert_eq!(homes.len(), 2, "{homes:?}");
        assert!(homes.contains(&format!("task/{free}/second")), "{homes:?}");
        let job = world.job("second").expect("it is kept");
        assert_eq!(job.shard.as_str(), free, "{fault:?}");
    }
}

/// The read that finds a moved task below its new shard fails.
#[tokio::test(start_paused = true)]
async fn a_moved_task_starts_soon_after_the_table_is_back() {
    let (world, node, full, free) = one_of_two_full().await;
    world.table.faults().set_for("scan", Fault::Down);
    submit_whole_at(&node, full, "second").await;
    let moved = async || {
        let tasks = world.tasks();
        let key = format!("task/{free}/second");
        tasks.iter().any(|(found, _)| *found == key)
    };
    assert!(within(PATIENCE, moved).await, "the start needs a move");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(world.begun("second"), 0, "nobody has found it yet");
    world.table.faults().clear();
    let begun = async || world.begun("second") == 1;
    assert!(within(SOON, begun).await, "it does not wait for the rescan");
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn an_urgent_task_starts_in_time_on_a_full_fleet_and_the_evicted_one_resumes() {
    let world = World::new(&["r1"], Duration::from_secs(100));
    let node = world.node("d1").await;
    submitted(&node, &whole("batch")).await;
    assert!(within(PATIENCE, async || world.begun("batch") == 1).await);
    sleep(Duration::from_secs(20)).await;
    let crest = TaskSpec {
        priority: model::Priority::Urgent,
        ..whole("crest")
    };
    let asked = tokio::time::Instant::now();
    assert_eq!(node.submit(&crest).await, Reply::Done("r1".into()));
    let left = URGENT_START.saturating_sub(asked.elapsed());
    let started = within(left, async || world.begun("crest") == 1).await;
    assert!(
        started,
        "after {:?}: {:?}",
        asked.elapsed(),
        node.snapshot().await.recent
    );
    let ended = async || {
        world
            .job("batch")
            .is_some_and(|job| job.end == Some(Phase::Succeeded))
    };
    assert!(within(PATIENCE * 5, ended).await);
    world.assert_kept();
    let runs = world.ledger.runs(&TaskId::from("batch"));
    assert_eq!(runs.len(), 2, "it resumes exactly once");
    assert!(runs[1].checkpoint.is_some(), "from its checkpoint");
    submitted(&node, &urgent("second")).await;
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_gives_all_shards_back_and_queued_work_starts_at_the_successor() {
    let world = World::new(&["r1", "r2", "r3"], FOREVER);
    let first = world.node("d1").await;
    let all = async |node: &Node| {
        node.serves("r1").await && node.serves("r2").await && node.serves("r3").await
    };
    assert!(within(PATIENCE, async || all(&first).await).await);
    for number in 0..4 {
        submitted(&first, &whole(&format!("study-{number}"))).await;
    }
    assert!(within(PATIENCE, async || world.ledger.counts().started == 3).await);
    first.leave().await;
    for shard in ["r1", "r2", "r3"] {
        let row = world.shard_row(shard).expect("it was owned");
        assert_eq!((row.owner, row.settled), (None, true), "{shard}");
    }
    let second = world.node("d2").await;
    assert!(within(PATIENCE, async || all(&second).await).await);
    let running = world.ledger.counts().started;
    assert_eq!(running, 3, "running ones go on");
    let done = async || {
        matches!(
            second.cancel("r1", &running_at(&world, 0)).await,
            Reply::Done(_)
        )
    };
    assert!(within(PATIENCE, done).await);
    assert!(within(PATIENCE, async || world.ledger.counts().started == 4).await);
    world.assert_kept();
}

fn running_at(world: &World, worker: usize) -> String {
    let running = world.fleet[worker].running();
    running.first().map(ToString::to_string).unwrap_or_default()
}

/// The worker of a task dies between a planned stop and the successor's first word to it.
#[tokio::test(start_paused = true)]
async fn after_a_planned_stop_a_lost_worker_is_waited_for_no_longer_than_its_lease() {
    let world = World::new(&["r1", "r1"], FOREVER);
    let first = world.node("d1").await;
    submitted(&first, &spec("study")).await;
    assert!(within(PATIENCE, async || world.begun("study") == 1).await);
    sleep(Duration::from_secs(10)).await;
    first.leave().await;
    let runs = async || world.begun("study");
    let at = world
        .fleet
        .iter()
        .position(|worker| !worker.running().is_empty())
        .expect("it runs");
    world.fleet[at].crash();
    let second = world.node("d2").await;
    assert!(within(PATIENCE, async || second.serves("r1").await).await);
    let lapse = Timing::default().lease_expiry();
    assert!(within(lapse + SOON, async || runs().await == 2).await);
    world.assert_kept();
}

/// The stop comes while the claim of a shard is under way.
#[tokio::test(start_paused = true)]
async fn a_shard_whose_claim_is_under_way_is_given_back_too() {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    let slow = Duration::from_millis(1500);
    world.table.faults().set_for("commit", Fault::Slow(slow));
    assert!(within(PATIENCE, async || world.shard_row("r1").is_some()).await);
    let left = tokio::time::timeout(PATIENCE, node.leave()).await;
    assert!(left.is_ok(), "it leaves in time");
    assert_eq!(world.shard_row("r1").expect("it was claimed").owner, None);
}

#[tokio::test(start_paused = true)]
async fn tasks_of_a_killed_daemon_go_on_at_its_successor() {
    let world = World::new(&["r1"], FOREVER);
    let first = world.node("d1").await;
    submitted(&first, &spec("visit")).await;
    assert!(within(PATIENCE, async || world.begun("visit") == 1).await);
    first.kill();
    let second = world.node("d2").await;
    assert!(within(PATIENCE, async || second.serves("r1").await).await);
    sleep(PATIENCE).await;
    assert_eq!(world.begun("visit"), 1, "its run was not interrupted");
    let sched = second.snapshot().await.sched;
    assert_eq!(sched["running"], 1, "its room is not offered again");
    world.assert_kept();
}

/// The store is away for longer than an owner may act without it, and returns.
#[tokio::test(start_paused = true)]
async fn an_owner_that_had_to_stop_comes_back_under_a_higher_epoch() {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    submitted(&node, &spec("visit")).await;
    assert!(within(PATIENCE, async || world.begun("visit") == 1).await);
    let before = world.shard_row("r1").expect("it is owned").epoch;
    world.table.faults().set(Fault::Down);
    sleep(OWNER_STORE_TIMEOUT + PATIENCE).await;
    assert!(!node.serves("r1").await, "it may not act any more");
    world.table.faults().clear();
    assert!(within(PATIENCE, async || node.serves("r1").await).await);
    assert!(world.shard_row("r1").expect("it is owned").epoch > before);
    submitted(&node, &spec("after")).await;
    assert!(within(PATIENCE, async || world.begun("after") == 1).await);
    world.assert_kept();
}
