//! Tests of which long-running tasks are stopped for short work that finds no room.

use std::sync::Arc;

use job::fleet::Listing;
use job::plan::Queue;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::scheduler::Submission;
use job::scheduler::TaskKey;
use job::spec::JobSpec;
use job::spec::StepSpec;
use job::wait_reason::WaitReason;
use model::Map;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::service;
use crate::fixture::step;

const EXECUTORS: usize = 4;
/// The name of a queue of a lower priority than [`QUEUE`].
const LOW_PRIORITY: &str = "low";
/// The time between two ticks, in milliseconds.
const TICK_MS: u64 = 100;

/// Four executors whose CPU a service holds, with this limit of unavailable tasks, all tasks started
/// up.
fn full(max_unavailable: Option<u32>) -> Fixture {
    let mut fixture = Fixture::new(EXECUTORS);
    let mut plan = (*plan(2)).clone();
    let low = Queue {
        name: LOW_PRIORITY.into(),
        priority: 1,
        path_prefix: "/low/".into(),
        ..plan.queues[0].clone()
    };
    plan.queues = vec![plan.queues[0].clone(), low].into();
    fixture.scheduler.plan = Arc::new(plan);
    let spec = StepSpec {
        max_unavailable,
        ..service(4 * 4, 16, "web")
    };
    fixture.submit(1, vec![spec]);
    fixture.start_all();
    fixture.pass(60_000);
    for number in 1..=EXECUTORS {
        fixture.report(number, vec![]);
    }
    fixture.scheduler.take_commands();
    fixture
}

fn submit_short(fixture: &mut Fixture, queue: &str) {
    let submission = Submission {
        id: job::id::JobId::parse("00000000000000aa").expect("a valid job identifier"),
        queue: queue.into(),
        age_ms: 0,
        row_version: 2,
        terms: None,
        spec: Arc::new(JobSpec {
            payload: "payload".into(),
            steps: vec![step(2, 20, 1_000)],
            repeat: None,
        }),
    };
    fixture.scheduler.submit(submission, fixture.now);
}

/// Lets half a second pass and returns the stopped tasks.
fn stopped(fixture: &mut Fixture) -> Vec<TaskKey> {
    let mut stopped: Map<TaskKey, ()> = Map::default();
    for _ in 0..5 {
        fixture.place();
        fixture.pass(TICK_MS);
        fixture.scheduler.tick(fixture.now);
        for command in fixture.scheduler.take_commands() {
            if let Command::Stop { key: Some(key), .. } = command {
                stopped.insert(key, ());
            }
        }
    }
    stopped.into_keys().collect()
}

#[test]
fn short_work_stops_services_of_its_priority_and_not_those_of_a_higher_one() {
    for (queue, stops) in [(QUEUE, true), (LOW_PRIORITY, false)] {
        let mut fixture = full(None);
        submit_short(&mut fixture, queue);
        assert_eq!(!stopped(&mut fixture).is_empty(), stops, "{queue}");
    }
}

/// AVAIL: a stop may take away no more tasks of a step at once than it allows.
#[test]
fn no_more_tasks_of_a_step_are_stopped_than_it_allows_to_be_unavailable() {
    for limit in 0..4 {
        let mut fixture = full(Some(limit));
        submit_short(&mut fixture, QUEUE);
        let stopped = stopped(&mut fixture).len();
        assert!(stopped <= limit as usize, "{stopped} of {limit}");
        // Two tasks of 20 cores need the room of two or three of the service.
        assert_eq!(stopped > 0, limit >= 2, "{stopped} of {limit}");
    }
}

#[test]
fn a_service_that_waits_because_executors_are_kept_for_short_work_says_so() {
    let mut fixture = full(None);
    submit_short(&mut fixture, QUEUE);
    assert!(!stopped(&mut fixture).is_empty());
    fixture.submit(3, vec![service(1, 16, "web")]);
    for number in 1..=EXECUTORS {
        let executor = fixture.executor(number);
        let executor = fixture.scheduler.fleet.get_mut(executor);
        let executor = executor.expect("the executor is known");
        if executor.kept_for_short_work.is_some() {
            executor.listing.capacity.cpu_millis = 128_000;
        }
    }
    let job = fixture.scheduler.open_jobs().last().expect("a job").0;
    let key = TaskKey { job, slot: 0 };
    let reason = fixture.scheduler.wait_reason(key, fixture.now, 0);
    assert!(
        matches!(reason, Some(WaitReason::Reserved { .. })),
        "{reason:?}"
    );
}

#[test]
fn services_are_not_stopped_while_short_work_finds_room() {
    let mut fixture = full(None);
    fixture.list((1..=EXECUTORS + 1).map(listing).collect());
    submit_short(&mut fixture, QUEUE);
    assert!(stopped(&mut fixture).is_empty());
}

/// A task that waited when its owner was lost takes its turn sooner under the next one, which does not
/// know for how long it has waited.
#[test]
fn a_task_that_waited_before_a_takeover_does_not_wait_from_the_beginning() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(1, 20, "web")]);
    fixture.start_all();
    let waiting = fixture.tasks_on(1)[0];
    let end = fixture.end(1, waiting, RunOutcome::Failed);
    fixture.report(1, vec![end]);
    let mut next = fixture.successor();
    next.submit(2, vec![service(1, 16, "web")]);
    let with_cores = |cores: u64| Listing {
        capacity: Size::new(cores * 1_000, 256_000, 0),
        ..listing(1)
    };
    // The smaller task starts, and the larger one fits only in its place.
    next.list(vec![with_cores(19)]);
    next.start_all();
    next.list(vec![with_cores(30)]);
    assert_eq!(next.tasks_on(1).len(), 1);
    let mut waited_ms = 0;
    while stopped(&mut next).is_empty() {
        waited_ms += 5 * TICK_MS;
        assert!(waited_ms < 4_000, "no task gives way to it");
    }
}
