//! Tests of interference estimates and of throttling.

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

/// Reports from executor 1 the same tail latency for all service tasks, and the same CPU usage for
/// all best-effort tasks.
fn report(fixture: &mut Fixture, tail_ms: u64, cpu_millis: u64) {
    let rows = fixture
        .tasks_on(1)
        .into_iter()
        .map(|key| {
            if is_best_effort(fixture, key) {
                fixture.running(key, 30, cpu_millis)
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
        .weight(Some(&service), Some(&best_effort))
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
fn a_suspension_is_sent_only_once_the_run_is_confirmed() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(3, 12, "web")]);
    fixture.start_all();
    fixture.submit(2, vec![best_effort(1, 16, "batch")]);
    let (key, run) = fixture.only_start();
    fixture.scheduler.set_cpu_share(key, 0);
    assert_eq!(
        cpu_shares(&mut fixture),
        [] as [u32; 0],
        "no command is sent before the run is confirmed"
    );
    fixture
        .scheduler
        .start_answered(key, run, StartAnswer::Started, fixture.now);
    fixture.scheduler.set_cpu_share(key, 0);
    assert_eq!(cpu_shares(&mut fixture), [0]);
    let assignment = fixture
        .scheduler
        .task(key)
        .and_then(|task| task.assignment());
    assert_eq!(assignment.map(|assignment| assignment.cpu_percent), Some(0));
}

#[test]
fn a_new_owner_sends_cpu_shares_because_it_does_not_know_the_previous_ones() {
    let mut fixture = fixture();
    for key in fixture.tasks_on(1) {
        if let Some(assignment) = is_best_effort(&fixture, key)
            .then(|| fixture.scheduler.assignment_mut(key))
            .flatten()
        {
            assignment.cpu_percent_known = false;
        }
    }
    fixture.pass(1_000);
    report(&mut fixture, 20, 1_000);
    assert_eq!(cpu_shares(&mut fixture), [100; 4]);
    fixture.pass(1_000);
    report(&mut fixture, 20, 1_000);
    assert_eq!(
        cpu_shares(&mut fixture),
        [] as [u32; 0],
        "the shares are sent once"
    );
}

#[test]
fn interfering_pairs_are_distinguished_from_others_within_a_few_reports() {
    for (interferes, low_tail, high_tail) in [(true, 20, 55), (false, 20, 20)] {
        let mut fixture = fixture();
        for round in 0..6 {
            fixture.pass(500);
            let busy = round % 2 == 1;
            let tail = if busy { high_tail } else { low_tail };
            report(&mut fixture, tail, if busy { 4_000 } else { 0 });
        }
        let weight = weight(&fixture, "web", "batch");
        // All four tasks together use a quarter of the executor: ln(55 / 20) / 0.25 is about 4.
        if interferes {
            assert!((3.0..5.0).contains(&weight), "weight {weight}");
        } else {
            assert!(weight < 0.2, "weight {weight}");
        }
    }
}

#[test]
fn interfering_tasks_are_throttled_before_the_tail_latency_exceeds_its_target() {
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
        "tasks are throttled at a tail latency of 48 ms with a target of 50 ms"
    );
    assert!(
        cpu_shares.iter().all(|cpu_share| *cpu_share < 95),
        "{cpu_shares:?}"
    );
}

#[test]
fn tasks_without_interference_are_not_throttled_when_a_service_is_busy() {
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
fn all_best_effort_tasks_are_suspended_when_a_tail_latency_stays_over_its_target() {
    let mut fixture = fixture();
    for _ in 0..6 {
        fixture.pass(500);
        report(&mut fixture, 60, 4_000);
    }
    let cpu_shares = cpu_shares(&mut fixture);
    assert!(cpu_shares.contains(&0), "{cpu_shares:?}");
}

#[test]
fn throttled_tasks_get_their_full_share_again_when_tail_latencies_are_low() {
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
fn a_service_over_its_target_by_its_own_load_throttles_no_task_known_not_to_interfere() {
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

/// Guards against tasks that resume too early: a service at its own peak slightly exceeds its
/// target because of pairs with small weights.
#[test]
fn suspended_tasks_wait_until_the_tail_latency_meets_its_target_and_no_task_is_added() {
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
fn an_executor_without_best_effort_tasks_accepts_them_again_once_its_tail_latencies_drop() {
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
fn learned_interference_is_restored_by_a_new_owner() {
    let mut fixture = fixture();
    for round in 0..6 {
        fixture.pass(500);
        let busy = round % 2 == 1;
        let tail = if busy { 55 } else { 20 };
        report(&mut fixture, tail, if busy { 4_000 } else { 0 });
    }
    let text = serde_json::to_string(&fixture.scheduler.interference.learned())
        .expect("the estimates can be serialised");
    let learned: Vec<job::interference::LearnedPair> =
        serde_json::from_str(&text).expect("the estimates can be deserialised");
    let mut next = Fixture::new(1);
    next.scheduler.interference.restore(&learned);
    let before = weight(&fixture, "web", "batch");
    let after = weight(&next, "web", "batch");
    assert!((before - after).abs() < 0.01, "{before} {after}");
}
