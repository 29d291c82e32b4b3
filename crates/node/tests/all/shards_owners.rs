//! Owners of shards change and tasks move between them: no task is lost or runs twice.

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

use crate::drive::MAX_WAIT;
use crate::drive::Node;
use crate::drive::SEED;
use crate::drive::World;
use crate::drive::addresses;
use crate::drive::spawn_part;
use crate::drive::spec;
use crate::drive::urgent;
use crate::drive::within;

/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(1_000_000);
/// The time in which users expect urgent tasks to start.
const URGENT_START: Duration = Duration::from_millis(2500);

/// Enough for two reads of the shards' rows and a start, well below the 30 s between two rescans.
const SOON: Duration = Duration::from_secs(8);

/// A task that takes a whole worker.
fn full_worker_spec(name: &str) -> TaskSpec {
    TaskSpec {
        size: Size::new(8000, 8192, 0),
        ..spec(name)
    }
}

async fn submit_until_accepted(node: &Node, spec: &TaskSpec) {
    let done = async || matches!(node.submit(spec).await, Reply::Done(_));
    assert!(within(MAX_WAIT, done).await, "{} is accepted", spec.task);
}

/// Aborts the part as a panic would and begins a new incarnation, as the supervisor does.
async fn restart(node: &mut Node) {
    node.part.abort();
    let cx = &node.cx;
    let identity = join(&cx.platform.table, &cx.settings, addresses(), SEED ^ 1).await;
    cx.set_identity(identity);
    node.part = spawn_part(cx, &node.token);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_part_reclaims_its_shards_in_a_new_incarnation_and_repeats_no_run() {
    let world = World::new(&["r1"], FOREVER);
    let mut node = world.node("d1").await;
    for number in 0..6 {
        submit_until_accepted(&node, &spec(&format!("visit-{number}"))).await;
    }
    let started = async || world.ledger.counts().started == 6;
    assert!(within(MAX_WAIT, started).await);
    let before = world.shard_row("r1").expect("the shard has a row");
    // Messages of the old owner reach the worker late.
    world.fleet[0]
        .faults()
        .set_next(Fault::Late(Duration::from_secs(9)), 2);
    sleep(Duration::from_secs(6)).await;
    restart(&mut node).await;
    let taken = async || {
        let row = world.shard_row("r1").expect("the shard has a row");
        row.epoch > before.epoch && row.owner.is_some_and(|owner| owner == node.cx.identity())
    };
    assert!(within(MAX_WAIT, taken).await);
    sleep(MAX_WAIT).await;
    world.assert_invariants();
    assert_eq!(
        world.ledger.counts().started,
        6,
        "all runs continue where they are"
    );
    let late = WorkerMessage {
        epoch: before.epoch,
        sequence: u64::MAX,
        last_report: 0,
        lease_ms: 0,
        commands: Vec::new(),
    };
    let fenced = world.fleet[0].handle_message(&late);
    let epoch = world.shard_row("r1").expect("the shard has a row").epoch;
    assert_eq!(
        fenced,
        Err(WorkerError::Fenced { epoch }),
        "the late message is fenced"
    );
    submit_until_accepted(&node, &spec("after")).await;
    assert!(within(MAX_WAIT, async || world.run_count("after") == 1).await);
}

/// The result of a claim by the earlier incarnation arrives after the new one has begun.
#[tokio::test(start_paused = true)]
async fn a_claim_of_an_earlier_incarnation_starts_no_owner_in_the_new_one() {
    let world = World::new(&["r1"], FOREVER);
    let mut node = world.node("d1").await;
    let slow = Duration::from_millis(1900);
    let commits = world.table.faults();
    let claimed = async || world.shard_row("r1").is_some();
    commits.set_for("commit", Fault::Slow(slow));
    assert!(within(MAX_WAIT, claimed).await);
    commits.clear();
    restart(&mut node).await;
    sleep(slow).await;
    let identity = node.cx.identity();
    let mut taken_over = Vec::new();
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        let row = world.shard_row("r1").expect("the shard has a row");
        if node.owns("r1").await && row.owner.as_ref() != Some(&identity) {
            taken_over.push(row.epoch);
        }
    }
    assert_eq!(
        taken_over,
        [],
        "it never acts as owner for another incarnation"
    );
    assert_eq!(
        world.shard_row("r1").expect("the shard has a row").epoch,
        Epoch(2)
    );
}

