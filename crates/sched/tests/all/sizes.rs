//! Declared sizes may be wrong, and reservations follow the measured usage of runs.

use model::Mono;
use model::Size;
use sched::Config;
use sched::Sched;
use sched::input::QueuedTask;
use sched::input::RunOutcome;

use crate::fixture;
use crate::fixture::WORKER;

const RUNS: u64 = 40;

/// Runs tasks with the given declared and used sizes and returns the reservation of one more task.
fn reserved_after(
    sched: &mut Sched,
    class: &str,
    sizes: impl Fn(u64) -> (Size, Size),
    declared: Size,
) -> Size {
    for number in 0..RUNS {
        let (declared, used) = sizes(number);
        let id = format!("t{number}");
        let at = |offset: u64| Mono(number * 100_000 + offset);
        sched.enqueue(fixture::task(&id, class, declared));
        let starts = fixture::starts(&fixture::decide_and_confirm(sched, at(0)));
        let reserved = starts.first().map_or(declared, |start| start.2);
        let cpu_millis = used.cpu_millis.min(reserved.cpu_millis);
        let status = fixture::usage(&id, Size { cpu_millis, ..used });
        fixture::report(sched, number + 1, 1000, vec![status], at(10_000));
        fixture::end(sched, &id, RunOutcome::Succeeded, at(60_000));
    }
    sched.enqueue(fixture::task("next", class, declared));
    let now = Mono(RUNS * 100_000);
    let starts = fixture::starts(&fixture::decide_and_confirm(sched, now));
    starts.first().map_or(Size::ZERO, |start| start.2)
}

#[test]
fn reservations_follow_measured_usage() {
    let true_size = Size::new(4000, 8000, 0);
    // The declared size of tasks that use 4 cores and 8 GB.
    let cases = [
        ("exact", Size::new(4000, 8000, 0)),
        ("ten times too much", Size::new(40_000, 80_000, 0)),
        ("a quarter of it", Size::new(1000, 2000, 0)),
        ("nothing at all", Size::ZERO),
    ];
    for (name, declared) in cases {
        let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
        let reserved = reserved_after(&mut sched, "study", |_| (declared, true_size), declared);
        assert!(true_size.fits(&reserved), "{name}: {reserved}");
        assert!(
            reserved.fits(&Size::new(6000, 12_000, 0)),
            "{name}: {reserved}"
        );
    }
}

#[test]
fn small_tasks_of_a_class_with_proportional_usage_get_small_reservations() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    let sizes = |number: u64| {
        let scale = 1 + number % 10;
        let used = Size::new(1000 * scale, 2000 * scale, 0);
        (used + used, used)
    };
    let reserved = reserved_after(&mut sched, "study", sizes, Size::new(2000, 4000, 0));
    assert!(
        reserved.fits(&Size::new(1200, 2400, 0)),
        "expected half of the declared size: {reserved}"
    );
}

#[test]
fn without_learning_the_declared_size_is_reserved() {
    let cfg = Config {
        learning: false,
        ..Config::default()
    };
    let declared = Size::new(10_000, 10_000, 0);
    let mut sched = fixture::fleet_with(cfg, &fixture::document(), 1, WORKER);
    let used = Size::new(1000, 1000, 0);
    assert_eq!(
        reserved_after(&mut sched, "study", |_| (declared, used), declared),
        declared
    );
}

#[test]
fn a_learned_class_runs_even_if_it_declares_more_than_any_worker_has() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    let used = Size::new(4000, 8000, 0);
    let oversized = Size::new(1_000_000, 1_000_000, 0);
    let sizes = |number: u64| (Size::new(4000 + 1000 * (number % 20), 64_000, 0), used);
    let reserved = reserved_after(&mut sched, "study", sizes, oversized);
    assert!(used.fits(&reserved) && reserved.fits(&WORKER), "{reserved}");
}

#[test]
fn a_task_that_failed_gets_more_memory_but_never_more_than_a_worker_has() {
    let declared = Size::new(1000, 100_000, 0);
    for (failures, memory_mib) in [(0, 100_000), (1, 200_000), (2, 256_000), (9, 256_000)] {
        let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
        sched.enqueue(QueuedTask {
            failures,
            ..fixture::task("t", "study", declared)
        });
        let starts = fixture::starts(&fixture::decide_and_confirm(&mut sched, Mono(100_000)));
        assert_eq!(
            starts[0].2.memory_mib, memory_mib,
            "after {failures} failures"
        );
    }
}

#[test]
fn memory_pressure_evicts_the_cheapest_batch_task() {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    for id in ["long", "short"] {
        fixture::run(
            &mut sched,
            fixture::task(id, "study", Size::new(1000, 1000, 0)),
            "w0",
            Mono(0),
        );
    }
    let status = [("long", 600_000), ("short", 1000)].map(|(id, progress_ms)| {
        let mut status = fixture::usage(id, Size::new(1000, 125_000, 0));
        status.progress_ms = progress_ms;
        status
    });
    fixture::report(&mut sched, 1, 0, status.to_vec(), Mono(10_000));
    sched.enqueue(fixture::task("more", "check", Size::new(1000, 10_000, 0)));
    let decisions = fixture::decide_and_confirm(&mut sched, Mono(10_001));
    assert_eq!(fixture::evicted(&decisions), ["short"]);
    assert!(
        fixture::starts(&decisions).is_empty(),
        "memory in use is not reserved for others"
    );
}

#[test]
fn a_service_gets_headroom_above_its_peak_whatever_it_declared() {
    let used = Size::new(7000, 8000, 0);
    for declared in [Size::new(40_000, 80_000, 0), Size::new(2000, 4000, 0)] {
        let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
        let reserved = reserved_after(&mut sched, "plan", |_| (declared, used), declared);
        assert!(
            reserved.cpu_millis >= 10_000,
            "expected a load of at most 70%: {reserved}"
        );
        assert!(reserved.cpu_millis <= 20_000, "{reserved}");
    }
}
