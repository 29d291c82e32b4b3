//! Fair shares, quotas, cancellations and the budget of the store.

use conf::doc::Document;
use model::Mono;
use model::Size;
use model::id::TaskId;
use sched::Budget;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::input::PeerSummary;
use sched::input::QueuedTask;
use sched::input::RunOutcome;

use crate::fixture;
use crate::fixture::SEED;
use crate::fixture::WORKER;

const UNIT: Size = Size::new(8000, 16_000, 0);

fn enqueue(sched: &mut Sched, team: &str, count: usize) {
    for number in 0..count {
        sched.enqueue(QueuedTask {
            team: team.into(),
            ..fixture::task(&format!("{team}{number}"), "study", UNIT)
        });
    }
}

fn started_of(decisions: &[Decision], team: &str) -> usize {
    let starts = fixture::starts(decisions);
    starts
        .iter()
        .filter(|(task, _, _)| task.as_str().starts_with(team))
        .count()
}

#[test]
fn nothing_is_decided_without_a_document() {
    let mut sched = Sched::new(SEED, Config::default());
    sched.upsert_worker(fixture::worker("w0", "r", WORKER));
    enqueue(&mut sched, "a", 1);
    assert!(sched.decide(Mono(1), fixture::BUDGET).is_empty());
}

/// A change of the document, and how many of sixteen tasks the teams `a`, `b` and `c` each start.
type Case = (&'static str, fn(&mut Document), [usize; 3]);

#[test]
fn teams_share_by_weight_within_quotas_and_halves() {
    let cases: [Case; 4] = [
        ("equal weights", |_| {}, [6, 5, 5]),
        (
            "one team with twice the weight",
            |document| document.teams.get_mut("a").expect("a team").weight = 2,
            [8, 4, 4],
        ),
        (
            "a quota of two tasks",
            |document| {
                document.teams.get_mut("a").expect("a team").quota = Size::new(16_000, 100_000, 0);
            },
            [2, 7, 7],
        ),
        (
            "half of the capacity for the north",
            |document| {
                document
                    .halves
                    .get_mut("north")
                    .expect("a half")
                    .share_percent = 50;
            },
            [4, 4, 8],
        ),
    ];
    for (name, change, expected) in cases {
        let mut document = fixture::document();
        change(&mut document);
        let mut sched = fixture::fleet(&document, 2, WORKER);
        for team in ["a", "b", "c"] {
            enqueue(&mut sched, team, 20);
        }
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(1));
        let mut started = ["a", "b", "c"].map(|team| started_of(&decisions, team));
        if name == "equal weights" {
            started.sort_by(|left, right| right.cmp(left));
        }
        if name == "a quota of two tasks" {
            started[1..].sort_unstable();
        }
        assert_eq!(started, expected, "{name}");
    }
}

#[test]
fn usage_at_other_daemons_counts_against_the_quota() {
    let mut document = fixture::document();
    document.teams.get_mut("a").expect("a team").quota = Size::new(32_000, 100_000, 0);
    let mut sched = fixture::fleet(&document, 2, WORKER);
    sched.set_peers(vec![PeerSummary {
        daemon: "other".into(),
        teams: vec![("a".into(), Size::new(24_000, 48_000, 0))],
        capacity: WORKER,
        shards: Vec::new(),
    }]);
    enqueue(&mut sched, "a", 4);
    assert_eq!(
        started_of(&fixture::decide_and_confirm(&mut sched, Mono(1)), "a"),
        1
    );
}

#[test]
fn starts_and_evictions_stay_within_the_budget() {
    let mut sched = fixture::fleet(&fixture::document(), 4, WORKER);
    enqueue(&mut sched, "a", 32);
    for (starts, expected) in [(0, 0), (3, 3), (5, 5)] {
        let budget = Budget {
            starts,
            evictions: 0,
        };
        let decisions = sched.decide(Mono(1), budget);
        assert_eq!(fixture::starts(&decisions).len(), expected);
    }
    let full = fixture::decide_and_confirm(&mut sched, Mono(2));
    assert_eq!(fixture::starts(&full).len(), 24);
    sched.enqueue(fixture::urgent("urgent", "check", UNIT));
    let none = Budget {
        starts: 9,
        evictions: 0,
    };
    assert!(
        sched.decide(Mono(3), none).is_empty(),
        "no eviction without budget"
    );
    let one = Budget {
        starts: 9,
        evictions: 1,
    };
    assert_eq!(fixture::evicted(&sched.decide(Mono(4), one)).len(), 1);
}

