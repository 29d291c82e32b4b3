//! Replays of loads in which far more work waits than the executors can take.

use job::scheduler::Command;
use job::spec::StepSpec;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::service;
use crate::fixture::step;

/// Submits more jobs than fit, of all kinds and sizes, and returns the number of tasks that start
/// in the first rounds.
fn started(fixture: &mut Fixture, steps: &[StepSpec]) -> usize {
    for (number, step) in (1..).zip(steps) {
        fixture.submit(number, vec![step.clone()]);
    }
    let mut started = 0;
    loop {
        let commands = fixture.start_all();
        if commands.is_empty() {
            return started;
        }
        started += commands.len();
    }
}

#[test]
fn a_smaller_task_is_placed_in_the_round_in_which_a_larger_one_finds_no_room() {
    let mut fixture = Fixture::new(1);
    let steps = [step(1, 60, 1_000), step(1, 50, 1_000), step(1, 3, 1_000)];
    assert_eq!(started(&mut fixture, &steps), 2);
}

#[test]
fn a_task_without_a_label_is_placed_in_the_round_in_which_one_with_a_label_is_not() {
    let mut fixture = Fixture::new(1);
    let labelled = StepSpec {
        label: Some("no-such-label".into()),
        ..step(1, 1, 1_000)
    };
    assert_eq!(started(&mut fixture, &[labelled, step(1, 2, 1_000)]), 1);
}

#[test]
fn a_best_effort_task_needs_room_of_its_own_kind() {
    let mut fixture = Fixture::new(1);
    let steps = [
        step(1, 60, 1_000),
        step(1, 61, 1_000),
        best_effort(1, 3, "fill"),
        best_effort(1, 3, "other"),
    ];
    assert_eq!(
        started(&mut fixture, &steps),
        2,
        "one large task and one of 3 cores"
    );
}

#[test]
fn a_task_that_failed_is_placed_although_its_siblings_share_a_choice() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![step(30, 4, 1_000)]);
    assert_eq!(fixture.start_all().len(), 30);
    let on_first = fixture.tasks_on(1);
    let on_second = fixture.tasks_on(2);
    assert_eq!(on_first.len(), 15, "the load is spread");
    let failed = fixture.end(1, on_first[0], job::scheduler::RunOutcome::Failed);
    let freed = fixture.end(1, on_second[0], job::scheduler::RunOutcome::Failed);
    fixture.report(1, vec![failed]);
    fixture.report(2, vec![freed]);
    fixture.pass(1_000);
    let commands = fixture.start_all();
    assert_eq!(commands.len(), 2);
    for command in commands {
        let Command::Start { key, executor, .. } = command else {
            panic!("expected a start command");
        };
        let was_first = key == on_first[0];
        let now_first = executor == fixture.executor(1);
        assert_ne!(
            was_first, now_first,
            "the executor of the failure is avoided"
        );
    }
}

#[test]
fn services_of_one_image_are_placed_together() {
    let mut fixture = Fixture::new(4);
    let steps = [service(3, 16, "a"), service(3, 16, "b")];
    assert_eq!(started(&mut fixture, &steps), 6);
    for number in 1..=4 {
        let executor = fixture.executor(number);
        let executor = fixture.scheduler.fleet.get(executor).expect("listed");
        assert!(executor.services.len() <= 1, "{:?}", executor.services);
    }
}

#[test]
fn no_executor_is_committed_beyond_its_capacity_by_a_shared_choice() {
    let mut fixture = Fixture::new(3);
    let steps: Vec<StepSpec> = (1..20)
        .map(|number: u32| step(number * 3 % 17 + 1, u64::from(number % 9) + 1, 1_000))
        .collect();
    started(&mut fixture, &steps);
    for number in 1..=3 {
        let executor = fixture.executor(number);
        let executor = fixture.scheduler.fleet.get(executor).expect("listed");
        assert!(executor.used.fits(&Size::new(64_000, 256_000, 0)));
    }
}

#[test]
fn a_limited_round_places_the_most_urgent_step_only() {
    let mut fixture = Fixture::new(4);
    fixture.submit(1, vec![step(8, 4, 60_000)]);
    let small = fixture.submit(2, vec![step(4, 4, 1_000)]);
    assert_eq!(fixture.scheduler.place_up_to(0, fixture.now, 0), 0);
    assert_eq!(fixture.scheduler.place_up_to(1, fixture.now, 0), 4);
    let key = fixture.scheduler.find(small).expect("the job is known");
    let placed = fixture.scheduler.job(key).expect("the job is known");
    assert!(!placed.has_waiting_tasks(), "the smaller job goes first");
    assert_eq!(fixture.scheduler.place_up_to(1, fixture.now, 0), 8);
}

/// SHORT at scale: once a step of a short job was late, it waited behind all best-effort work,
/// which never ran out, until the job had no value left.
#[test]
fn a_late_step_starts_while_it_has_value_although_best_effort_work_never_runs_out() {
    const OBJECTIVE_MS: u64 = 3_000;
    const PATH_MS: u64 = 1_000;
    const ROUND_MS: u64 = 100;
    let mut fixture = Fixture::new(4);
    let late = fixture.submit(1, vec![step(1, 1, PATH_MS)]);
    let late = fixture.scheduler.find(late).expect("the job is known");
    fixture.pass(OBJECTIVE_MS);
    for round in 0..(2 * OBJECTIVE_MS - PATH_MS) / ROUND_MS {
        fixture.submit(2 + round, vec![best_effort(1, 1, "fill")]);
        fixture.scheduler.place_up_to(1, fixture.now, 0);
        fixture.pass(ROUND_MS);
    }
    let job = fixture.scheduler.job(late).expect("the job is known");
    assert!(!job.has_waiting_tasks(), "the late job still waits");
}
