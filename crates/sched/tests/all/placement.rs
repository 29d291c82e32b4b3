//! Where tasks start, and where they must never start.

use std::time::Duration;

use model::Mono;
use model::Priority;
use model::Size;
use model::id::ShardId;
use model::id::WorkerId;
use model::place::Place;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::decision::Reason;
use sched::decision::UnrunnableReason;
use sched::input::PeerShard;
use sched::input::PeerSummary;
use sched::input::QueuedTask;
use sched::input::RunOutcome;

use crate::fixture;
use crate::fixture::WORKER;

const HALF: Size = Size::new(32_000, 128_000, 0);
const QUARTER: Size = Size::new(16_000, 64_000, 0);
const ACCELERATED: Size = Size::new(64_000, 256_000, 4);

#[test]
fn an_unrunnable_job_is_reported_and_blocks_no_other() {
    let mut document = fixture::document();
    let nowhere = vec!["nowhere".into()];
    let class = document.classes.get_mut("check").expect("a class");
    class.regions = nowhere;
    let team = document.teams.get_mut("b").expect("a team");
    team.quota = QUARTER;
    type Matches = fn(&UnrunnableReason) -> bool;
    let cases: [(&str, &str, Size, &str, Matches); 7] = [
        (
            "processors",
            "study",
            Size::new(64_001, 1, 0),
            "a",
            |reason| matches!(reason, UnrunnableReason::TooLarge { .. }),
        ),
        ("memory", "study", Size::new(1, 256_001, 0), "a", |reason| {
            matches!(reason, UnrunnableReason::TooLarge { .. })
        }),
        ("accelerators", "study", Size::new(1, 1, 1), "a", |reason| {
            matches!(reason, UnrunnableReason::TooLarge { .. })
        }),
        ("place", "check", QUARTER, "a", |reason| {
            *reason == UnrunnableReason::NoAllowedWorker
        }),
        ("class", "strange", QUARTER, "a", |reason| {
            *reason == UnrunnableReason::UnknownClass
        }),
        ("team", "study", QUARTER, "strange", |reason| {
            *reason == UnrunnableReason::UnknownTeam
        }),
        ("quota", "study", HALF, "b", |reason| {
            matches!(reason, UnrunnableReason::OverQuota { .. })
        }),
    ];
    for (name, class, declared, team, is_expected) in cases {
        let mut sched = fixture::fleet(&document, 2, WORKER);
        sched.enqueue(QueuedTask {
            team: team.into(),
            ..fixture::task("impossible", class, declared)
        });
        sched.enqueue(fixture::task("possible", "study", QUARTER));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(1));
        let reasons = decisions.iter().filter_map(|decision| match decision {
            Decision::Unrunnable { reason, .. } => Some(reason),
            _ => None,
        });
        assert!(
            reasons.clone().count() == 1 && reasons.clone().all(is_expected),
            "{name}: {decisions:?}"
        );
        assert_eq!(fixture::starts(&decisions).len(), 1, "{name}");
    }
}

#[test]
fn the_minimum_reservation_of_a_small_task_stays_within_the_quota() {
    let small = Size::new(10, 10, 0);
    let mut document = fixture::document();
    document.teams.get_mut("a").expect("a team").quota = small;
    let mut sched = fixture::fleet(&document, 2, WORKER);
    sched.enqueue(fixture::task("whole-quota", "study", small));
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(1));
    assert_eq!(fixture::starts(&decisions).len(), 1, "{decisions:?}");
}

#[test]
fn an_unrunnable_job_starts_once_a_large_enough_worker_joins() {
    let mut sched = fixture::fleet(&fixture::document(), 1, HALF);
    sched.enqueue(fixture::task("large", "study", WORKER));
    assert!(matches!(
        fixture::decide_and_confirm(&mut sched, Mono(1))[..],
        [Decision::Unrunnable { .. }]
    ));
    assert!(
        fixture::decide_and_confirm(&mut sched, Mono(2)).is_empty(),
        "it is reported once"
    );
    sched.upsert_worker(fixture::worker("w9", "r", WORKER));
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(3));
    assert!(
        decisions
            .iter()
            .any(|decision| matches!(decision, Decision::Runnable { .. }))
    );
    assert_eq!(
        fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(4))).len(),
        1
    );
}

