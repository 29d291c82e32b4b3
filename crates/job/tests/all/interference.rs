//! Learning which images disturb each other, and slowing down those that do.

use std::sync::Arc;

use job::scheduler::Command;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::service;

fn is_best_effort(fixture: &Fixture, key: TaskKey) -> bool {
    fixture
        .scheduler
        .step(key)
        .is_some_and(|step| step.best_effort)
}

/// Has executor 1 report a tail for all tasks that serve and, for those that fill, what they use.
fn report(fixture: &mut Fixture, tail_ms: u64, use_millis: u64) {
    let rows = fixture
        .tasks_on(1)
        .into_iter()
        .map(|key| {
            if is_best_effort(fixture, key) {
                fixture.running(key, 30, use_millis)
            } else {
                fixture.running(key, 100, tail_ms)
            }
        })
        .collect();
    fixture.report_rows(1, rows, vec![]);
    let executor = fixture.executor(1);
    fixture.scheduler.learn_interference(executor, fixture.now);
    fixture
        .scheduler
        .throttle_after_report(executor, fixture.now);
}

fn cpu_shares(fixture: &mut Fixture) -> Vec<u32> {
    fixture
        .scheduler
        .take_commands()
        .iter()
        .filter_map(|command| match command {
            Command::Throttle { cpu_percent, .. } => Some(*cpu_percent),
            _ => None,
        })
        .collect()
}

fn weight(fixture: &Fixture, service: &str, best_effort: &str) -> f64 {
    let (service, best_effort): (Arc<str>, Arc<str>) = (service.into(), best_effort.into());
    fixture
        .scheduler
        .interference
        .weight(&service, &best_effort)
}

fn fixture() -> Fixture {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(3, 12, "web")]);
    fixture.start_all();
    fixture.submit(2, vec![best_effort(4, 4, "batch")]);
    fixture.start_all();
    fixture.scheduler.take_commands();
    fixture
}

#[test]
fn a_task_that_begins_after_it_was_told_to_stand_still_is_told_again() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(3, 12, "web")]);
    fixture.start_all();
    fixture.submit(2, vec![best_effort(1, 16, "batch")]);
    let (key, run) = fixture.only_start();
    fixture.scheduler.set_cpu_share(key, 0);
    assert_eq!(
        cpu_shares(&mut fixture),
        [] as [u32; 0],
        "nothing is there to be told"
    );
    fixture
        .scheduler
        .start_answered(key, run, StartAnswer::Started, fixture.now);
    fixture.scheduler.set_cpu_share(key, 0);
    assert_eq!(cpu_shares(&mut fixture), [0]);
    let at = fixture
        .scheduler
        .task(key)
        .and_then(|task| task.assignment());
    assert_eq!(at.map(|at| at.cpu_percent), Some(0));
}

#[test]
fn a_successor_tells_tasks_that_fill_their_share_as_it_does_not_know_what_they_were_told() {
    let mut fixture = fixture();
    for key in fixture.tasks_on(1) {
        if let Some(at) = is_best_effort(&fixture, key)
            .then(|| fixture.scheduler.assignment_mut(key))
            .flatten()
        {
            at.cpu_percent_known = false;
        }
    }
    fixture.pass(1_000);
    report(&mut fixture, 20, 1_000);
    assert_eq!(cpu_shares(&mut fixture), [100; 4]);
    fixture.pass(1_000);
    report(&mut fixture, 20, 1_000);
    assert_eq!(cpu_shares(&mut fixture), [] as [u32; 0], "once is enough");
}

#[test]
fn a_pair_that_disturbs_is_told_from_one_that_does_not_within_a_few_reports() {
    for (disturbs, low_tail, high_tail) in [(true, 20, 55), (false, 20, 20)] {
        let mut fixture = fixture();
        for round in 0..6 {
            fixture.pass(500);
            let busy = round % 2 == 1;
            let tail = if busy { high_tail } else { low_tail };
            report(&mut fixture, tail, if busy { 4_000 } else { 0 });
        }
        let weight = weight(&fixture, "web", "batch");
        // All four tasks use a quarter of the executor: ln(55 / 20) / 0.25 is about 4.
        if disturbs {
            assert!((3.0..5.0).contains(&weight), "weight {weight}");
        } else {
            assert!(weight < 0.2, "weight {weight}");
        }
    }
}

