//! Tests that many best-effort jobs that have waited for long all get a task started.

use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::JobId;
use job::scheduler::RunOutcome;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::step;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::REPORT_INTERVAL_MS;
use crate::starvation::fixture_with_learned_interference;

const EXECUTORS: usize = 2;
/// The time within which each job has a started task once executors take tasks.
const MAX_WAIT_MS: u64 = 10_000;

impl Fixture {
    /// Keeps all executors from taking tasks for some time.
    fn close_executors(&mut self, closed: Duration) {
        let keys: Vec<ExecutorKey> = (1..=EXECUTORS).map(|it| self.executor(it)).collect();
        for key in keys {
            let executor = self.scheduler.fleet.get_mut(key);
            executor.expect("the executor is known").not_before = self.now.after(closed);
        }
    }

    fn advance_with_reports(&mut self, ms: u64) {
        for _ in 0..ms / REPORT_INTERVAL_MS {
            self.start_all();
            self.pass(REPORT_INTERVAL_MS);
            self.report_all(EXECUTORS, LOW_TAIL_MS);
        }
    }
}

#[test]
fn a_job_with_running_tasks_does_not_keep_others_that_wait_as_long_from_their_first_task() {
    let mut fixture = fixture_with_learned_interference();
    let closed = Duration::from_secs(60);
    fixture.close_executors(closed);
    let jobs: Vec<JobId> = (10..14)
        .map(|number| fixture.submit(number, vec![best_effort(8, 16, "batch")]))
        .collect();
    fixture.advance_with_reports(60_000);
    assert!(jobs.iter().all(|id| !fixture.has_started(*id)));
    fixture.advance_with_reports(MAX_WAIT_MS);
    let waiting: Vec<&JobId> = jobs
        .iter()
        .filter(|id| !fixture.has_started(**id))
        .collect();
    assert!(waiting.is_empty(), "no task of {waiting:?} has started");
}

/// LOST: of a backlog without value, whole steps of the first jobs were placed while others had no
/// task on an executor.
#[test]
fn jobs_without_value_each_get_a_first_task_before_any_gets_a_second() {
    let mut fixture = Fixture::new(1);
    fixture.submit(100, vec![step(1, 64, 1_000)]);
    fixture.start_all();
    let jobs: Vec<JobId> = (0..4)
        .map(|number| fixture.submit(number, vec![step(4, 16, 1_000)]))
        .collect();
    fixture.pass(60_000);
    let busy = fixture.tasks_on(1)[0];
    let end = fixture.end(1, busy, RunOutcome::Done);
    fixture.report(1, vec![end]);
    fixture.start_all();
    assert!(jobs.iter().all(|id| fixture.has_started(*id)));
}
