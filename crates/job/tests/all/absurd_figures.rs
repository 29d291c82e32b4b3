//! Tests of jobs and executors with figures far beyond what is real.

use job::admission::Admission;
use job::ranking::objective;
use job::scheduler::RunOutcome;
use job::spec::StepSpec;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::service;
use crate::fixture::step;

#[test]
fn a_job_with_absurd_figures_keeps_no_other_from_starting() {
    let huge = Size::new(u64::MAX, u64::MAX, u64::MAX);
    let absurd = StepSpec {
        size: huge,
        estimate_ms: u64::MAX,
        ..step(8, 4, 600)
    };
    let after = StepSpec {
        after: vec![0],
        ..absurd.clone()
    };
    let filling = StepSpec {
        size: huge,
        estimate_ms: u64::MAX,
        ..best_effort(2, 4, "image")
    };
    let lasting = StepSpec {
        long_running: true,
        ..absurd.clone()
    };
    let mut fixture = Fixture::new(2);
    fixture.submit(1, vec![absurd, after]);
    fixture.submit(2, vec![filling]);
    fixture.submit(3, vec![lasting]);
    fixture.submit(4, vec![step(2, 4, 600)]);
    let mut placed = 0;
    for _ in 0..30 {
        placed += fixture.start_all().len();
        fixture.scheduler.tick(fixture.now);
        fixture.pass(100);
    }
    assert_eq!(placed, 2);
    for (job, (_, state)) in fixture.scheduler.open_jobs().enumerate() {
        let reasons = fixture.scheduler.waiting_steps(state, fixture.now, 0);
        assert_eq!(reasons.is_empty(), job == 3, "{reasons:?}");
    }
}

#[test]
fn an_objective_beyond_what_can_be_represented_is_the_longest_one() {
    let mut fixture = Fixture::new(1);
    let mut plan = (*plan(2)).clone();
    let mut queue = plan.queues[0].clone();
    queue.stretch = 1e300;
    plan.queues = vec![queue].into();
    fixture.scheduler.plan = plan.into();
    let job = fixture.submit(1, vec![step(1, 4, u64::MAX)]);
    let key = fixture.scheduler.find(job).expect("the job exists");
    let job = fixture.scheduler.job(key).expect("the job exists");
    assert!(objective(&fixture.scheduler, job).as_secs() > u64::MAX / 2);
    assert_eq!(fixture.place(), 1);
}

#[test]
fn executors_with_absurd_capacities_are_used_like_others() {
    let mut fixture = Fixture::new(0);
    let listings = (1..=3).map(|number| job::fleet::Listing {
        capacity: Size::new(u64::MAX, u64::MAX, u64::MAX),
        ..listing(number)
    });
    fixture.list(listings.collect());
    fixture.submit(1, vec![step(4, 4, 600)]);
    fixture.scheduler.tick(fixture.now);
    assert_eq!(fixture.start_all().len(), 4);
}

/// Adds executors and jobs of all kinds with the highest figures, and lets all parts of the scheduler
/// that add them up work. Overflows panic in tests.
fn run_with_figures(capacity: Size, needed: Size) {
    let mut fixture = Fixture::new(0);
    let listings = (1..=50).map(|number| job::fleet::Listing {
        capacity,
        cold_remaining: std::time::Duration::from_secs(number as u64 % 3),
        ..listing(number)
    });
    fixture.list(listings.collect());
    let sized = |step: StepSpec, size| StepSpec { size, ..step };
    let half = Size::new(
        needed.cpu_millis / 2,
        needed.memory_mib / 2,
        needed.accelerators / 2,
    );
    let mut number = 0;
    for size in [needed, half, Size::new(4_000, 1_000, 0)] {
        let gang = StepSpec {
            gang: true,
            same_rack: true,
            ..step(8, 4, 600)
        };
        let kinds = [
            step(40, 4, 600),
            step(40, 4, u64::MAX),
            best_effort(40, 4, "batch"),
            service(40, 4, "web"),
            gang,
        ];
        for kind in kinds {
            number += 1;
            fixture.submit(number, vec![sized(kind, size)]);
        }
    }
    let mut admission = Admission::default();
    for round in 0..60 {
        fixture.start_all();
        fixture.scheduler.tick(fixture.now);
        let usage = fixture.scheduler.usage(fixture.now, 0);
        assert!(usage.len() <= 1, "one service");
        let backlog = fixture.scheduler.take_backlog(fixture.now);
        admission.observe(&backlog, fixture.now);
        for (_, job) in fixture.scheduler.open_jobs() {
            let reasons = fixture.scheduler.waiting_steps(job, fixture.now, 0);
            assert!(reasons.len() <= 1, "one step");
        }
        for executor in 1..=50 {
            let first = fixture.tasks_on(executor).into_iter().next();
            let ended = first.filter(|_| round % 3 == 2);
            let ended = ended.map(|key| fixture.end(round + 1, key, RunOutcome::Done));
            fixture.report(executor, ended.into_iter().collect());
        }
        fixture.pass(500);
    }
}

/// Guards against sums that overflow: shares, admission, reservations, gangs and their wait reasons.
#[test]
fn sums_of_capacities_do_not_overflow() {
    let most = Size::new(u64::MAX, u64::MAX, u64::MAX);
    let usual = Size::new(64_000, 256_000, 8);
    let listable = Size::new(1_000_000_000, 1 << 30, 1_000_000);
    for capacity in [most, listable, usual, Size::ZERO] {
        for needed in [most, listable, usual] {
            run_with_figures(capacity, needed);
        }
    }
}
