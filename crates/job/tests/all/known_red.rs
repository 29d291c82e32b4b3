//! Tests that fail because of a fault that is not mended. `KNOWN-RED.txt` lists each.

use job::placement::RoundBudget;
use job::scheduler::RunOutcome;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;
use crate::fixture::step;
use crate::starvation::LOW_TAIL_MS;
use crate::starvation::REPORT_INTERVAL_MS;
use crate::starvation::fixture_with_learned_interference;

/// While the previous owner may still repeat its start command, an executor that starts anew would
/// accept it, and a task whose end was acknowledged would start again.
#[test]
fn the_end_of_an_inherited_run_is_acknowledged_only_once_the_previous_owner_sends_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![step(1, 4, 1_000)]);
    fixture.place();
    let mut next = fixture.successor();
    let sends_until = next.now.after(LEASE * 2);
    let until = next.now.after(LEASE * 3);
    next.scheduler.inherit_leases(sends_until, until);
    next.list(vec![listing(1)]);
    let task = next.tasks_on(1)[0];
    let end = next.end(1, task, RunOutcome::Done);
    next.report_rows(1, vec![], vec![end]);
    next.store();
    let executor = next.executor(1);
    assert_eq!(
        next.scheduler.acknowledgement(executor),
        0,
        "the previous owner may start the task again"
    );
    next.scheduler
        .previous_owner_stopped(next.now, next.now.after(LEASE), next.now);
    assert_eq!(next.scheduler.acknowledgement(executor), 1);
}

/// Small tasks go to the executors with the most free CPU, so that each executor always runs some of
/// them and none ever has room for a task that needs nearly all of it.
#[test]
fn a_large_short_task_is_not_starved_by_a_continuous_stream_of_small_ones() {
    let mut fixture = Fixture::new(2);
    fixture.submit(100, vec![step(4, 8, 1_000)]);
    fixture.start_all();
    fixture.submit(1, vec![step(1, 60, 1_000)]);
    let mut ended = [0, 0];
    for number in 0..60 {
        fixture.pass(500);
        fixture.submit(200 + number, vec![step(1, 8, 1_000)]);
        let index = usize::from(number % 2 == 1);
        let oldest = fixture.tasks_on(index + 1).into_iter().min_by_key(|key| {
            let task = fixture.scheduler.task(*key);
            task.and_then(|task| Some(task.assignment()?.assigned_at))
        });
        ended[index] += 1;
        let oldest = oldest.expect("tasks run");
        let end = fixture.end(ended[index], oldest, RunOutcome::Done);
        fixture.report(index + 1, vec![end]);
        fixture.start_all();
        let tasks = [fixture.tasks_on(1), fixture.tasks_on(2)].concat();
        let mut sizes = tasks.iter().filter_map(|key| fixture.scheduler.step(*key));
        if sizes.any(|step| step.size.cpu_millis == 60_000) {
            return;
        }
    }
    panic!("waits for 30 s while a quarter of the CPU is in use");
}

/// HARM: the time after which best-effort tasks are suspended begins anew with one report under the
/// target, which the noise of reports gives beside a tail just over it.
#[test]
fn best_effort_tasks_are_suspended_although_single_reports_show_a_tail_just_under_its_target() {
    const JUST_OVER_MS: u64 = 55;
    const JUST_UNDER_MS: u64 = 49;
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 12, "web")]);
    fixture.submit(2, vec![best_effort(1, 4, "batch")]);
    fixture.start_all();
    let is_suspended = |fixture: &Fixture| {
        let tasks = fixture.tasks_on(1);
        let mut tasks = tasks.iter().filter_map(|key| fixture.scheduler.task(*key));
        tasks.any(|task| task.assignment().is_some_and(|it| it.cpu_percent == 0))
    };
    for _ in 0..4 {
        for tail_ms in [JUST_OVER_MS, JUST_OVER_MS, JUST_UNDER_MS] {
            fixture.pass(REPORT_INTERVAL_MS);
            fixture.report_all(1, tail_ms);
            if is_suspended(&fixture) {
                return;
            }
        }
    }
    panic!("not suspended within 6 s");
}

/// LOST: while any job without a task waits, jobs with one get no relaxed conditions. A job that no
/// executor can take waits for ever.
#[test]
fn a_job_that_no_executor_can_take_does_not_keep_the_second_task_of_another_waiting() {
    let impossible = StepSpec {
        label: Some("none-has-it".into()),
        ..best_effort(1, 4, "batch")
    };
    let mut fixture = fixture_with_learned_interference();
    fixture.submit(3, vec![impossible]);
    let id = fixture.submit(4, vec![best_effort(2, 16, "batch")]);
    for _ in 0..120_000 / REPORT_INTERVAL_MS {
        fixture.start_all();
        let job = fixture.scheduler.find(id).expect("the job exists");
        let job = fixture.scheduler.job(job).expect("the job exists");
        if job.tasks.iter().all(|task| task.assignment().is_some()) {
            return;
        }
        fixture.pass(REPORT_INTERVAL_MS);
        fixture.report_all(2, LOW_TAIL_MS);
    }
    panic!("a task still waits after 120 s");
}

/// LOST with an owner that can't keep up: of the few tasks that it starts, timed work takes all, and
/// services never begin although most of the capacity is free.
#[test]
fn services_begin_while_timed_work_takes_all_starts_that_the_owner_can_make() {
    const ROUND_MS: u64 = 20;
    const SERVICES: u64 = 10;
    // A job with room may be without a task for 3 s, if the 4 s before are calm as well.
    const MAX_WAIT_MS: u64 = 7_000;
    let mut fixture = Fixture::new(20);
    let services: Vec<_> = (1..=SERVICES)
        .map(|number| fixture.submit(number, vec![service(2, 4, "web")]))
        .collect();
    let budget = RoundBudget {
        tasks: 1,
        tasks_that_can_wait: 1,
    };
    for round in 0..MAX_WAIT_MS / ROUND_MS {
        fixture.submit(100 + round, vec![step(1, 1, 1_000)]);
        fixture.scheduler.place_within(budget, fixture.now, 0);
        fixture.pass(ROUND_MS);
    }
    let begun = services.iter().filter(|id| {
        let job = fixture.scheduler.find(**id).expect("the job is known");
        let job = fixture.scheduler.job(job).expect("the job is known");
        job.tasks.iter().any(|task| task.assignment().is_some())
    });
    assert_eq!(begun.count() as u64, SERVICES, "services that have begun");
}
