//! Submissions and cancellations: whoever asks is told the truth.

use std::time::Duration;

use fake::faults::Fault;
use futures::future::join_all;
use lease::record::Phase;
use lease::record::TaskSpec;
use model::Size;
use node::shards::input::Reply;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::drive::Node;
use crate::drive::PATIENCE;
use crate::drive::World;
use crate::drive::spec;
use crate::drive::within;

/// Far longer than any test.
const FOREVER: Duration = Duration::from_secs(1_000_000);
/// How many cancellations come at once.
const BURST: usize = 200;
/// How many rows one transaction of a burst is to move on at the least.
const ROWS_A_TXN: usize = 16;
/// The transactions of a burst that may hold fewer.
const SMALL_TXNS: usize = 4;

async fn one_shard() -> (World, Node) {
    let world = World::new(&["r1"], FOREVER);
    let node = world.node("d1").await;
    let serves = async || node.submit(&spec("warm-up")).await == Reply::Done("r1".into());
    assert!(within(PATIENCE, serves).await, "the shard is served");
    (world, node)
}

fn other(name: &str) -> TaskSpec {
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
    let refused = node.submit(&other("visit")).await;
    assert!(matches!(refused, Reply::Refused(_)), "{refused:?}");
    assert_eq!(world.job("visit").expect("it is kept").spec, spec("visit"));
    assert!(within(PATIENCE, async || world.begun("visit") == 1).await);
    world.assert_kept();
}

/// Two operators submit at the same time, and the table takes a while.
#[tokio::test(start_paused = true)]
async fn each_of_two_concurrent_submissions_hears_of_its_own() {
    for (second, same) in [(spec("visit"), true), (other("visit"), false)] {
        let (world, node) = one_shard().await;
        let faults = world.table.faults();
        faults.set_next_for("commit", Fault::Slow(Duration::from_secs(1)), 1);
        let first = spec("visit");
        let (first, second) = tokio::join!(node.submit(&first), node.submit(&second));
        assert_eq!(first, Reply::Done("r1".into()), "it was written");
        assert_eq!(second == Reply::Done("r1".into()), same, "{second:?}");
        assert_eq!(world.job("visit").expect("it is kept").spec, spec("visit"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_submission_during_an_outage_is_told_as_truth_has_it() {
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
        let asked = timeout(Duration::from_secs(10), node.submit(&visit));
        let reply = asked.await.unwrap_or(Reply::Unknown);
        let written = world.job("visit").is_some();
        assert_eq!(written, takes_effect, "{fault:?}");
        match reply {
            Reply::Refused(_) => assert!(!written, "{fault:?} was told as not run"),
            Reply::Unknown => {}
            told => panic!("{fault:?} was told as {told:?}"),
        }
        world.table.faults().clear();
        let again = async || node.submit(&spec("visit")).await == Reply::Done("r1".into());
        assert!(within(PATIENCE, again).await, "{fault:?}");
        assert!(
            within(PATIENCE, async || world.begun("visit") == 1).await,
            "{fault:?}"
        );
        sleep(PATIENCE).await;
        assert_eq!(world.begun("visit"), 1, "{fault:?}");
        world.assert_kept();
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
    sleep(PATIENCE).await;
    assert!(world.job("visit").is_none());
    assert_eq!(world.begun("visit"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_of_the_commit_is_told_as_done_once_it_is_found_out() {
    let (world, node) = one_shard().await;
    world
        .table
        .faults()
        .set_next_for("commit", Fault::LostAfter, 1);
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    assert!(within(PATIENCE, async || world.begun("visit") == 1).await);
}

/// The start's transaction has an unknown outcome when the cancellation comes.
#[tokio::test(start_paused = true)]
async fn a_cancellation_while_a_start_is_in_doubt_is_kept_before_it_is_told() {
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
        assert!(within(PATIENCE, in_doubt).await, "{fault:?}");
        let cancel = node.cancel("r1", "visit");
        tokio::pin!(cancel);
        let early = timeout(Duration::from_secs(3), &mut cancel).await;
        assert!(
            early.is_err(),
            "{fault:?}: told before it was kept: {early:?}"
        );
        faults.clear();
        assert_eq!(cancel.await, Reply::Done("r1".into()), "{fault:?}");
        let ended = async || world.job("visit").and_then(|job| job.end) == Some(Phase::Cancelled);
        assert!(within(PATIENCE, ended).await, "{fault:?}");
        world.workers.advance();
        assert!(
            world.fleet[0]
                .running()
                .iter()
                .all(|task| task.as_str() != "visit")
        );
        world.assert_kept();
    }
}

/// A repeated submission must not make a waiting cancellation hear that it is kept.
#[tokio::test(start_paused = true)]
async fn a_repeated_submission_answers_no_cancellation_that_is_not_kept_yet() {
    let (world, node) = one_shard().await;
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    assert!(within(PATIENCE, async || world.begun("visit") == 1).await);
    world.table.faults().set_for("commit", Fault::LostBefore);
    let cancel = node.cancel("r1", "visit");
    tokio::pin!(cancel);
    let second = Duration::from_secs(1);
    assert!(timeout(second, &mut cancel).await.is_err());
    assert_eq!(node.submit(&spec("visit")).await, Reply::Done("r1".into()));
    let early = timeout(second, &mut cancel).await;
    assert!(early.is_err(), "told before it was kept: {early:?}");
    world.table.faults().clear();
    assert_eq!(cancel.await, Reply::Done("r1".into()));
}

#[tokio::test(start_paused = true)]
async fn cancelling_what_is_not_there_is_refused() {
    let (_world, node) = one_shard().await;
    let reply = node.cancel("r1", "nobody").await;
    assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
    let elsewhere = Reply::Elsewhere {
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
    let before = commits_but_beats(&world);
    let slow = Duration::from_millis(200);
    world.table.faults().set_for("commit", Fault::Slow(slow));
    let cancels = names.iter().map(|name| node.cancel("r1", name));
    let replies = timeout(PATIENCE, join_all(cancels)).await;
    let replies = replies.expect("each cancellation is answered");
    assert!(
        replies
            .iter()
            .all(|reply| *reply == Reply::Done("r1".into()))
    );
    let commits = commits_but_beats(&world) - before;
    let bound = BURST.div_ceil(ROWS_A_TXN) + SMALL_TXNS;
    assert!(commits <= bound, "{commits} transactions, at most {bound}");
    world.table.faults().clear();
    let ended = |name: &String| world.job(name).is_some_and(|job| job.end.is_some());
    assert!(within(PATIENCE, async || names.iter().all(ended)).await);
    world.assert_kept();
}

/// The transactions so far without the heartbeats, which are no part of a burst's cost.
fn commits_but_beats(world: &World) -> usize {
    let rows = world.table.rows();
    let members = rows.rows_with_prefix("member/");
    let beats: u64 = members.iter().map(|row| row.version.0).sum();
    usize::try_from(rows.commits() - beats).expect("few")
}
