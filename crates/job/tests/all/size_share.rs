//! Tests that jobs of each size are served at a share of the rate at which the whole queue is
//! (SHORT), whatever there is too little of.

use job::placement::RoundBudget;

use crate::stream_world::Served;
use crate::stream_world::Stream;
use crate::stream_world::StreamWorld;

/// What no stream of the tests uses up.
const PLENTY: usize = 10_000;
const SEEDS: [u64; 3] = [1, 2, 3];

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
