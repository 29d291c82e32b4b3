//! Tests of jobs and executors with figures far beyond what is real.

use job::ranking::objective;
use job::spec::StepSpec;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::plan;
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
