//! Tests of the rounds in which late steps come first, beside the pace of tasks that can wait.

use job::placement::RoundBudget;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::step;

/// The objective of the late job, and the estimate of its only step.
const OBJECTIVE_MS: u64 = 3_000;
const PATH_MS: u64 = 1_000;
/// The time between two rounds.
const ROUND_MS: u64 = 20;
/// A round with tasks that can wait follows this many without, while a wide step is paid off.
const ROUND_PERIODS: [u64; 4] = [2, 3, 4, 8];

/// Places one task that can wait in each of `period` rounds, from the round `first` on. Returns
/// whether a late job starts while it has value and best-effort work does not run out.
fn late_job_starts(period: u64, first: u64) -> bool {
    let mut fixture = Fixture::new(4);
    let late = fixture.submit(1, vec![step(1, 1, PATH_MS)]);
    let late = fixture.scheduler.find(late).expect("the job is known");
    fixture.pass(OBJECTIVE_MS);
    for round in 0..(2 * OBJECTIVE_MS - PATH_MS) / ROUND_MS {
        let is_open = round % period == first;
        if is_open {
            fixture.submit(2 + round, vec![best_effort(1, 1, "fill")]);
        }
        let budget = RoundBudget {
            tasks: 100,
            tasks_that_can_wait: usize::from(is_open),
        };
        fixture.scheduler.place_within(budget, fixture.now, 0);
        fixture.pass(ROUND_MS);
    }
    let job = fixture.scheduler.job(late).expect("the job is known");
    !job.has_waiting_tasks()
}

/// Guards against late steps whose turn always comes in a round without tasks that can wait.
#[test]
fn a_late_step_starts_however_the_rounds_for_tasks_that_can_wait_are_spaced() {
    for period in ROUND_PERIODS {
        for first in 0..period {
            let starts = late_job_starts(period, first);
            assert!(starts, "open rounds {first} of each {period}");
        }
    }
}
