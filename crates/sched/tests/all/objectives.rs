//! The document's weights change decisions: RSH weights tail latency highest, AQSE weights
//! throughput and evictions highest.

use conf::doc::Sharing;
use model::Mono;
use model::Size;
use sched::Config;
use sched::Decision;
use sched::Sched;

use crate::fixture;
use crate::fixture::WORKER;

const SERVICE: Size = Size::new(10_000, 10_000, 0);
const STUDY: Size = Size::new(16_000, 20_000, 0);
const NOW: Mono = Mono(205_000);

fn rsh() -> Sharing {
    Sharing {
        tail_weight: 5,
        throughput_weight: 1,
        evictions_weight: 2,
        ..Sharing::default()
    }
}

fn aqse() -> Sharing {
    Sharing {
        tail_weight: 1,
        throughput_weight: 4,
        evictions_weight: 4,
        ..Sharing::default()
    }
}

/// Returns a scheduler that has received reports of a service's p99 for some time, with or without
/// a `study` task on the same worker.
fn sched(sharing: Sharing, cfg: Config, with_batch: bool, p99_us: u64) -> Sched {
    let document = conf::doc::Document {
        sharing,
        ..fixture::document()
    };
    let mut sched = fixture::fleet_with(cfg, &document, 1, WORKER);
    fixture::run(
        &mut sched,
        fixture::task("plan", "plan", SERVICE),
        "w0",
        Mono(0),
    );
    if with_batch {
        fixture::run(
            &mut sched,
            fixture::task("study", "study", STUDY),
            "w0",
            Mono(0),
        );
    }
    for sequence in 1..=20 {
        let mut runs = vec![fixture::service("plan", 5000, p99_us)];
        if with_batch {
            runs.push(fixture::usage("study", STUDY));
        }
        fixture::report(&mut sched, sequence, 0, runs, Mono(sequence * 10_000));
    }
    sched
}

#[test]
fn a_p99_slightly_above_its_target_causes_throttling_for_rsh_only() {
    let throttles = |sharing| {
        let decisions =
            sched(sharing, Config::default(), true, 106_000).decide(NOW, fixture::BUDGET);
        fixture::throttled(&decisions).len()
    };
    assert_eq!((throttles(rsh()), throttles(aqse())), (1, 0));
}

#[test]
fn batch_beside_a_service_with_little_headroom_starts_for_aqse_only() {
    let starts = |sharing| {
        let mut sched = sched(sharing, Config::default(), false, 80_000);
        sched.enqueue(fixture::task("study", "study", STUDY));
        fixture::starts(&sched.decide(NOW, fixture::BUDGET)).len()
    };
    assert_eq!((starts(rsh()), starts(aqse())), (0, 1));
}

#[test]
fn rsh_evicts_at_a_smaller_excess_than_aqse() {
    let cfg = Config {
        throttling: false,
        ..Config::default()
    };
    let evictions = |sharing| {
        let decisions = sched(sharing, cfg, true, 135_000).decide(NOW, fixture::BUDGET);
        let evictions = decisions
            .iter()
            .filter(|decision| matches!(decision, Decision::Evict { .. }));
        evictions.count()
    };
    assert_eq!((evictions(rsh()), evictions(aqse())), (1, 0));
}
