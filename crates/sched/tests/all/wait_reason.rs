//! The reported wait reason of a task is the limit that keeps it from starting.

use conf::doc::Document;
use model::Mono;
use model::Size;
use model::id::TaskId;
use sched::Config;
use sched::Sched;
use sched::WaitReason;
use sched::input::QueuedTask;

use crate::fixture;
use crate::fixture::SEED;
use crate::fixture::WORKER;

const UNIT: Size = Size::new(8_000, 16_000, 0);
const NOW: Mono = Mono(1);

fn wait_reason(sched: &Sched, task: &str) -> Option<WaitReason> {
    sched.wait_reason(&TaskId::new(task), NOW)
}

/// Queues tasks `t0`, `t1`, ... and starts as many as possible.
fn queue(document: &Document, workers: usize, tasks: usize, class: &str, size: Size) -> Sched {
    let mut sched = fixture::fleet(document, workers, WORKER);
    for number in 0..tasks {
        sched.enqueue(fixture::task(&format!("t{number}"), class, size));
    }
    fixture::decide_and_confirm(&mut sched, NOW);
    sched
}

#[test]
fn the_rack_limit_is_the_wait_reason_even_if_workers_are_idle() {
    let mut document = fixture::document();
    let class = document.classes.get_mut("study").expect("a class");
    class.max_per_rack = Some(4);
    let sched = queue(&document, 20, 52, "study", UNIT);
    assert_eq!(wait_reason(&sched, "t0"), None, "the first four run");
    let last = wait_reason(&sched, "t51").expect("it waits");
    assert_eq!(
        last,
        WaitReason::RackLimit {
            class: "study".into(),
            max: 4
        }
    );
    assert_eq!(
        last.to_string(),
        "class study has its 4 tasks on each rack that has room"
    );
}

#[test]
fn each_wait_reason_names_its_limit() {
    let document = fixture::document;
    let mut small_quota = document();
    small_quota.teams.get_mut("a").expect("a team").quota = UNIT;
    let mut small_share = document();
    let half = small_share.halves.get_mut("north").expect("a half");
    half.share_percent = 13;
    let mut nowhere = document();
    let class = nowhere.classes.get_mut("study").expect("a class");
    class.regions = vec!["west".into()];
    let cases = [
        (
            queue(&small_quota, 2, 2, "study", UNIT),
            "the quota of team a",
        ),
        (
            queue(&small_share, 1, 2, "study", UNIT),
            "the share of its half, 13%",
        ),
        (queue(&document(), 1, 9, "study", UNIT), "no room for"),
        (
            queue(&nowhere, 1, 2, "study", UNIT),
            "the document allows its class on none",
        ),
    ];
    for (sched, limit) in cases {
        let tasks = (0..9).map(|number| format!("t{number}"));
        let wait_reason = tasks.rev().find_map(|task| wait_reason(&sched, &task));
        let wait_reason = wait_reason.expect("one waits").to_string();
        assert!(wait_reason.starts_with(limit), "{wait_reason}");
    }
}

#[test]
fn a_startable_task_waits_for_the_next_round_and_an_unknown_one_has_no_wait_reason() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    sched.enqueue(fixture::task("t0", "study", UNIT));
    assert_eq!(wait_reason(&sched, "t0"), Some(WaitReason::NextRound));
    assert_eq!(wait_reason(&sched, "other"), None);
    let mut without = Sched::new(SEED, Config::default());
    without.enqueue(QueuedTask {
        ..fixture::task("t0", "study", UNIT)
    });
    assert_eq!(wait_reason(&without, "t0"), Some(WaitReason::NoDocument));
}

#[test]
fn the_wait_reason_says_that_no_worker_accepts_tasks() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    let leaving = sched::input::WorkerSpec {
        leaving: true,
        ..fixture::worker("w0", "r", WORKER)
    };
    sched.upsert_worker(leaving);
    sched.enqueue(fixture::task("t0", "study", UNIT));
    let class = "study".to_owned();
    assert_eq!(
        wait_reason(&sched, "t0"),
        Some(WaitReason::NoWorker { class })
    );
}
