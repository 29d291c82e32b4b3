//! Tests of moving throttled best-effort tasks to other executors.

use std::time::Duration;

use job::migration::ThrottledRun;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::best_effort;

/// Interval of reports, in milliseconds.
const REPORT_MS: u64 = 500;

#[test]
fn a_move_pays_off_once_the_throttled_time_exceeds_the_cost_of_a_restart() {
    let run = |throttled_ms, cpu_percent, progress, has_checkpoint| ThrottledRun {
        throttled_for: Duration::from_millis(throttled_ms),
        cpu_percent,
        progress,
        expected: Duration::from_millis(2_000),
        has_checkpoint,
    };
    let cases = [
        // Just suspended: it may recover at once.
        (run(0, 0, 50, true), false),
        (run(1_000, 0, 50, true), false),
        // Suspended for longer than a restart takes.
        (run(3_000, 0, 50, true), true),
        // Without a checkpoint the work so far is lost as well.
        (run(3_000, 0, 50, false), false),
        (run(5_000, 0, 50, false), true),
        // Nearly done: at a fifth of its share it ends sooner than after a restart.
        (run(10_000, 20, 95, true), false),
        (run(10_000, 20, 0, true), true),
        // At nearly half of its share a restart does not pay off, however long that lasts.
        (run(60_000, 49, 50, true), false),
    ];
    for (run, expected) in cases {
        assert_eq!(run.should_move(), expected, "{run:?}");
    }
}

fn checkpointed(count: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..best_effort(count, 4, "batch")
    }
}

/// Suspends the tasks on the first executor and reports them for some time. Returns the tasks that
/// were stopped, each once although its stop is sent again while the run is reported.
fn report_suspended(fixture: &mut Fixture, ms: u64) -> Vec<TaskKey> {
    let executor = fixture.executor(1);
    for key in fixture.tasks_on(1) {
        fixture.scheduler.set_cpu_share(key, 0);
    }
    let mut stopped = Vec::new();
    for _ in 0..ms / REPORT_MS {
        fixture.pass(REPORT_MS);
        let tasks = fixture.tasks_on(1).into_iter();
        let rows = tasks.map(|key| fixture.running(key, 30, 0)).collect();
        fixture.report_rows(1, rows, Vec::new());
        fixture.scheduler.move_throttled(executor, fixture.now);
        for command in fixture.scheduler.take_commands() {
            if let Command::Stop { key: Some(key), .. } = command
                && !stopped.contains(&key)
            {
                stopped.push(key);
            }
        }
    }
    stopped
}

/// Guards against a step that waits for one of its tasks, which is suspended beside a busy service
/// although other executors are free.
#[test]
fn a_suspended_task_moves_to_a_free_executor() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![checkpointed(1)]);
    fixture.start_all();
    let second = crate::fixture::listing(2);
    fixture.list(vec![crate::fixture::listing(1), second]);
    let stopped = report_suspended(&mut fixture, 6_000);
    let [key] = stopped[..] else {
        panic!("one task is stopped: {stopped:?}");
    };
    let end = fixture.end(1, key, RunOutcome::Interrupted);
    fixture.report(1, vec![end]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(2), [key]);
}

/// Guards against stopping work for which there is no better place.
#[test]
fn a_suspended_task_stays_while_no_other_executor_takes_it() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![checkpointed(1)]);
    fixture.start_all();
    assert_eq!(report_suspended(&mut fixture, 30_000), []);
}

/// Guards against many suspended tasks that arrive together on the few executors that are free.
#[test]
fn tasks_move_one_after_the_other() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![checkpointed(8)]);
    fixture.start_all();
    let second = crate::fixture::listing(2);
    fixture.list(vec![crate::fixture::listing(1), second]);
    let stopped = report_suspended(&mut fixture, 6_000);
    // Two executors lose one task in 2.5 s.
    assert!(
        (1..=2).contains(&stopped.len()),
        "{} tasks were stopped",
        stopped.len()
    );
}
