//! Replays loads of jobs that want a rack, and compares the rule for waits with no wait, a fixed wait
//! and delay scheduling as published (a job is skipped for some time at most, which begins anew when
//! one of its tasks has started near its data).

use std::cell::RefCell;
use std::time::Duration;

use job::locality::Decision;
use job::locality::Place;
use job::locality::Rule;
use job::locality::pays_off;
use job::scheduler::JobKey;
use model::Map;

use crate::locality_world::Load;
use crate::locality_world::LocalityWorld;
use crate::locality_world::Outcome;
use crate::locality_world::Trouble;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// The fixed wait, and the wait of delay scheduling: the mean duration of a task.
const FIXED_WAIT: Duration = Duration::from_millis(1_300);
/// In no load may another rule have more than this part of all jobs in time that the product does not.
const TOLERANCE: f64 = 0.02;
const LOADS: [(&str, Trouble, f64); 5] = [
    ("calm", Trouble::None, 4.0),
    ("busy", Trouble::None, 7.0),
    ("hot rack", Trouble::Hot, 5.0),
    ("full rack", Trouble::Full, 5.0),
    ("lost rack", Trouble::Lost, 5.0),
];
const RULES: [(&str, Rule); 4] = [
    ("no wait", never),
    ("fixed wait", fixed),
    ("delay scheduling", delay_scheduling),
    ("pays off", pays_off),
];

thread_local! {
    /// For how long delay scheduling has skipped each job.
    static SKIPPED: RefCell<Map<JobKey, Duration>> = RefCell::default();
}

/// Counts a round of the world for delay scheduling.
pub fn note_round(duration: Duration) {
    SKIPPED.with_borrow_mut(|skipped| skipped.values_mut().for_each(|one| *one += duration));
}

/// Counts a start near the data for delay scheduling.
pub fn note_near_start(job: JobKey) {
    SKIPPED.with_borrow_mut(|skipped| skipped.remove(&job));
}

fn delay_scheduling(place: &Place) -> Decision {
    let skipped =
        SKIPPED.with_borrow_mut(|skipped| *skipped.entry(place.task.job).or_insert(Duration::ZERO));
    wait_up_to_the_fixed_time(skipped)
}

const fn never(_: &Place) -> Decision {
    Decision::Start
}

fn fixed(place: &Place) -> Decision {
    wait_up_to_the_fixed_time(place.waited)
}

fn wait_up_to_the_fixed_time(waited: Duration) -> Decision {
    match FIXED_WAIT.checked_sub(waited) {
        Some(left) if !left.is_zero() => Decision::Wait(left),
        _ => Decision::Start,
    }
}

fn replay(load: Load, rule: Rule) -> Outcome {
    let outcomes = SEEDS.map(|seed| {
        SKIPPED.take();
        LocalityWorld::new(load, rule, seed).replay()
    });
    outcomes.fold(Outcome::default(), |sum, outcome| sum + outcome)
}

/// Fails if waits make jobs late that are in time without them, or if a simpler rule is better.
#[test]
fn waits_that_pay_off_keep_more_jobs_in_time_than_simpler_rules() {
    let mut sums = [0; RULES.len()];
    println!(
        "factor, load, rule: in time / late / worthless of data, gang, anywhere; waited near / elsewhere"
    );
    for remote_slowdown in [1.5, 2.0, 3.0] {
        for (name, trouble, jobs_per_s) in LOADS {
            let load = Load {
                trouble,
                jobs_per_s,
                remote_slowdown,
            };
            let outcomes = RULES.map(|(rule_name, rule)| {
                let outcome = replay(load, rule);
                println!("{remote_slowdown}, {name}, {rule_name}: {outcome}");
                outcome
            });
            let in_time = outcomes.map(|outcome| outcome.in_time());
            for (sum, in_time) in sums.iter_mut().zip(in_time) {
                *sum += in_time;
            }
            let [others @ .., own] = in_time;
            let best = others.into_iter().max().unwrap_or(0);
            let allowed = f64::from(outcomes[0].jobs()) * TOLERANCE;
            assert!(
                f64::from(own) >= f64::from(best) - allowed,
                "{remote_slowdown}, {name}: {own} in time, {best} by another rule"
            );
        }
    }
    let [others @ .., own] = sums;
    println!("in time, all loads: {sums:?}");
    assert!(others.iter().all(|other| own >= *other), "{sums:?}");
}
