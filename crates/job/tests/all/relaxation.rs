//! Tests of what limits best-effort tasks that were placed after a long wait, although they disturb
//! services.

use job::scheduler::Command;
use job::scheduler::TaskKey;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;
use crate::starvation::HIGH_TAIL_MS;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::REPORT_INTERVAL_MS;
use crate::starvation::fixture_with_learned_interference;

/// The time for which a step may wait for a better executor.
const PATIENCE_MS: u64 = 3_000;
/// A tail latency that is close to the target of the services in the tests.
const NEAR_TAIL_MS: u64 = 45;

impl Fixture {
    /// Lets time pass with reports and placement rounds. Returns the CPU shares that were sent.
    fn pass_with_reports(&mut self, ms: u64, executors: usize, tail_ms: u64) -> Vec<u32> {
        let mut shares = Vec::new();
        for _ in 0..ms / REPORT_INTERVAL_MS {
            self.pass(REPORT_INTERVAL_MS);
            self.report_all(executors, tail_ms);
            shares.extend(self.take_cpu_shares());
            self.start_all();
            shares.extend(self.take_cpu_shares());
        }
        shares
    }

    /// Removes all commands and returns the CPU shares in them.
    fn take_cpu_shares(&mut self) -> Vec<u32> {
        let commands = self.scheduler.take_commands();
        let shares = commands.iter().filter_map(|command| match command {
            Command::Throttle { cpu_percent, .. } => Some(*cpu_percent),
            _ => None,
        });
        shares.collect()
    }

    /// Returns the best-effort tasks on an executor.
    fn best_effort_tasks_on(&self, number: usize) -> Vec<TaskKey> {
        let mut tasks = self.tasks_on(number);
        tasks.retain(|key| {
            let step = self.scheduler.step(*key);
            step.is_some_and(|step| step.best_effort)
        });
        tasks
    }

    fn cpu_share(&self, key: TaskKey) -> u32 {
        let run = self.scheduler.task(key).expect("the task exists").run;
        self.scheduler.cpu_share(key, run).expect("the task runs")
    }
}

#[test]
fn best_effort_tasks_disturb_no_service_while_they_have_not_waited_long() {
    let mut fixture = fixture_with_learned_interference();
    for number in 0..20 {
        fixture.submit(100 + number, vec![best_effort(2, 4, "batch")]);
    }
    fixture.pass_with_reports(PATIENCE_MS, 2, LOW_TAIL_MS);
    assert_eq!(fixture.best_effort_tasks_on(1), []);
    assert_eq!(fixture.best_effort_tasks_on(2), []);
}

#[test]
fn an_executor_receives_few_disturbing_tasks_however_many_wait() {
    let mut fixture = fixture_with_learned_interference();
    for number in 0..50 {
        fixture.submit(100 + number, vec![best_effort(4, 4, "batch")]);
    }
    let mut most_in_a_round = 0;
    let mut placed = 0;
    for _ in 0..60 {
        fixture.pass_with_reports(REPORT_INTERVAL_MS, 2, LOW_TAIL_MS);
        let now = fixture.best_effort_tasks_on(1).len();
        most_in_a_round = most_in_a_round.max(now - placed);
        placed = now;
    }
    assert_eq!(most_in_a_round, 1);
    assert!((3..=6).contains(&placed), "{placed} tasks within 30 s");
}