/// A peer handed off a task to this daemon's shard, and its notification was lost.
#[tokio::test(start_paused = true)]
async fn a_task_whose_hand_off_notification_was_lost_is_found_by_the_next_rescan() {
    let world = World::new(&["r1", "r2"], FOREVER);
    let first = world.node("d1").await;
    let second = world.node("d2").await;
    let one_each = async || {
        let owner = |shard| world.shard_row(shard).and_then(|row| row.owner);
        matches!((owner("r1"), owner("r2")), (Some(a), Some(b)) if a.daemon != b.daemon)
    };
    assert!(
        within(MAX_WAIT * 5, one_each).await,
        "each daemon owns one shard"
    );
    let (node, from) = if first.owns("r1").await {
        (&first, "r1")
    } else {
        (&second, "r1")
    };
    // No worker of this shard has capacity for the second task, so it is moved to the other
    // daemon's shard.
    let at = |name: &str| full_worker_spec(name);
    let submit = async |name: &str| {
        let done = Reply::Done(from.into());
        let accepted = async || node.submit_at(Some(from), &at(name)).await == done;
        assert!(within(MAX_WAIT, accepted).await, "{name}");
    };
    submit("stays").await;
    assert!(within(MAX_WAIT, async || world.run_count("stays") == 1).await);
    submit("moves").await;
    move_task_row(&world, "moves", "r1", "r2");
    assert!(
        within(Duration::from_secs(35), async || world.run_count("moves")
            == 1)
        .await
    );
    world.assert_invariants();
}

/// Moves the row of a queued task to another shard as the transaction of a hand-off does.
fn move_task_row(world: &World, task: &str, from: &str, to: &str) {
    let (old, mut row) = world
        .tasks()
        .into_iter()
        .find(|(key, _)| key.ends_with(task))
        .expect("the task is queued");
    assert_eq!(row.phase, Phase::Queued, "the task is queued");
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
    world
        .table
        .rows()
        .commit(&txn)
        .expect("the transaction has no checks");
}

async fn submit_full_worker_task_at(node: &Node, shard: &str, name: &str) {
    let accepted = async || {
        let reply = node.submit_at(Some(shard), &full_worker_spec(name)).await;
        reply == Reply::Done(shard.into())
    };
    assert!(within(MAX_WAIT, accepted).await, "{name}");
}

/// Starts a daemon with two shards of one worker each, fills one of them, and returns its name and
/// that of the other one.
async fn start_with_one_full_shard() -> (World, Node, &'static str, &'static str) {
    let world = World::new(&["r1", "r2"], FOREVER);
    let node = world.node("d1").await;
    let both = async || node.owns("r1").await && node.owns("r2").await;
    assert!(within(MAX_WAIT, both).await);
    submit_full_worker_task_at(&node, "r1", "first").await;
    assert!(within(MAX_WAIT, async || world.run_count("first") == 1).await);
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
        let (world, node, full, free) = start_with_one_full_shard().await;
        submit_full_worker_task_at(&node, full, "second").await;
        if let Some(fault) = &fault {
            world
                .table
                .faults()
                .set_next_for("commit", fault.clone(), 2);
        }
        let started = async || world.run_count("second") == 1;
        assert!(within(MAX_WAIT, started).await, "{fault:?}");
        sleep(MAX_WAIT).await;
        world.assert_invariants();
        assert_eq!(world.ledger.counts().started, 2, "{fault:?}");
        let keys: Vec<String> = world.tasks().into_iter().map(|(key, _)| key).collect();
        assert_eq!(keys.len(), 2, "{keys:?}");
        assert!(keys.contains(&format!("task/{free}/second")), "{keys:?}");
        let job = world.job("second").expect("the job row exists");
        assert_eq!(job.shard.as_str(), free, "{fault:?}");
    }
}

