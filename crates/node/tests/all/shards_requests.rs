//! Replies to submissions and cancellations state what actually happened.

use std::time::Duration;

use fake::faults::Fault;
use futures::future::join_all;
use lease::record::Phase;
use lease::record::TaskSpec;
use model::Size;
use node::shards::input::Reply;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::drive::MAX_WAIT;
use crate::drive::Node;
use crate::drive::World;
use crate::drive::spec;
use crate::drive::within;

/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(1_000_000);
/// Number of concurrent cancellations.
const BURST: usize = 200;
/// Minimum number of rows that a transaction of a burst should change.
const ROWS_PER_TXN: usize = 16;
/// Number of transactions of a burst that may change fewer rows.
const SMALL_TXNS: usize = 4;

async fn one_shard() -> (World, Node) {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    let serves = async || node.submit(&spec("warm-up")).await == Reply::Done("r1".into());
    assert!(within(MAX_WAIT, serves).await, "the shard accepts tasks");
    (world, node)
}

fn conflicting_spec(name: &str) -> TaskSpec {
    TaskSpec {
        size: Size::new(501, 512, 0),
        ..spec(name)
    }
}

#[tokio::test(start_paused = true)]
async fn a_second_submission_of_a_name_is_the_same_task_or_a_conflict() {
    let (world, node) = one_shard().await;
    let done = Reply::Done("r1".into());
    assert_eq!(node.submit(&spec("visit")).await, done);
    assert_eq!(node.submit(&spec("visit")).await, done, "the same task");
    let refused = node.submit(&conflicting_spec("visit")).await;
    assert!(matches!(refused, Reply::Refused(_)), "{refused:?}");
    assert_eq!(
        world.job("visit").expect("the job row exists").spec,
        spec("visit")
    );
    assert!(within(MAX_WAIT, async || world.run_count("visit") == 1).await);
    world.assert_invariants();
}

