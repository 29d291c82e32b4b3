//! Tests of the detection of stalled tasks.

use std::time::Duration;

use job::scheduler::Command;
use job::stall::Expectation;
use job::stall::ProgressSample;
use job::stall::ProgressWindow;
use job::stall::Verdict;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::step;

/// Guards against a verdict after too little time or progress, and against restarts that gain nothing.
#[test]
fn progress_is_assessed_by_the_remaining_time_against_a_new_run() {
    let cases = [
        // Progress before and after, interval and expected duration of a run in milliseconds,
        // `compare_rate`, expected verdict.
        (10, 20, 300, 1_000, true, Verdict::Undecided),
        (10, 40, 500, 1_000, true, Verdict::Healthy),
        (10, 10, 600, 1_000, true, Verdict::Undecided),
        (10, 10, 1_000, 1_000, true, Verdict::Stalled),
        (10, 10, 1_000, 1_000, false, Verdict::Stalled),
        (10, 14, 500, 1_000, true, Verdict::TooSlow),
        (10, 14, 500, 1_000, false, Verdict::Slow),
        (90, 94, 500, 1_000, true, Verdict::Slow),
        // One percent takes more than a second.
        (10, 10, 1_000, 130_000, true, Verdict::Undecided),
        (10, 10, 10_400, 130_000, true, Verdict::Stalled),
        (10, 11, 1_000, 130_000, true, Verdict::Undecided),
        (10, 14, 5_200, 130_000, true, Verdict::Healthy),
        (10, 12, 15_000, 130_000, true, Verdict::TooSlow),
        // Nothing is known of the duration.
        (0, 1, 1_000, 0, false, Verdict::Undecided),
        (0, 0, 1_000, 0, false, Verdict::Stalled),
    ];
    for (before, after, interval_ms, expected_ms, compare_rate, verdict) in cases {
        let window = ProgressWindow::new(ProgressSample {
            progress: before,
            at: Mono(1_000),
        });
        let current = ProgressSample {
            progress: after,
            at: Mono(1_000 + interval_ms),
        };
        let expected = Expectation {
            duration: Duration::from_millis(expected_ms),
            compare_rate,
        };
        assert_eq!(
            window.assess(current, expected),
            verdict,
            "{before} to {after} in {interval_ms} ms of {expected_ms} ms"
        );
    }
}

/// Guards against an interval that is so long that a task which stands still seems to progress.
#[test]
fn the_time_without_progress_counts_from_the_latest_progress() {
    let sample = |progress, at| ProgressSample {
        progress,
        at: Mono(at),
    };
    let expected = Expectation {
        duration: Duration::from_secs(40),
        compare_rate: false,
    };
    let mut window = ProgressWindow::new(sample(0, 0));
    window.add(sample(2, 1_000), Verdict::Undecided);
    for at in [1_250, 4_100] {
        assert_eq!(window.assess(sample(2, at), expected), Verdict::Undecided);
        window.add(sample(2, at), Verdict::Undecided);
    }
    assert_eq!(window.assess(sample(2, 4_200), expected), Verdict::Stalled);
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
