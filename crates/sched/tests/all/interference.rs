//! Interference is learned per pair of classes and is countered by placement first, then by
//! throttling, then by eviction.

use model::Mono;
use model::Size;
use sched::Config;
use sched::Sched;
use sched::input::RunStatus;

use crate::fixture;
use crate::fixture::WORKER;

const SERVICE: Size = Size::new(10_000, 10_000, 0);
const BATCH: Size = Size::new(16_000, 20_000, 0);
const LOAD_MILLIS: u64 = 5000;

fn batch(id: &str, cpu_millis: u64) -> RunStatus {
    fixture::usage(id, Size::new(cpu_millis, 1000, 0))
}

/// Returns a scheduler that has seen a service beside a `study` task, which raises its p99, and a
/// `quiet` task, which does not. The two batch tasks are active alternately.
fn trained(cfg: Config, reports: u64) -> Sched {
    let mut sched = fixture::fleet_with(cfg, &fixture::document(), 1, WORKER);
    for (id, class, size) in [
        ("plan", "plan", SERVICE),
        ("study", "study", BATCH),
        ("quiet", "quiet", BATCH),
    ] {
        fixture::run(&mut sched, fixture::task(id, class, size), "w0", Mono(0));
    }
    for sequence in 1..=reports {
        let study_millis = 16_000 * (sequence % 2);
        let p99_us = if study_millis > 0 { 95_000 } else { 50_000 };
        let runs = vec![
            fixture::service("plan", LOAD_MILLIS, p99_us),
            batch("study", study_millis),
            batch("quiet", 16_000 * (sequence / 2 % 2)),
        ];
        fixture::report(&mut sched, sequence, 0, runs, Mono(sequence * 10_000));
    }
    sched
}

fn factor(sched: &Sched, class: &str) -> f64 {
    let pairs = sched.dump().pairs;
    let pair = pairs.iter().find(|pair| pair.batch.as_str() == class);
    pair.map_or(f64::NAN, |pair| pair.factor)
}

#[test]
fn interference_is_attributed_to_the_class_that_causes_it() {
    let sched = trained(Config::default(), 200);
    assert!(
        factor(&sched, "study") > 4.0,
        "it raises the p99: {}",
        factor(&sched, "study")
    );
    assert!(
        factor(&sched, "quiet") < 1.3,
        "it does not raise the p99: {}",
        factor(&sched, "quiet")
    );
    let without_learning = Config {
        learning: false,
        ..Config::default()
    };
    assert!(trained(without_learning, 200).dump().pairs.is_empty());
}

#[test]
fn an_unknown_class_is_not_colocated_with_a_loaded_service() {
    for (name, load_millis, p99_us, expected) in
        [("loaded", 8500, 90_000, 0), ("idle", 500, 10_000, 1)]
    {
        let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
        fixture::run(
            &mut sched,
            fixture::task("plan", "plan", SERVICE),
            "w0",
            Mono(0),
        );
        for sequence in 1..=20 {
            let runs = vec![fixture::service("plan", load_millis, p99_us)];
            fixture::report(&mut sched, sequence, 0, runs, Mono(sequence * 10_000));
        }
        sched.enqueue(fixture::task("check", "check", BATCH));
        let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(200_001)));
        assert_eq!(starts.len(), expected, "{name}");
    }
}

#[test]
fn placement_prefers_a_worker_without_interference() {
    let mut sched = trained(Config::default(), 200);
    sched.upsert_worker(fixture::worker("w1", "r", WORKER));
    sched.enqueue(fixture::task(
        "another",
        "study",
        Size::new(12_000, 20_000, 0),
    ));
    let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(2_000_001)));
    assert_eq!(starts[0].1.as_str(), "w1");
}

/// Reports both batch tasks active and the service far above its target, once a minute.
fn rounds_above_target(sched: &mut Sched, rounds: u64) -> (Vec<(String, u16)>, Vec<String>) {
    let (mut caps, mut evictions) = (Vec::new(), Vec::new());
    for round in 1..=rounds {
        let now = Mono(3_000_000 + round * 60_000);
        let runs = vec![
            fixture::service("plan", LOAD_MILLIS, 180_000),
            batch("study", 16_000),
            batch("quiet", 16_000),
        ];
        fixture::report(sched, 1000 + round, 0, runs, now);
        let decisions = sched.decide(now, fixture::BUDGET);
        caps.extend(
            fixture::throttled(&decisions)
                .iter()
                .map(|(task, cap)| ((*task).to_string(), *cap)),
        );
        evictions.extend(fixture::evicted(&decisions).iter().map(ToString::to_string));
    }
    (caps, evictions)
}

#[test]
fn the_interfering_task_is_throttled_first_and_evicted_last() {
    let mut sched = trained(Config::default(), 200);
    let (caps, evictions) = rounds_above_target(&mut sched, 3);
    assert_eq!(caps.first().map(|cap| cap.0.as_str()), Some("study"));
    assert!(evictions.is_empty(), "throttling precedes eviction");
    let (_, evictions) = rounds_above_target(&mut trained(Config::default(), 200), 40);
    assert_eq!(evictions.first().map(String::as_str), Some("study"));
}

#[test]
fn without_throttling_the_interfering_task_is_evicted() {
    let cfg = Config {
        throttling: false,
        ..Config::default()
    };
    let (caps, evictions) = rounds_above_target(&mut trained(cfg, 200), 2);
    assert!(caps.is_empty());
    assert_eq!(evictions, ["study"]);
}

#[test]
fn an_unreachable_store_allows_throttles_but_no_evictions() {
    let cfg = Config {
        throttling: false,
        ..Config::default()
    };
    for cfg in [Config::default(), cfg] {
        let mut sched = trained(cfg, 200);
        let mut decisions = Vec::new();
        sched.enqueue(fixture::task("waits", "check", BATCH));
        for round in 1..=3 {
            let now = Mono(3_000_000 + round * 60_000);
            let runs = vec![
                fixture::service("plan", LOAD_MILLIS, 180_000),
                batch("study", 16_000),
            ];
            fixture::report(&mut sched, 1000 + round, 0, runs, now);
            let unreachable = sched::Budget {
                starts: 0,
                evictions: 0,
            };
            decisions.extend(sched.decide(now, unreachable));
        }
        assert_eq!(decisions.len(), fixture::throttled(&decisions).len());
        assert_eq!(decisions.is_empty(), !cfg.throttling);
    }
}

#[test]
fn throttles_are_lifted_while_the_service_meets_its_target() {
    let mut sched = trained(Config::default(), 200);
    let (caps, _) = rounds_above_target(&mut sched, 3);
    let mut of_study = caps.iter().filter(|cap| cap.0 == "study");
    let mut last = of_study.next_back().map_or(1000, |cap| cap.1);
    assert!(last < 1000);
    for round in 1..=20 {
        let now = Mono(4_000_000 + round * 60_000);
        let runs = vec![
            fixture::service("plan", LOAD_MILLIS, 40_000),
            batch("study", 2000),
        ];
        fixture::report(&mut sched, 2000 + round, 0, runs, now);
        let decisions = sched.decide(now, fixture::BUDGET);
        let caps = fixture::throttled(&decisions).into_iter();
        for (_, cap) in caps.filter(|(task, _)| *task == "study") {
            assert!(cap > last, "the cap is only raised");
            last = cap;
        }
    }
    assert_eq!(last, 1000);
}
