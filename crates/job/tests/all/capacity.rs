//! Tests of executors whose capacity changes while they run, and of services whose executors start
//! whatever they are told to.

use std::sync::Arc;

use job::fleet::Listing;
use job::plan::Service;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::wait_reason::WaitReason;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// Returns a fixture with one executor, whose service refuses starts that exceed its capacity or
/// executes them.
fn fixture(refuses_overcommit: bool) -> Fixture {
    let mut fixture = Fixture::new(1);
    let mut plan = (*plan(2)).clone();
    let service = Service { refuses_overcommit };
    plan.services.insert("service".into(), service);
    fixture.scheduler.plan = Arc::new(plan);
    fixture
}

/// Returns the list entry of the executor with this capacity.
fn with_capacity(cores: u64) -> Listing {
    Listing {
        capacity: Size::new(cores * 1_000, 256_000, 0),
        ..listing(1)
    }
}

#[test]
fn an_executor_that_has_shrunk_gets_only_what_still_fits_until_it_grows() {
    let mut fixture = fixture(false);
    fixture.submit(1, vec![step(6, 4, 60_000)]);
    fixture.start_all();
    fixture.list(vec![with_capacity(28)]);
    fixture.submit(2, vec![step(10, 4, 60_000)]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 7);
    fixture.list(vec![with_capacity(8)]);
    assert_eq!(fixture.place(), 0);
    assert_eq!(fixture.tasks_on(1).len(), 7, "running tasks go on");
    fixture.list(vec![with_capacity(40)]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 10);
}

#[test]
fn a_start_that_no_longer_fits_is_not_sent_to_an_executor_that_would_execute_it() {
    for refuses_overcommit in [false, true] {
        let mut fixture = fixture(refuses_overcommit);
        fixture.submit(1, vec![step(8, 4, 60_000)]);
        fixture.place();
        fixture.store();
        let starts = fixture.scheduler.take_commands();
        fixture.list(vec![with_capacity(16)]);
        let mut wanted = 0;
        for start in &starts {
            let Command::Start { key, run, .. } = start else {
                panic!("expected a start, got {start:?}");
            };
            if fixture.scheduler.is_start_wanted(*key, *run) {
                wanted += 1;
            } else {
                fixture.scheduler.withdraw_start(*key, *run, fixture.now);
            }
        }
        let expected = if refuses_overcommit { 8 } else { 4 };
        assert_eq!(wanted, expected);
        assert_eq!(fixture.tasks_on(1).len(), expected);
    }
}

#[test]
fn a_run_that_is_being_stopped_counts_until_its_end_is_listed() {
    let mut fixture = fixture(false);
    fixture.list(vec![with_capacity(8)]);
    let job = fixture.submit(1, vec![step(2, 4, 60_000)]);
    fixture.start_all();
    let tasks = fixture.tasks_on(1);
    fixture.scheduler.cancel(job);
    fixture.submit(2, vec![step(2, 4, 60_000)]);
    for (key, run) in tasks.iter().map(|key| (*key, 1)) {
        fixture.scheduler.stop_confirmed(key, run, fixture.now);
    }
    assert_eq!(fixture.place(), 0, "stopped, but not listed as ended");
    fixture.pass(300);
    let ends = (1..).zip(&tasks);
    let ends = ends
        .map(|(sequence, key)| fixture.end(sequence, *key, RunOutcome::Interrupted))
        .collect();
    fixture.report(1, ends);
    assert_eq!(fixture.place(), 2);
}

#[test]
fn nothing_starts_by_an_old_list_on_executors_that_would_execute_anything() {
    for refuses_overcommit in [false, true] {
        let mut fixture = fixture(refuses_overcommit);
        fixture.submit(1, vec![step(1, 4, 60_000)]);
        fixture.start_all();
        fixture.pass(3_100);
        fixture.report(1, vec![]);
        fixture.submit(2, vec![step(1, 4, 60_000)]);
        let placed = fixture.place();
        assert_eq!(placed, usize::from(refuses_overcommit));
        if refuses_overcommit {
            continue;
        }
        let job = fixture.scheduler.open_jobs().last().expect("a job").0;
        let key = job::scheduler::TaskKey { job, slot: 0 };
        let reason = fixture.scheduler.wait_reason(key, fixture.now, 0);
        assert_eq!(reason, Some(WaitReason::OldList { age_ms: 3_100 }));
        fixture.list(vec![listing(1)]);
        assert_eq!(fixture.place(), 1);
    }
}