#[test]
fn a_burst_of_cancellations_keeps_the_remaining_tasks_in_order() {
    const TASKS: usize = 20_000;
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    enqueue(&mut sched, "a", TASKS);
    for number in 0..TASKS {
        if number % 1000 != 999 {
            sched.cancelled(&TaskId::new(format!("a{number}")));
        }
    }
    assert_eq!(sched.dump().queued, 20);
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    let started: Vec<&str> = starts.iter().map(|(task, _, _)| task.as_str()).collect();
    assert_eq!(started[..3], ["a999", "a1999", "a2999"]);
}

#[test]
fn a_failed_start_releases_its_reservation_and_is_retried() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    sched.enqueue(fixture::task("t", "study", WORKER));
    assert_eq!(
        fixture::starts(&sched.decide(Mono(1), fixture::BUDGET)).len(),
        1
    );
    assert!(
        sched.decide(Mono(2), fixture::BUDGET).is_empty(),
        "it is not started twice"
    );
    sched.enqueue(fixture::task("t", "study", WORKER));
    sched.enqueue(fixture::task("other", "study", WORKER));
    assert!(
        sched.decide(Mono(2), fixture::BUDGET).is_empty(),
        "its resources stay reserved"
    );
    sched.cancelled(&TaskId::new("other"));
    sched.decision_failed(&TaskId::new("t"), Mono(3));
    assert_eq!(sched.dump().workers[0].reserved, Size::ZERO);
    assert_eq!(
        fixture::starts(&sched.decide(Mono(4), fixture::BUDGET)).len(),
        1
    );
}

#[test]
fn a_failed_task_backs_off_before_its_next_start() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    fixture::run(&mut sched, fixture::task("t", "study", UNIT), "w0", Mono(0));
    fixture::end(&mut sched, "t", RunOutcome::Failed, Mono(10_000));
    sched.enqueue(QueuedTask {
        failures: 1,
        ..fixture::task("t", "study", UNIT)
    });
    assert!(fixture::decide_and_confirm(&mut sched, Mono(11_900)).is_empty());
    assert_eq!(
        fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(12_100))).len(),
        1
    );
}

#[test]
fn assignments_at_a_takeover_are_accepted_as_recorded() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    fixture::run(
        &mut sched,
        fixture::task("there", "study", WORKER),
        "w0",
        Mono(0),
    );
    fixture::run(
        &mut sched,
        fixture::task("gone", "study", WORKER),
        "unlisted",
        Mono(0),
    );
    enqueue(&mut sched, "a", 1);
    assert!(
        fixture::decide_and_confirm(&mut sched, Mono(1)).is_empty(),
        "neither worker has free capacity"
    );
    fixture::end(&mut sched, "there", RunOutcome::Stopped, Mono(2));
    assert_eq!(
        started_of(&fixture::decide_and_confirm(&mut sched, Mono(3)), "a"),
        1
    );
}

#[test]
fn a_large_task_is_not_starved_of_its_half_share_by_small_ones() {
    let mut document = fixture::document();
    document
        .halves
        .get_mut("north")
        .expect("a half")
        .share_percent = 50;
    let mut sched = fixture::fleet(&document, 4, WORKER);
    enqueue(&mut sched, "a", 200);
    sched.enqueue(QueuedTask {
        team: "b".into(),
        ..fixture::task("large", "check", WORKER)
    });
    let mut running: Vec<String> = Vec::new();
    let mut has_started = false;
    for second in 0..120_u64 {
        let now = Mono(second * 1000);
        if second % 2 == 0 && !running.is_empty() {
            fixture::end(&mut sched, &running.remove(0), RunOutcome::Succeeded, now);
        }
        for (task, _, _) in fixture::starts(&fixture::decide_and_confirm(&mut sched, now)) {
            has_started |= task.as_str() == "large";
            running.push(task.to_string());
        }
    }
    assert!(
        has_started,
        "a part of the share is reserved for it once it has waited"
    );
}