/// Two operators submit at the same time, and the table is slow.
#[tokio::test(start_paused = true)]
async fn each_of_two_concurrent_submissions_gets_its_own_reply() {
    for (second, same) in [(spec("visit"), true), (conflicting_spec("visit"), false)] {
        let (world, node) = one_shard().await;
        let faults = world.table.faults();
        faults.set_next_for("commit", Fault::Slow(Duration::from_secs(1)), 1);
        let first = spec("visit");
        let (first, second) = tokio::join!(node.submit(&first), node.submit(&second));
        assert_eq!(
            first,
            Reply::Done("r1".into()),
            "the first submission was stored"
        );
        assert_eq!(second == Reply::Done("r1".into()), same, "{second:?}");
        assert_eq!(
            world.job("visit").expect("the job row exists").spec,
            spec("visit")
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_reply_to_a_submission_during_an_outage_matches_the_stored_outcome() {
    let faults = [
        (Fault::Down, false),
        (Fault::Refused, false),
        (Fault::LostBefore, false),
        (Fault::Silent, false),
        (Fault::LostAfter, true),
    ];
    for (fault, takes_effect) in faults {
        let (world, node) = one_shard().await;
        world.table.faults().set(fault.clone());
        let visit = spec("visit");
        let submission = timeout(Duration::from_secs(10), node.submit(&visit));
        let reply = submission.await.unwrap_or(Reply::Unknown);
        let written = world.job("visit").is_some();
        assert_eq!(written, takes_effect, "{fault:?}");
        match reply {
            Reply::Refused(_) => assert!(!written, "{fault:?} was reported as not run"),
            Reply::Unknown => {}
            other => panic!("{fault:?} was reported as {other:?}"),
        }
        world.table.faults().clear();
        let again = async || node.submit(&spec("visit")).await == Reply::Done("r1".into());
        assert!(within(MAX_WAIT, again).await, "{fault:?}");
        assert!(
            within(MAX_WAIT, async || world.run_count("visit") == 1).await,
            "{fault:?}"
        );
        sleep(MAX_WAIT).await;
        assert_eq!(world.run_count("visit"), 1, "{fault:?}");
        world.assert_invariants();
    }
}

#[tokio::test(start_paused = true)]
async fn a_refused_submission_is_never_run_later() {
    let (world, node) = one_shard().await;
    world.table.faults().set(Fault::Down);
    sleep(Duration::from_secs(5)).await;
    let reply = node.submit(&spec("visit")).await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
    world.table.faults().clear();
    sleep(MAX_WAIT).await;
    assert!(world.job("visit").is_none());
    assert_eq!(world.run_count("visit"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_commit_whose_answer_was_lost_is_reported_as_done_once_it_is_known() {
    let (world, node) = one_shard().await;
    world
        .table
        .faults()
        .set_next_for("commit", Fault::LostAfter, 1);
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    assert!(within(MAX_WAIT, async || world.run_count("visit") == 1).await);
}

/// The transaction of the start has an unknown outcome when the cancellation arrives.
#[tokio::test(start_paused = true)]
async fn a_cancellation_while_a_start_is_in_doubt_is_stored_before_it_is_confirmed() {
    for fault in [Fault::LostBefore, Fault::LostAfter, Fault::Silent] {
        let (world, node) = one_shard().await;
        let faults = world.table.faults();
        assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
        faults.set_for("commit", fault.clone());
        let in_doubt = async || {
            let snapshot = node.snapshot().await;
            let tasks = snapshot.shards.iter().flat_map(|shard| &shard.tasks);
            tasks
                .filter(|task| task.in_doubt)
                .any(|task| task.task.as_str() == "visit")
        };
        assert!(within(MAX_WAIT, in_doubt).await, "{fault:?}");
        let cancel = node.cancel("r1", "visit");
        tokio::pin!(cancel);
        let early = timeout(Duration::from_secs(3), &mut cancel).await;
        assert!(
            early.is_err(),
            "{fault:?}: confirmed before it was stored: {early:?}"
        );
        faults.clear();
        assert_eq!(cancel.await, Reply::Done("r1".into()), "{fault:?}");
        let ended = async || world.job("visit").and_then(|job| job.end) == Some(Phase::Cancelled);
        assert!(within(MAX_WAIT, ended).await, "{fault:?}");
        world.workers.advance();
        assert!(
            world.fleet[0]
                .running()
                .iter()
                .all(|task| task.as_str() != "visit")
        );
        world.assert_invariants();
    }
}

/// The reply to a repeated submission must not confirm a cancellation that has not been stored yet.
#[tokio::test(start_paused = true)]
async fn a_repeated_submission_confirms_no_cancellation_that_is_not_stored_yet() {
    let (world, node) = one_shard().await;
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    assert!(within(MAX_WAIT, async || world.run_count("visit") == 1).await);
    world.table.faults().set_for("commit", Fault::LostBefore);
    let cancel = node.cancel("r1", "visit");
    tokio::pin!(cancel);
    let second = Duration::from_secs(1);
    assert!(timeout(second, &mut cancel).await.is_err());
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    let early = timeout(second, &mut cancel).await;
    assert!(early.is_err(), "confirmed before it was stored: {early:?}");
    world.table.faults().clear();
    assert_eq!(cancel.await, Reply::Done("r1".into()));
}

#[tokio::test(start_paused = true)]
async fn cancelling_what_is_not_there_is_refused() {
    let (_world, node) = one_shard().await;
    let reply = node.cancel("r1", "nobody").await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
    let elsewhere = Reply::NotOwner {
        shard: "r9".into(),
        owner: None,
    };
    assert_eq!(node.cancel("r9", "nobody").await, elsewhere);
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_cancellations_costs_few_transactions() {
    let (world, node) = one_shard().await;
    let names: Vec<String> = (0..BURST).map(|number| format!("wave-{number}")).collect();
    for name in &names {
        let large = TaskSpec {
            size: Size::new(7000, 7000, 0),
            ..spec(name)
        };
        assert_eq!(node.submit(&large).await, Reply::Done("r1".into()));
    }
    sleep(Duration::from_secs(5)).await;
    let before = commits_without_heartbeats(&world);
    let slow = Duration::from_millis(200);
    world.table.faults().set_for("commit", Fault::Slow(slow));
    let cancels = names.iter().map(|name| node.cancel("r1", name));
    let replies = timeout(MAX_WAIT, join_all(cancels)).await;
    let replies = replies.expect("each cancellation gets a reply");
    assert!(
        replies
            .iter()
            .all(|reply| *reply == Reply::Done("r1".into()))
    );
    let commits = commits_without_heartbeats(&world) - before;
    let bound = BURST.div_ceil(ROWS_PER_TXN) + SMALL_TXNS;
    assert!(commits <= bound, "{commits} transactions, at most {bound}");
    world.table.faults().clear();
    let ended = |name: &String| world.job(name).is_some_and(|job| job.end.is_some());
    assert!(within(MAX_WAIT, async || names.iter().all(ended)).await);
    world.assert_invariants();
}

/// Number of committed transactions without heartbeats, which do not count towards the cost of a
/// burst.
fn commits_without_heartbeats(world: &World) -> usize {
    let rows = world.table.rows();
    let members = rows.rows_with_prefix("member/");
    let beats: u64 = members.iter().map(|row| row.version.0).sum();
    usize::try_from(rows.commits() - beats).expect("few")
}