/// The read that finds a moved task in its new shard fails.
#[tokio::test(start_paused = true)]
async fn a_moved_task_starts_soon_after_the_table_recovers() {
    let (world, node, full, free) = start_with_one_full_shard().await;
    world.table.faults().set_for("scan", Fault::Down);
    submit_full_worker_task_at(&node, full, "second").await;
    let moved = async || {
        let tasks = world.tasks();
        let key = format!("task/{free}/second");
        tasks.iter().any(|(found, _)| *found == key)
    };
    assert!(
        within(MAX_WAIT, moved).await,
        "the task is handed off for its start"
    );
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        world.run_count("second"),
        0,
        "the moved task has not been found yet"
    );
    world.table.faults().clear();
    let started = async || world.run_count("second") == 1;
    assert!(
        within(SOON, started).await,
        "the failed read is repeated before the next rescan"
    );
    world.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn an_urgent_task_starts_in_time_on_a_full_fleet_and_the_evicted_one_resumes() {
    let world = World::new(&["r1"], Duration::from_secs(100));
    let node = world.node("d1").await;
    submit_until_accepted(&node, &full_worker_spec("batch")).await;
    assert!(within(MAX_WAIT, async || world.run_count("batch") == 1).await);
    sleep(Duration::from_secs(20)).await;
    let crest = TaskSpec {
        priority: model::Priority::Urgent,
        ..full_worker_spec("crest")
    };
    let submitted_at = tokio::time::Instant::now();
    assert_eq!(node.submit(&crest).await, Reply::Done("r1".into()));
    let left = URGENT_START.saturating_sub(submitted_at.elapsed());
    let started = within(left, async || world.run_count("crest") == 1).await;
    assert!(
        started,
        "after {:?}: {:?}",
        submitted_at.elapsed(),
        node.snapshot().await.recent
    );
    let ended = async || {
        world
            .job("batch")
            .is_some_and(|job| job.end == Some(Phase::Succeeded))
    };
    assert!(within(MAX_WAIT * 5, ended).await);
    world.assert_invariants();
    let runs = world.ledger.runs(&TaskId::from("batch"));
    assert_eq!(runs.len(), 2, "the evicted task resumes exactly once");
    assert!(
        runs[1].checkpoint.is_some(),
        "it resumes from its checkpoint"
    );
    submit_until_accepted(&node, &urgent("second")).await;
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_releases_all_shards_and_queued_tasks_start_at_the_successor() {
    let world = World::new(&["r1", "r2", "r3"], FOREVER);
    let first = world.node("d1").await;
    let all =
        async |node: &Node| node.owns("r1").await && node.owns("r2").await && node.owns("r3").await;
    assert!(within(MAX_WAIT, async || all(&first).await).await);
    for number in 0..4 {
        submit_until_accepted(&first, &full_worker_spec(&format!("study-{number}"))).await;
    }
    assert!(within(MAX_WAIT, async || world.ledger.counts().started == 3).await);
    first.shut_down().await;
    for shard in ["r1", "r2", "r3"] {
        let row = world.shard_row(shard).expect("the shard has a row");
        assert_eq!((row.owner, row.settled), (None, true), "{shard}");
    }
    let second = world.node("d2").await;
    assert!(within(MAX_WAIT, async || all(&second).await).await);
    let running = world.ledger.counts().started;
    assert_eq!(running, 3, "running tasks continue");
    let done = async || {
        matches!(
            second.cancel("r1", &running_at(&world, 0)).await,
            Reply::Done(_)
        )
    };
    assert!(within(MAX_WAIT, done).await);
    assert!(within(MAX_WAIT, async || world.ledger.counts().started == 4).await);
    world.assert_invariants();
}

fn running_at(world: &World, worker: usize) -> String {
    let running = world.fleet[worker].running();
    running.first().map(ToString::to_string).unwrap_or_default()
}

/// The worker of a task crashes between a planned stop and the successor's first message to it.
#[tokio::test(start_paused = true)]
async fn after_a_planned_stop_a_lost_worker_is_waited_for_no_longer_than_its_lease() {
    let world = World::new(&["r1", "r1"], FOREVER);
    let first = world.node("d1").await;
    submit_until_accepted(&first, &spec("study")).await;
    assert!(within(MAX_WAIT, async || world.run_count("study") == 1).await);
    sleep(Duration::from_secs(10)).await;
    first.shut_down().await;
    let runs = async || world.run_count("study");
    let at = world
        .fleet
        .iter()
        .position(|worker| !worker.running().is_empty())
        .expect("a worker runs the task");
    world.fleet[at].crash();
    let second = world.node("d2").await;
    assert!(within(MAX_WAIT, async || second.owns("r1").await).await);
    let lapse = Timing::default().lease_expiry();
    assert!(within(lapse + SOON, async || runs().await == 2).await);
    world.assert_invariants();
}

/// The planned stop comes while the claim of a shard is in progress.
#[tokio::test(start_paused = true)]
async fn a_shard_whose_claim_is_in_progress_is_released_too() {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    let slow = Duration::from_millis(1500);
    world.table.faults().set_for("commit", Fault::Slow(slow));
    assert!(within(MAX_WAIT, async || world.shard_row("r1").is_some()).await);
    let left = tokio::time::timeout(MAX_WAIT, node.shut_down()).await;
    assert!(left.is_ok(), "the planned stop completes in time");
    assert_eq!(
        world.shard_row("r1").expect("the shard has a row").owner,
        None
    );
}

#[tokio::test(start_paused = true)]
async fn tasks_of_a_killed_daemon_continue_under_its_successor() {
    let world = World::new(&["r1"], FOREVER);
    let first = world.node("d1").await;
    submit_until_accepted(&first, &spec("visit")).await;
    assert!(within(MAX_WAIT, async || world.run_count("visit") == 1).await);
    first.kill();
    let second = world.node("d2").await;
    assert!(within(MAX_WAIT, async || second.owns("r1").await).await);
    sleep(MAX_WAIT).await;
    assert_eq!(world.run_count("visit"), 1, "its run was not interrupted");
    let sched = second.snapshot().await.sched;
    assert_eq!(sched["running"], 1, "its capacity stays reserved");
    world.assert_invariants();
}

/// The store is unreachable for longer than an owner may act without it, then recovers.
#[tokio::test(start_paused = true)]
async fn an_owner_that_had_to_stop_recovers_under_a_higher_epoch() {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    submit_until_accepted(&node, &spec("visit")).await;
    assert!(within(MAX_WAIT, async || world.run_count("visit") == 1).await);
    let before = world.shard_row("r1").expect("the shard has a row").epoch;
    world.table.faults().set(Fault::Down);
    sleep(OWNER_STORE_TIMEOUT + MAX_WAIT).await;
    assert!(!node.owns("r1").await, "the owner may not act any more");
    world.table.faults().clear();
    assert!(within(MAX_WAIT, async || node.owns("r1").await).await);
    assert!(world.shard_row("r1").expect("the shard has a row").epoch > before);
    submit_until_accepted(&node, &spec("after")).await;
    assert!(within(MAX_WAIT, async || world.run_count("after") == 1).await);
    world.assert_invariants();
}
