//! Tests that no condition on the choice of an executor keeps a task waiting for ever.

use job::fleet::Listing;
use job::id::JobId;
use job::scheduler::RunOutcome;
use job::spec::StepSpec;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::MAX_LEASE;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;

/// The time between two reports of an executor.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// The time within which a step with free executors has to start, however unsuitable they are.
const MAX_WAIT_MS: u64 = 10_000;
/// A tail latency far below the target of the services in the tests.
pub const LOW_TAIL_MS: u64 = 20;
/// A tail latency above their target.
pub const HIGH_TAIL_MS: u64 = 60;

impl Fixture {
    /// Reports the same tail latency for all service tasks, and for best-effort tasks the CPU that
    /// they use at their share.
    pub fn report_all(&mut self, executors: usize, tail_ms: u64) {
        for number in 1..=executors {
            let rows = self
                .tasks_on(number)
                .into_iter()
                .map(|key| {
                    let step = self.scheduler.step(key).expect("the task has a step");
                    let task = self.scheduler.task(key).expect("the task exists");
                    let assignment = task.assignment().expect("the task is assigned");
                    let share = u64::from(assignment.cpu_percent);
                    let used = step.size.cpu_millis * share / 100;
                    let value = if step.best_effort { used } else { tail_ms };
                    self.running(key, 100, value)
                })
                .collect();
            self.report_rows(number, rows, Vec::new());
            let executor = self.executor(number);
            self.scheduler.learn_interference(executor, self.now);
            self.scheduler.throttle_after_report(executor, self.now);
        }
    }

    /// Returns whether any task of a job is assigned to an executor.
    pub fn has_started(&self, id: JobId) -> bool {
        let key = self.scheduler.find(id).expect("the job exists");
        let job = self.scheduler.job(key).expect("the job exists");
        job.tasks.iter().any(|task| task.assignment().is_some())
    }

    /// Lets time pass with a report of each executor and a placement round twice a second, until a
    /// task of the job starts. Panics with the reason if that takes longer than [`MAX_WAIT_MS`].
    pub fn expect_start(&mut self, id: JobId, executors: usize, tail_ms: u64) {
        let submitted = self.now;
        loop {
            self.start_all();
            if self.has_started(id) {
                return;
            }
            let waited_ms = self.now.0 - submitted.0;
            let reason = self.wait_reason(id).map(|reason| reason.to_string());
            assert!(
                waited_ms < MAX_WAIT_MS,
                "waits for {waited_ms} ms: {reason:?}"
            );
            self.pass(REPORT_INTERVAL_MS);
            self.report_all(executors, tail_ms);
        }
    }

    /// Lists executors with these cores instead of 64.
    fn list_with_cores(&mut self, executors: usize, cores: u64) {
        let listings = (1..=executors).map(|number| Listing {
            capacity: Size::new(cores * 1_000, 256_000, 0),
            ..listing(number)
        });
        self.list(listings.collect());
    }
}

/// Two executors, each with a service of the image `web`. The scheduler has learned that tasks of
/// the image `batch` raise its tail latency by a factor of more than two.
pub fn fixture_with_learned_interference() -> Fixture {
    let mut fixture = Fixture::new(2);
    fixture.submit(
        1,
        vec![StepSpec {
            max_per_executor: 1,
            ..service(2, 12, "web")
        }],
    );
    fixture.start_all();
    let known = fixture.submit(2, vec![best_effort(2, 16, "batch")]);
    fixture.start_all();
    for round in 0..8 {
        fixture.pass(REPORT_INTERVAL_MS);
        let busy = round % 2 == 1;
        report_best_effort(&mut fixture, if busy { 48 } else { LOW_TAIL_MS }, busy);
    }
    let weight = fixture
        .scheduler
        .interference
        .weight(Some(&"web".into()), Some(&"batch".into()));
    assert!(weight > 2.0, "weight {weight}");
    fixture.scheduler.cancel(known);
    fixture.store();
    for number in 1..=2 {
        let rows = fixture
            .tasks_on(number)
            .into_iter()
            .filter(|key| {
                fixture
                    .scheduler
                    .step(*key)
                    .is_some_and(StepSpec::is_service)
            })
            .map(|key| fixture.running(key, 100, LOW_TAIL_MS))
            .collect();
        fixture.pass(MAX_LEASE.as_secs() * 1_000);
        fixture.report_rows(number, rows, Vec::new());
    }
    fixture.report_all(2, LOW_TAIL_MS);
    fixture.scheduler.take_commands();
    fixture
}

/// Reports a tail latency for all services, and that best-effort tasks use all or nothing of what
/// they asked for.
fn report_best_effort(fixture: &mut Fixture, tail_ms: u64, busy: bool) {
    for number in 1..=2 {
        let rows = fixture
            .tasks_on(number)
            .into_iter()
            .map(|key| {
                let step = fixture.scheduler.step(key).expect("the task has a step");
                let used = if busy { step.size.cpu_millis } else { 0 };
                let value = if step.best_effort { used } else { tail_ms };
                fixture.running(key, 100, value)
            })
            .collect();
        fixture.report_rows(number, rows, Vec::new());
        let executor = fixture.executor(number);
        fixture.scheduler.learn_interference(executor, fixture.now);
    }
}

