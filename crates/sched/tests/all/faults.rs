//! Combinations of faults: lost workers, failed evictions, cancellations and a store that returns.

use model::Mono;
use model::Size;
use model::id::TaskId;
use model::id::WorkerId;
use sched::Budget;
use sched::Decision;
use sched::Sched;
use sched::input::RunOutcome;

use crate::fixture;
use crate::fixture::WORKER;

const HALF: Size = Size::new(32_000, 128_000, 0);

/// Returns a scheduler with two full workers and an urgent task for which a batch task is being
/// evicted, and the name of the batch task.
fn scheduler_during_eviction() -> (Sched, String) {
    let mut sched = fixture::fleet(&fixture::document(), 2, WORKER);
    for number in 0..4 {
        let task = fixture::task(&format!("batch{number}"), "study", HALF);
        fixture::run(&mut sched, task, &format!("w{}", number % 2), Mono(0));
    }
    sched.enqueue(fixture::urgent("urgent", "check", HALF));
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(1000));
    let evicted = fixture::evicted(&decisions);
    assert_eq!(evicted.len(), 1);
    (sched, evicted[0].to_string())
}

fn worker_of(batch: &str) -> WorkerId {
    let number: usize = batch["batch".len()..].parse().expect("a number");
    WorkerId::new(format!("w{}", number % 2))
}

#[test]
fn a_worker_lost_during_an_eviction_is_replaced_by_another() {
    let (mut sched, victim) = scheduler_during_eviction();
    sched.remove_worker(&worker_of(&victim));
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(1250));
    let evicted = fixture::evicted(&decisions);
    assert_eq!(evicted.len(), 1);
    assert_ne!(worker_of(evicted[0]), worker_of(&victim));
    let second = evicted[0].to_string();
    fixture::end(&mut sched, &second, RunOutcome::Stopped, Mono(2000));
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(2250)));
    assert_eq!(starts[0].0.as_str(), "urgent");
}

#[test]
fn a_failed_eviction_is_retried() {
    let (mut sched, victim) = scheduler_during_eviction();
    sched.decision_failed(&TaskId::new(&victim), Mono(1500));
    let again = (2..20).find(|second| {
        let decisions = fixture::decide_and_confirm(&mut sched, Mono(second * 1000));
        !fixture::evicted(&decisions).is_empty()
    });
    assert!(again.is_some());
}

#[test]
fn an_urgent_task_cancelled_during_the_eviction_frees_the_capacity_for_others() {
    let (mut sched, victim) = scheduler_during_eviction();
    sched.cancelled(&TaskId::new("urgent"));
    fixture::end(&mut sched, &victim, RunOutcome::Stopped, Mono(2000));
    let mut again = fixture::task(&victim, "study", HALF);
    again.evictions = 1;
    sched.enqueue(again);
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(2001)));
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0.as_str(), victim, "it resumes");
    assert!(
        fixture::decide_and_confirm(&mut sched, Mono(2002)).is_empty(),
        "exactly once"
    );
}

#[test]
fn after_a_lost_rack_and_a_store_outage_each_task_starts_once_and_within_budget() {
    let mut sched = fixture::fleet(&fixture::document(), 2, WORKER);
    for number in 0..4 {
        let task = fixture::task(&format!("batch{number}"), "study", HALF);
        fixture::run(&mut sched, task, &format!("w{}", number % 2), Mono(0));
    }
    for worker in ["w0", "w1"] {
        sched.remove_worker(&WorkerId::new(worker));
    }
    for number in 0..10 {
        sched.upsert_worker(fixture::worker(&format!("new{number}"), "r2", WORKER));
    }
    let unreachable = Budget {
        starts: 0,
        evictions: 0,
    };
    for number in 0..4 {
        let id = format!("batch{number}");
        fixture::end(&mut sched, &id, RunOutcome::Stopped, Mono(1000));
        sched.enqueue(fixture::task(&id, "study", HALF));
        sched.enqueue(fixture::task(&format!("next{number}"), "study", HALF));
        assert!(sched.decide(Mono(1000 + number), unreachable).is_empty());
    }
    let limited = Budget {
        starts: 3,
        evictions: 1,
    };
    let mut started = Vec::new();
    for round in 0..6 {
        let decisions = sched.decide(Mono(60_000 + round * 250), limited);
        let starts = fixture::starts(&decisions);
        assert!(starts.len() <= limited.starts);
        started.extend(starts.into_iter().map(|start| start.0));
    }
    started.sort();
    started.dedup();
    assert_eq!(started.len(), 8);
    assert_eq!(sched.dump().running, 8);
}

#[test]
fn events_about_unknown_tasks_and_workers_change_nothing() {
    let (mut sched, _) = scheduler_during_eviction();
    let nobody = TaskId::new("nobody");
    sched.assigned(&nobody, &WorkerId::new("w0"), WORKER, Mono(1));
    sched.ended(&nobody, RunOutcome::Failed, Mono(1));
    sched.decision_failed(&nobody, Mono(1));
    sched.cancelled(&nobody);
    sched.remove_worker(&WorkerId::new("stranger"));
    assert!(sched.decide(Mono(1250), fixture::BUDGET).is_empty());
    assert_eq!(sched.dump().running, 4);
    let evictions = sched
        .recent_decisions()
        .filter(|recent| matches!(recent.decision, Decision::Evict { .. }));
    assert_eq!(evictions.count(), 1, "only the first eviction was decided");
}

#[test]
fn a_confirmation_with_another_size_on_an_unlisted_worker_replaces_the_run() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    sched.enqueue(fixture::task("t", "study", HALF));
    let task = TaskId::new("t");
    let unlisted = "unlisted".into();
    sched.assigned(&task, &unlisted, HALF, Mono(1));
    sched.assigned(&task, &unlisted, WORKER, Mono(2));
    sched.ended(&task, RunOutcome::Stopped, Mono(3));
}