#[test]
fn what_disturbs_is_slowed_down_before_the_tail_is_over_its_target() {
    let mut fixture = fixture();
    for round in 0..6 {
        fixture.pass(500);
        let busy = round % 2 == 1;
        report(
            &mut fixture,
            if busy { 40 } else { 20 },
            if busy { 4_000 } else { 0 },
        );
    }
    fixture.scheduler.take_commands();
    fixture.pass(1_000);
    report(&mut fixture, 48, 4_000);
    let cpu_shares = cpu_shares(&mut fixture);
    assert!(
        !cpu_shares.is_empty(),
        "a tail at 48 of 50 ms is brought down"
    );
    assert!(
        cpu_shares.iter().all(|cpu_share| *cpu_share < 95),
        "{cpu_shares:?}"
    );
}

#[test]
fn what_does_not_disturb_works_on_when_a_service_is_busy_by_itself() {
    let mut fixture = fixture();
    for round in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 20, if round % 2 == 1 { 4_000 } else { 0 });
    }
    fixture.scheduler.take_commands();
    fixture.pass(1_000);
    report(&mut fixture, 48, 4_000);
    assert_eq!(cpu_shares(&mut fixture), Vec::<u32>::new());
}

#[test]
fn everything_that_fills_stands_still_when_a_tail_stays_over_its_target_all_the_same() {
    let mut fixture = fixture();
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 60, 4_000);
    }
    let cpu_shares = cpu_shares(&mut fixture);
    assert!(cpu_shares.contains(&0), "{cpu_shares:?}");
}

#[test]
fn what_was_slowed_down_works_at_full_speed_again_when_tails_are_calm() {
    let mut fixture = fixture();
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 60, 4_000);
    }
    for _ in 0..4 {
        fixture.pass(800);
        report(&mut fixture, 10, 0);
    }
    assert_eq!(cpu_shares(&mut fixture).last(), Some(&100));
}

#[test]
fn a_service_far_over_its_target_by_its_own_load_stops_nothing_that_is_known_not_to_disturb_it() {
    let mut fixture = fixture();
    for round in 0..20 {
        fixture.pass(500);
        report(&mut fixture, 20, if round % 2 == 1 { 4_000 } else { 0 });
    }
    fixture.scheduler.take_commands();
    for _ in 0..10 {
        fixture.pass(500);
        report(&mut fixture, 100, 4_000);
    }
    assert_eq!(cpu_shares(&mut fixture), Vec::<u32>::new());
}

/// The load pattern: a service at its own peak, a little over its target through pairs of small weight.
#[test]
fn what_stands_still_does_so_until_the_tail_is_under_its_target_and_nothing_joins_it() {
    let mut fixture = fixture();
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 60, 4_000);
    }
    assert!(cpu_shares(&mut fixture).contains(&0));
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 55, 0);
        assert!(
            !cpu_shares(&mut fixture)
                .iter()
                .any(|cpu_share| *cpu_share > 0)
        );
    }
    fixture.submit(3, vec![best_effort(1, 2, "other")]);
    assert_eq!(fixture.place(), 0);
    for _ in 0..3 {
        fixture.pass(800);
        report(&mut fixture, 30, 0);
    }
    assert!(cpu_shares(&mut fixture).contains(&100));
    assert_eq!(fixture.place(), 1);
}

#[test]
fn an_executor_is_open_again_once_its_tails_are_calm_though_nothing_fills_there_any_more() {
    let mut fixture = fixture();
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 60, 4_000);
    }
    let ends = (1..)
        .zip(fixture.tasks_on(1))
        .filter(|(_, key)| is_best_effort(&fixture, *key))
        .map(|(number, key)| fixture.end(number, key, job::scheduler::RunOutcome::Done))
        .collect();
    fixture.report(1, ends);
    fixture.pass(500);
    report(&mut fixture, 10, 0);
    fixture.submit(3, vec![best_effort(1, 2, "other")]);
    fixture.pass(500);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn a_successor_knows_what_was_learned() {
    let mut fixture = fixture();
    for round in 0..6 {
        fixture.pass(500);
        let busy = round % 2 == 1;
        let tail = if busy { 55 } else { 20 };
        report(&mut fixture, tail, if busy { 4_000 } else { 0 });
    }
    let text = serde_json::to_string(&fixture.scheduler.interference.learned()).expect("a row");
    let learned: Vec<job::interference::LearnedPair> =
        serde_json::from_str(&text).expect("what was learned");
    let mut next = Fixture::new(1);
    next.scheduler.interference.restore(&learned);
    let before = weight(&fixture, "web", "batch");
    let after = weight(&next, "web", "batch");
    assert!((before - after).abs() < 0.01, "{before} {after}");
}