#[test]
fn a_disturbing_task_starts_with_a_share_that_disturbs_no_service() {
    let mut fixture = fixture_with_learned_interference();
    let id = fixture.submit(3, vec![best_effort(1, 16, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
    let weight = fixture
        .scheduler
        .interference
        .weight(Some(&"web".into()), Some(&"batch".into()));
    let shares = fixture.take_cpu_shares();
    let [share] = shares[..] else {
        panic!("expected one share, got {shares:?}");
    };
    let caused = weight * 16.0 / 64.0 * f64::from(share) / 100.0;
    assert!((0.04..0.1).contains(&caused), "{caused} at {share}%");
}

#[test]
fn a_task_beside_a_service_over_its_target_starts_suspended() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 12, "web")]);
    fixture.start_all();
    fixture.pass_with_reports(1_000, 1, HIGH_TAIL_MS);
    let id = fixture.submit(2, vec![best_effort(1, 16, "batch")]);
    fixture.expect_start(id, 1, HIGH_TAIL_MS);
    assert_eq!(fixture.take_cpu_shares(), [0]);
    let shares = fixture.pass_with_reports(5_000, 1, HIGH_TAIL_MS);
    assert_eq!(shares, [] as [u32; 0], "it stays suspended");
    let shares = fixture.pass_with_reports(2_000, 1, LOW_TAIL_MS);
    assert!(shares.iter().any(|share| *share > 0), "{shares:?}");
}

#[test]
fn a_disturbing_task_gives_way_before_the_tail_latency_comes_near_its_target() {
    let mut fixture = fixture_with_learned_interference();
    let id = fixture.submit(3, vec![best_effort(1, 16, "batch")]);
    fixture.expect_start(id, 2, LOW_TAIL_MS);
    let number = 2 - fixture.best_effort_tasks_on(1).len();
    let [key] = fixture.best_effort_tasks_on(number)[..] else {
        panic!("expected one task on executor {number}");
    };
    fixture.pass_with_reports(3_000, 2, LOW_TAIL_MS);
    let at_low_tail = fixture.cpu_share(key);
    fixture.pass_with_reports(3_000, 2, NEAR_TAIL_MS);
    let at_near_tail = fixture.cpu_share(key);
    assert!(
        at_near_tail < at_low_tail / 4,
        "{at_low_tail}% then {at_near_tail}%"
    );
}

#[test]
fn an_executor_without_services_is_preferred_however_long_a_step_has_waited() {
    let mut fixture = fixture_with_learned_interference();
    let near_data = StepSpec {
        data_rack: Some("r1".into()),
        ..best_effort(1, 16, "batch")
    };
    fixture.submit(3, vec![near_data]);
    fixture.place();
    fixture.pass(20_000);
    let mut far = listing(3);
    far.labels.clear();
    fixture.list(vec![listing(1), listing(2), far]);
    fixture.start_all();
    assert_eq!(fixture.best_effort_tasks_on(3).len(), 1);
    assert_eq!(fixture.take_cpu_shares(), [] as [u32; 0]);
}

/// Guards against a round in which an older step is passed over because a younger one that comes
/// first found no executor.
#[test]
fn an_older_step_starts_although_equal_younger_ones_come_first_and_find_no_executor() {
    let mut fixture = fixture_with_learned_interference();
    let oldest = fixture.submit(3, vec![best_effort(1, 16, "batch")]);
    for number in 0..20 {
        if fixture.has_started(oldest) {
            return;
        }
        fixture.submit(100 + number, vec![best_effort(1, 16, "batch")]);
        fixture.pass_with_reports(REPORT_INTERVAL_MS, 2, LOW_TAIL_MS);
    }
    panic!("the oldest step does not start");
}

/// LOST: a job counts as lost that has nothing running for 3 s while most of the capacity is free.
#[test]
fn a_best_effort_step_starts_within_three_seconds_while_most_of_the_capacity_is_free() {
    let mut fixture = fixture_with_learned_interference();
    let id = fixture.submit(3, vec![best_effort(1, 4, "batch")]);
    for _ in 0..PATIENCE_MS / REPORT_INTERVAL_MS {
        fixture.scheduler.tick(fixture.now);
        fixture.start_all();
        fixture.pass(REPORT_INTERVAL_MS);
        fixture.report_all(2, LOW_TAIL_MS);
    }
    assert!(fixture.has_started(id), "{:?}", fixture.wait_reason(id));
}
