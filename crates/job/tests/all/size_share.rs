//! Tests that jobs of each size are served at a share of the rate at which the whole queue is
//! (SHORT), whatever there is too little of.

use job::placement::RoundBudget;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::stream_world::Served;
use crate::stream_world::Stream;
use crate::stream_world::StreamWorld;

/// What no stream of the tests uses up.
const PLENTY: usize = 10_000;
const SEEDS: [u64; 3] = [1, 2, 3];
/// The number of the last small job, of the first one of the next class, and of the largest.
const SMALL: u64 = 21;
const LARGE: u64 = 22;
const LARGEST: u64 = 26;

/// Short jobs that need about twice the CPU of all executors.
const SHORT_OF_CPU: Stream = Stream {
    executors: 40,
    budget: RoundBudget {
        tasks: PLENTY,
        tasks_that_can_wait: PLENTY,
    },
    jobs_per_s: 20.0,
    width: 13.0,
    steps: 2,
    cores: 12.0,
    best_effort: false,
};

/// The users ask for half of the rate of the whole queue for the largest tenth, and for the fifth
/// below it.
fn assert_each_size_is_served(stream: Stream) {
    let served: Vec<Served> = SEEDS
        .map(|seed| StreamWorld::new(stream, seed).serve_a_minute())
        .into();
    for served in &served {
        assert!(served.all < 0.95, "nothing is short");
    }
    let is_share =
        |served: &Served| served.largest >= served.all / 2.0 && served.large >= served.all / 2.0;
    assert!(served.iter().all(is_share), "{served:#.2?}");
}

#[test]
fn short_jobs_of_each_size_are_served_while_the_cpu_is_short() {
    assert_each_size_is_served(SHORT_OF_CPU);
}

#[test]
fn best_effort_jobs_of_each_size_are_served_while_the_cpu_is_short() {
    assert_each_size_is_served(Stream {
        best_effort: true,
        ..SHORT_OF_CPU
    });
}

#[test]
fn best_effort_jobs_of_each_size_are_served_while_few_tasks_that_can_wait_may_be_placed() {
    assert_each_size_is_served(Stream {
        executors: 100,
        budget: RoundBudget {
            tasks: PLENTY,
            tasks_that_can_wait: 24,
        },
        cores: 3.0,
        best_effort: true,
        ..SHORT_OF_CPU
    });
}

#[test]
fn short_jobs_of_each_size_are_served_while_few_tasks_may_be_placed() {
    assert_each_size_is_served(Stream {
        executors: 100,
        budget: RoundBudget {
            tasks: 24,
            tasks_that_can_wait: PLENTY,
        },
        cores: 3.0,
        ..SHORT_OF_CPU
    });
}

/// Submits jobs of one task each, the larger ones last.
fn submit_jobs_of_three_sizes(fixture: &mut Fixture) {
    for number in 1..=LARGEST {
        let run_ms = match number {
            1..=SMALL => 1_000,
            LARGE..LARGEST => 2_000,
            _ => 8_000,
        };
        fixture.submit(number, vec![step(1, 1, run_ms)]);
    }
}

/// Places this many tasks. Returns how long each of them runs.
fn place(fixture: &mut Fixture, tasks: usize) -> Vec<u64> {
    let before = fixture.tasks_on(1);
    fixture.scheduler.place_up_to(tasks, fixture.now, 0);
    let keys = fixture.tasks_on(1).into_iter();
    let placed = keys.filter(|key| !before.contains(key));
    let steps = placed.filter_map(|key| fixture.scheduler.step(key));
    let mut runs: Vec<u64> = steps.map(|step| step.estimate_ms).collect();
    runs.sort_unstable();
    runs
}

#[test]
fn smaller_jobs_go_first_until_something_is_short() {
    let mut fixture = Fixture::new(1);
    fixture.place();
    submit_jobs_of_three_sizes(&mut fixture);
    assert_eq!(place(&mut fixture, 3), [1_000, 1_000, 1_000]);
    assert_eq!(place(&mut fixture, 3), [1_000, 2_000, 8_000]);
}

#[test]
fn a_successor_begins_with_shares() {
    let mut fixture = Fixture::new(1);
    submit_jobs_of_three_sizes(&mut fixture);
    assert_eq!(place(&mut fixture, 3), [1_000, 2_000, 8_000]);
}