#[test]
fn a_best_effort_step_starts_although_it_would_disturb_the_services_on_every_executor() {
    let mut fixture = fixture_with_learned_interference();
    let id = fixture.submit(3, vec![best_effort(2, 16, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
}

#[test]
fn a_best_effort_step_with_a_limit_per_executor_starts_although_it_would_disturb_services() {
    let mut fixture = fixture_with_learned_interference();
    let limited = StepSpec {
        max_per_executor: 1,
        ..best_effort(2, 16, "batch")
    };
    let id = fixture.submit(3, vec![limited]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
}

#[test]
fn a_best_effort_gang_starts_although_it_would_disturb_the_services_on_every_executor() {
    let mut fixture = fixture_with_learned_interference();
    let gang = StepSpec {
        gang: true,
        ..best_effort(2, 16, "batch")
    };
    let id = fixture.submit(3, vec![gang]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
}

/// The weight that is assumed of an unknown pair of images is never corrected while nothing of the
/// image runs.
#[test]
fn a_large_best_effort_step_of_an_unknown_image_starts_beside_services() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 12, "web")]);
    fixture.start_all();
    let id = fixture.submit(2, vec![best_effort(1, 20, "batch")]);
    fixture.expect_start(id, 1, LOW_TAIL_MS);
}

#[test]
fn a_best_effort_step_starts_although_a_service_on_every_executor_stays_over_its_target() {
    let mut fixture = Fixture::new(2);
    let spread = StepSpec {
        max_per_executor: 1,
        ..service(2, 12, "web")
    };
    fixture.submit(1, vec![spread]);
    fixture.start_all();
    for _ in 0..4 {
        fixture.pass(REPORT_INTERVAL_MS);
        fixture.report_all(2, HIGH_TAIL_MS);
    }
    let id = fixture.submit(2, vec![best_effort(1, 2, "batch")]);
    fixture.expect_start(id, 2, HIGH_TAIL_MS);
}

/// An idle executor is not polled, so that no report says that the service has gone.
#[test]
fn a_service_that_left_its_executor_while_it_was_over_its_target_keeps_no_best_effort_task_away() {
    let mut fixture = Fixture::new(1);
    let service = fixture.submit(1, vec![service(1, 12, "web")]);
    fixture.start_all();
    fixture.pass(REPORT_INTERVAL_MS);
    fixture.report_all(1, HIGH_TAIL_MS);
    fixture.scheduler.cancel(service);
    let executor = fixture.executor(1);
    fixture.scheduler.mark_unreachable(executor, fixture.now);
    fixture.pass(LEASE.as_secs() * 2_000);
    fixture.scheduler.tick(fixture.now);
    assert!(fixture.tasks_on(1).is_empty(), "the lease has expired");
    // A clock that fell behind would show another incarnation, which is polled first.
    let clock_ms = fixture.now.0;
    fixture
        .scheduler
        .command_answered(executor, None, clock_ms, fixture.now);
    fixture.submit(2, vec![best_effort(1, 2, "batch")]);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn a_best_effort_task_starts_although_it_asks_for_more_cpu_than_any_executor_has_to_spare() {
    let mut fixture = Fixture::new(0);
    fixture.list_with_cores(2, 8);
    let id = fixture.submit(1, vec![best_effort(2, 12, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
}

/// Guards against starvation: smaller best-effort work comes first, and takes all spare CPU again
/// whenever some is freed.
#[test]
fn a_large_best_effort_task_is_not_starved_by_a_continuous_stream_of_smaller_ones() {
    let mut fixture = Fixture::new(1);
    for number in 0..4 {
        fixture.submit(100 + number, vec![best_effort(1, 16, "small")]);
    }
    fixture.start_all();
    let large = fixture.submit(1, vec![best_effort(1, 40, "large")]);
    let submitted = fixture.now;
    let mut ended = 0;
    while !fixture.has_started(large) {
        let waited = fixture.now.0 - submitted.0;
        assert!(waited < MAX_WAIT_MS, "still waits after {waited} ms");
        fixture.pass(REPORT_INTERVAL_MS);
        ended += 1;
        fixture.submit(200 + ended, vec![best_effort(1, 16, "small")]);
        let oldest = fixture.tasks_on(1).into_iter().min_by_key(|key| {
            let task = fixture.scheduler.task(*key);
            task.and_then(|task| Some(task.assignment()?.assigned_at))
        });
        let oldest = oldest.expect("tasks run");
        let end = fixture.end(ended, oldest, RunOutcome::Done);
        fixture.report(1, vec![end]);
        fixture.start_all();
    }
}

#[test]
fn a_best_effort_step_that_names_no_image_starts() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 12, "web")]);
    fixture.start_all();
    let unnamed = StepSpec {
        image: None,
        ..best_effort(1, 4, "batch")
    };
    let id = fixture.submit(2, vec![unnamed]);
    fixture.expect_start(id, 1, LOW_TAIL_MS);
}
