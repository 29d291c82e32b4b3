//! Tests of the detection of stalled tasks.

use std::time::Duration;

use job::scheduler::Command;
use job::stall::ProgressSample;
use job::stall::Verdict;
use job::stall::assess_progress;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::step;

#[test]
fn progress_is_assessed_by_the_remaining_time_against_a_new_run() {
    let cases = [
        // Progress before and after, interval in milliseconds, `compare_rate`, expected verdict.
        (10, 20, 300, true, Verdict::Undecided),
        (10, 40, 500, true, Verdict::Healthy),
        (10, 10, 600, true, Verdict::Undecided),
        (10, 10, 1_000, true, Verdict::Stalled),
        (10, 10, 1_000, false, Verdict::Stalled),
        (10, 14, 500, true, Verdict::Stalled),
        (10, 14, 500, false, Verdict::Healthy),
        (90, 94, 500, true, Verdict::Healthy),
    ];
    for (before, after, interval_ms, compare_rate, expected) in cases {
        let earlier = ProgressSample {
            progress: before,
            at: Mono(1_000),
        };
        let now = Mono(1_000 + interval_ms);
        let verdict = assess_progress(earlier, after, Duration::from_secs(1), compare_rate, now);
        assert_eq!(verdict, expected, "{before} to {after} in {interval_ms} ms");
    }
}

/// Guards against tasks on an executor that hangs while it continues to answer calls.
#[test]
fn a_stalled_task_starts_again_elsewhere() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.start_all();
    let number = if fixture.tasks_on(1).is_empty() { 2 } else { 1 };
    let executor = fixture.executor(number);
    for _ in 0..4 {
        fixture.pass(500);
        fixture.report(number, vec![]);
        fixture.scheduler.stop_stalled(executor, fixture.now);
    }
    let commands = fixture.scheduler.take_commands();
    let stops = commands
        .iter()
        .filter(|command| matches!(command, Command::Stop { .. }))
        .count();
    assert!(stops > 0 && stops == commands.len(), "{commands:?}");
    let task = fixture.tasks_on(number)[0];
    let end = fixture.end(1, task, job::scheduler::RunOutcome::Interrupted);
    fixture.report(number, vec![end]);
    fixture.start_all();
    assert!(fixture.tasks_on(number).is_empty());
}
