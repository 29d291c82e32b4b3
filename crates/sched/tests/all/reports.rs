//! Reports are delayed, noisy, missing, late or out of order; the scheduler acts only once on each
//! signal.

use model::Mono;
use model::Size;
use sched::Sched;

use crate::fixture;
use crate::fixture::WORKER;

const SERVICE: Size = Size::new(10_000, 10_000, 0);
const STUDY: Size = Size::new(40_000, 20_000, 0);
/// p99 values far above, slightly above and below the target of 100 ms.
const FAR_ABOVE_US: u64 = 140_000;
const ABOVE_US: u64 = 120_000;
const BELOW_US: u64 = 70_000;

/// Returns a scheduler with a service and a `study` task on one worker.
fn pair() -> Sched {
    let mut sched = fixture::fleet(&fixture::document(), 1, WORKER);
    fixture::run(
        &mut sched,
        fixture::task("plan", "plan", SERVICE),
        "w0",
        Mono(0),
    );
    fixture::run(
        &mut sched,
        fixture::task("study", "study", STUDY),
        "w0",
        Mono(0),
    );
    sched
}

/// Reports the service's p99 and returns the caps that are then set.
fn after_report(
    sched: &mut Sched,
    sequence: u64,
    now_s: u64,
    age_s: u64,
    p99_us: u64,
) -> Vec<(String, u16)> {
    let permille = 1000;
    let mut study = fixture::usage("study", STUDY);
    study.throttle_permille = permille;
    let runs = vec![fixture::service("plan", 5000, p99_us), study];
    let now = Mono(now_s * 1000);
    fixture::report(sched, sequence, age_s * 1000, runs, now);
    let decisions = sched.decide(now, fixture::BUDGET);
    let throttled = fixture::throttled(&decisions).into_iter();
    throttled
        .map(|(task, permille)| (task.to_string(), permille))
        .collect()
}

#[test]
fn an_action_is_not_repeated_before_a_report_can_show_its_effect() {
    let mut sched = pair();
    let first = after_report(&mut sched, 1, 100, 10, FAR_ABOVE_US);
    assert_eq!(first.len(), 1, "far above its target, one report is enough");
    // The windows of these reports began before the action at 100 s or within its settling time.
    for (sequence, now_s, age_s) in [(2, 101, 5), (3, 105, 30), (4, 110, 20), (5, 120, 20)] {
        let again = after_report(&mut sched, sequence, now_s, age_s, FAR_ABOVE_US);
        assert!(again.is_empty(), "report {sequence} cannot show the effect");
    }
    let fresh = after_report(&mut sched, 6, 122, 20, FAR_ABOVE_US);
    assert_eq!(
        fresh.len(),
        1,
        "this report shows that the first action was not enough"
    );
    assert!(fresh[0].1 < first[0].1);
}

#[test]
fn old_and_repeated_reports_are_dropped() {
    // The sequence number, time and age in seconds of a second report, and whether it is accepted.
    let cases = [
        ("a newer one", 2, 110, 5, true),
        ("the same number", 1, 110, 5, false),
        ("a lower number", 0, 110, 5, false),
        ("the same figures repeated", 2, 110, 20, false),
        ("older figures", 2, 110, 60, false),
    ];
    for (name, sequence, now_s, age_s, is_accepted) in cases {
        let mut sched = pair();
        assert!(
            after_report(&mut sched, 1, 100, 10, ABOVE_US).is_empty(),
            "one report is not enough"
        );
        let acted = !after_report(&mut sched, sequence, now_s, age_s, ABOVE_US).is_empty();
        assert_eq!(acted, is_accepted, "{name}");
    }
}

#[test]
fn reports_are_accepted_again_after_the_sequence_restarts() {
    let mut sched = pair();
    after_report(&mut sched, 1000, 100, 5, BELOW_US);
    let acted = (1..=6).any(|sequence| {
        !after_report(&mut sched, sequence, 100 + 10 * sequence, 5, FAR_ABOVE_US).is_empty()
    });
    assert!(acted);
}

#[test]
fn noise_around_the_target_causes_no_action() {
    let mut sched = pair();
    for sequence in 1..500 {
        let noise = model::hash::combine_hashes(fixture::SEED, sequence) % 16_000;
        let p99_us = 92_000 + noise;
        let acted = after_report(&mut sched, sequence, 10 * sequence, 5, p99_us);
        assert!(acted.is_empty(), "report {sequence} of {p99_us} us");
    }
}

#[test]
fn missing_reports_cause_no_action_and_the_next_report_is_used() {
    let mut sched = pair();
    after_report(&mut sched, 1, 100, 5, ABOVE_US);
    for second in 101..400 {
        assert!(
            sched
                .decide(Mono(second * 1000), fixture::BUDGET)
                .is_empty()
        );
    }
    assert_eq!(after_report(&mut sched, 60, 400, 5, ABOVE_US).len(), 1);
}

#[test]
fn reports_about_unknown_tasks_are_ignored() {
    let mut sched = pair();
    let runs = vec![
        fixture::usage("nobody", STUDY),
        fixture::service("ghost", 1, FAR_ABOVE_US),
    ];
    fixture::report(&mut sched, 1, 0, runs, Mono(1000));
    assert!(sched.decide(Mono(1000), fixture::BUDGET).is_empty());
    assert!(sched.dump().pairs.is_empty());
}