#[test]
fn tasks_start_only_where_the_document_allows() {
    let mut document = fixture::document();
    let class = document.classes.get_mut("study").expect("a class");
    class.data_centres = vec!["east-2".into()];
    let mut sched = fixture::fleet(&document, 5, WORKER);
    let mut allowed = fixture::worker("allowed", "r2", WORKER);
    allowed.place = Place::new("east", "east-2");
    sched.upsert_worker(allowed);
    for number in 0..8 {
        sched.enqueue(fixture::task(&format!("t{number}"), "study", QUARTER));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    assert_eq!(starts.len(), 4);
    assert!(
        starts
            .iter()
            .all(|(_, worker, _)| worker.as_str() == "allowed")
    );
}

#[test]
fn a_service_is_spread_over_racks_up_to_its_limit() {
    let mut document = fixture::document();
    let class = document.classes.get_mut("plan").expect("a class");
    class.max_per_rack = Some(2);
    let mut sched = fixture::fleet(&document, 0, WORKER);
    for number in 0..9 {
        let rack = format!("r{}", number % 3);
        sched.upsert_worker(fixture::worker(&format!("w{number}"), &rack, WORKER));
    }
    for number in 0..9 {
        sched.enqueue(fixture::task(&format!("t{number}"), "plan", QUARTER));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    let racks: Vec<usize> = (0..3)
        .map(|rack| {
            let on_rack = |worker: &WorkerId| {
                worker.as_str()[1..]
                    .parse::<usize>()
                    .is_ok_and(|number| number % 3 == rack)
            };
            starts
                .iter()
                .filter(|(_, worker, _)| on_rack(worker))
                .count()
        })
        .collect();
    assert_eq!(racks, [2, 2, 2]);
}

/// A worker that changes its rack often, as over the years of a long-lived fleet.
#[test]
fn racks_are_told_apart_however_many_names_there_have_been() {
    let mut document = fixture::document();
    let class = document.classes.get_mut("plan").expect("a class");
    class.max_per_rack = Some(1);
    let mut sched = fixture::fleet(&document, 0, WORKER);
    for number in 0..=u16::MAX {
        sched.upsert_worker(fixture::worker("w0", &format!("former{number}"), WORKER));
    }
    for number in 0..3 {
        let rack = format!("r{number}");
        sched.upsert_worker(fixture::worker(&format!("w{number}"), &rack, WORKER));
    }
    for number in 0..3 {
        sched.enqueue(fixture::task(&format!("t{number}"), "plan", QUARTER));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    assert_eq!(starts.len(), 3, "one on each rack");
}

#[test]
fn batch_stays_within_its_share_of_a_worker_with_services() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    fixture::run(
        &mut sched,
        fixture::task("service", "plan", Size::new(1000, 1000, 0)),
        "w0",
        Mono(0),
    );
    for number in 0..40 {
        sched.enqueue(fixture::urgent(
            &format!("t{number}"),
            "study",
            Size::new(4000, 1000, 0),
        ));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    assert_eq!(
        starts.len(),
        11,
        "eleven tasks of four cores fit in 70% of 64 cores"
    );
}

#[test]
fn tasks_without_accelerators_leave_cpu_and_memory_for_accelerators() {
    let mut sched = fixture::fleet(&fixture::document(), 1, ACCELERATED);
    sched.upsert_worker(fixture::worker("plain", "r", WORKER));
    for number in 0..20 {
        sched.enqueue(fixture::task(
            &format!("t{number}"),
            "study",
            Size::new(8000, 32_000, 0),
        ));
    }
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1)));
    let beside = starts
        .iter()
        .filter(|(_, worker, _)| worker.as_str() == "w0");
    assert_eq!((starts.len(), beside.count()), (12, 4));
    for number in 0..4 {
        let size = Size::new(8000, 32_000, 1);
        sched.enqueue(fixture::task(
            &format!("accelerated{number}"),
            "check",
            size,
        ));
    }
    assert_eq!(
        fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(2))).len(),
        4
    );
}

#[test]
fn a_leaving_worker_gets_no_new_task() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    let mut leaving = fixture::worker("w0", "r", WORKER);
    leaving.leaving = true;
    sched.upsert_worker(leaving);
    sched.enqueue(fixture::urgent("t", "study", QUARTER));
    assert!(fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(1))).is_empty());
}

#[test]
fn an_urgent_task_evicts_the_batch_task_that_loses_least_work() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    let cases = [("lost-much", 900_000, 0), ("lost-little", 900_000, 895_000)];
    for (id, _, _) in cases {
        fixture::run(&mut sched, fixture::task(id, "study", HALF), "w0", Mono(0));
    }
    let runs = |sequence: u64| {
        let status = cases.map(|(id, progress_ms, saved_ms)| {
            let mut status = fixture::usage(id, QUARTER);
            status.progress_ms = if sequence == 1 { saved_ms } else { progress_ms };
            status.checkpoint = (sequence == 2 && saved_ms > 0).then(|| "saved".into());
            status
        });
        status.to_vec()
    };
    for sequence in 1..=2 {
        fixture::report(
            &mut sched,
            sequence,
            0,
            runs(sequence),
            Mono(1_000_000 * sequence),
        );
    }
    sched.enqueue(fixture::urgent("urgent", "check", QUARTER));
    let now = Mono(2_000_001);
    let decisions = fixture::decide_and_confirm(&mut sched, now);
    assert_eq!(fixture::evicted(&decisions), ["lost-little"]);
    assert!(
        fixture::decide_and_confirm(&mut sched, Mono(now.0 + 250)).is_empty(),
        "one eviction is enough"
    );
    sched.enqueue(fixture::task("small", "check", Size::new(1000, 1000, 0)));
    fixture::end(
        &mut sched,
        "lost-little",
        RunOutcome::Stopped,
        Mono(now.0 + 1000),
    );
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(now.0 + 1250)));
    assert_eq!(
        starts[0].0.as_str(),
        "urgent",
        "the capacity is reserved for it"
    );
}

#[test]
fn urgent_tasks_and_services_are_never_evicted_for_urgent_ones() {
    for (class, priority) in [("plan", Priority::Normal), ("study", Priority::Urgent)] {
        let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
        let running = QueuedTask {
            priority,
            ..fixture::task("running", class, WORKER)
        };
        fixture::run(&mut sched, running, "w0", Mono(0));
        sched.enqueue(fixture::urgent("urgent", "check", QUARTER));
        assert!(
            fixture::decide_and_confirm(&mut sched, Mono(1)).is_empty(),
            "{class}"
        );
    }
}

/// Keeps a worker busy with small tasks and returns the second in which a large task starts.
fn large_task_start(sched: &mut Sched) -> Option<u64> {
    let small = Size::new(16_000, 1000, 0);
    let mut running: Vec<(u64, String)> = Vec::new();
    let mut number = 0;
    for second in 0..600_u64 {
        let now = Mono(second * 1000);
        running.retain(|(until, id)| {
            if *until <= second {
                fixture::end(sched, id, RunOutcome::Succeeded, now);
            }
            *until > second
        });
        while sched.dump().queued < 6 {
            let id = format!("small{number}");
            let queued = QueuedTask {
                run_ms: Some(20_000),
                submitted_at: now,
                ..fixture::task(&id, "study", small)
            };
            sched.enqueue(queued);
            number += 1;
        }
        if second == 5 {
            let large = fixture::task("large", "check", WORKER);
            sched.enqueue(QueuedTask {
                submitted_at: now,
                ..large
            });
        }
        for (task, _, _) in fixture::starts(&fixture::decide_and_confirm(sched, now)) {
            if task.as_str() == "large" {
                return Some(second);
            }
            running.push((second + 20 + running.len() as u64 * 3, task.to_string()));
        }
    }
    None
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut sched = fixture::fleet(&fixture::document(), 2, WORKER);
    let start = large_task_start(&mut sched);
    assert!(start.is_some(), "it starts while small tasks keep arriving");
    let without_reservations = Config {
        reserve_after: Duration::MAX,
        ..Config::default()
    };
    let mut sched = fixture::fleet_with(without_reservations, &fixture::document(), 2, WORKER);
    assert_eq!(
        large_task_start(&mut sched),
        None,
        "without a reservation it would starve"
    );
}

#[test]
fn tasks_without_own_capacity_are_handed_off_to_a_shard_with_capacity() {
    let peer = |free: Size| PeerSummary {
        daemon: "other".into(),
        teams: Vec::new(),
        capacity: WORKER,
        shards: vec![PeerShard {
            shard: ShardId::new("far"),
            place: Place::new("east", "east-2"),
            largest: WORKER,
            free,
        }],
    };
    for (free, expected) in [(Size::ZERO, 0), (QUARTER, 1), (HALF, 2)] {
        let mut sched = fixture::fleet(&fixture::document(), 1, Size::new(1000, 1000, 0));
        sched.set_peers(vec![peer(free)]);
        fixture::run(
            &mut sched,
            fixture::task("full", "plan", Size::new(1000, 1000, 0)),
            "w0",
            Mono(0),
        );
        for number in 0..4 {
            sched.enqueue(fixture::urgent(
                &format!("t{number}"),
                "study",
                Size::new(500, 500, 0),
            ));
        }
        sched.enqueue(fixture::urgent("large", "check", QUARTER));
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(1));
        let moved = decisions.iter().filter(|decision| {
            matches!(decision, Decision::HandOff { to_shard, why: Reason::CapacityElsewhere, .. } if to_shard.as_str() == "far")
        });
        let moved = moved.count();
        assert!(moved >= expected, "{free}: {decisions:?}");
        assert!(moved <= 5);
    }
}

#[test]
fn an_urgent_task_takes_a_worker_reserved_for_a_large_one() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    fixture::run(
        &mut sched,
        fixture::task("half", "study", HALF),
        "w0",
        Mono(0),
    );
    sched.enqueue(fixture::task("large", "check", WORKER));
    fixture::decide_and_confirm(&mut sched, Mono(40_000));
    sched.enqueue(fixture::task("small", "quiet", QUARTER));
    assert!(
        fixture::decide_and_confirm(&mut sched, Mono(41_000)).is_empty(),
        "the worker is reserved"
    );
    sched.enqueue(fixture::urgent("urgent", "quiet", QUARTER));
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(42_000)));
    assert_eq!(starts[0].0.as_str(), "urgent");
}
