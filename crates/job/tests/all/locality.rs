//! Tests of waits for a place near a step's data or in one rack.

use std::time::Duration;

use job::fleet::Listing;
use job::scheduler::JobKey;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use job::wait_reason::WaitReason;
use model::Size;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::step;

const CORES: u64 = 64;

/// Lists one executor of 64 cores in each of these racks.
fn racks(fixture: &mut Fixture, racks: &[&str]) {
    let listings = (1..).zip(racks).map(|(number, rack)| Listing {
        labels: vec![(*rack).into()],
        ..listing(number)
    });
    fixture.list(listings.collect());
}

fn fixture(names: &[&str]) -> Fixture {
    let mut fixture = Fixture::new(0);
    fixture.scheduler.timing.remote_slowdown = 2.0;
    racks(&mut fixture, names);
    fixture
}

/// Returns a step whose data is in the rack `r1`.
fn near(count: u32, cores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        data_rack: Some("r1".into()),
        ..step(count, cores, estimate_ms)
    }
}

/// Lets tasks end one after the other on the first executor, each followed by another, so that room
/// for a whole executor becomes free there every 400 ms. The last one still runs.
fn keep_first_executor_turning_over(fixture: &mut Fixture) {
    for number in 1..=9 {
        fixture.submit(1_000 + number, vec![near(1, CORES, 1_000)]);
        fixture.start_all();
        let tasks = fixture.tasks_on(1);
        assert_eq!(tasks.len(), 1, "each task starts near its data");
        fixture.pass(400);
        if number < 9 {
            let end = fixture.end(number, tasks[0], RunOutcome::Done);
            fixture.report(1, vec![end]);
        }
    }
}

fn key(fixture: &Fixture, number: u64, slot: u32) -> TaskKey {
    let id = job::id::JobId::parse(&format!("{number:016x}")).expect("a valid job identifier");
    let job: JobKey = fixture.scheduler.find(id).expect("the job exists");
    TaskKey { job, slot }
}

fn wait_reason(fixture: &Fixture, number: u64) -> Option<WaitReason> {
    let key = key(fixture, number, 0);
    fixture.scheduler.wait_reason(key, fixture.now, 0)
}

/// Guards against starts elsewhere although room near the data is expected soon, and against a wait
/// that misses this room.
#[test]
fn a_task_waits_for_room_near_its_data_and_takes_it() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.submit(1, vec![near(1, CORES, 1_000)]);
    assert_eq!(fixture.place(), 0);
    let Some(WaitReason::Locality { rack, remaining_ms }) = wait_reason(&fixture, 1) else {
        panic!("{:?}", wait_reason(&fixture, 1));
    };
    assert_eq!(&*rack, "r1");
    assert!((1..=1_000).contains(&remaining_ms), "{remaining_ms}");
    assert_eq!(fixture.scheduler.locality.waiting(), 1);
    let end = fixture.end(9, fixture.tasks_on(1)[0], RunOutcome::Done);
    fixture.report(1, vec![end]);
    assert_eq!(fixture.place(), 1);
    assert_eq!(fixture.tasks_on(1), [key(&fixture, 1, 0)]);
    assert_eq!(fixture.scheduler.locality.waiting(), 0);
}

/// Guards against waits where places make no difference, and of steps without a rack.
#[test]
fn nothing_waits_without_a_factor_or_a_rack() {
    for (factor, step) in [
        (1.0, near(1, CORES, 1_000)),
        (f64::NAN, near(1, CORES, 1_000)),
        (2.0, step(1, CORES, 1_000)),
    ] {
        let mut fixture = fixture(&["r1", "r2"]);
        keep_first_executor_turning_over(&mut fixture);
        fixture.scheduler.timing.remote_slowdown = factor;
        fixture.submit(1, vec![step]);
        assert_eq!(fixture.place(), 1);
        assert_eq!(fixture.tasks_on(2).len(), 1);
    }
}

/// Guards against a wait for a rack that will never have room: none of its executors is known, is
/// large enough or takes tasks.
#[test]
fn a_task_does_not_wait_for_a_rack_that_could_never_take_it() {
    let small = |number| Listing {
        capacity: Size::new(8_000, 256_000, 0),
        ..listing(number)
    };
    let draining = |number| Listing {
        draining: true,
        ..listing(number)
    };
    let moved = |number| Listing {
        labels: vec!["r3".into()],
        ..listing(number)
    };
    let cases: [(&str, &dyn Fn(usize) -> Listing); 3] = [
        ("small", &small),
        ("draining", &draining),
        ("moved", &moved),
    ];
    for (name, first) in cases {
        let mut fixture = fixture(&["r1", "r2"]);
        keep_first_executor_turning_over(&mut fixture);
        let second = Listing {
            labels: vec!["r2".into()],
            ..listing(2)
        };
        fixture.list(vec![first(1), second]);
        fixture.submit(1, vec![near(1, CORES, 1_000)]);
        assert_eq!(fixture.place(), 1, "{name}");
    }
}

/// Guards against waits that go on although room no longer becomes free.
#[test]
fn a_wait_ends_once_it_does_not_pay_off() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.submit(1, vec![near(1, CORES, 4_000)]);
    assert_eq!(fixture.place(), 0);
    let began = fixture.now;
    while fixture.tasks_on(2).is_empty() {
        fixture.pass(100);
        fixture.place();
        let waited = fixture.now.since(began);
        assert!(waited <= Duration::from_secs(4), "an endless wait");
    }
    assert_eq!(fixture.tasks_on(2), [key(&fixture, 1, 0)]);
}

/// Guards against a wait that begins anew although the task has not started, here because there was
/// no room elsewhere for a while. Until an executor is reserved for the task, which is after 1 s.
#[test]
fn a_wait_goes_on_while_there_is_no_room_elsewhere() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.scheduler.timing.remote_slowdown = 3.0;
    fixture.submit(1, vec![near(1, CORES, 500)]);
    assert_eq!(fixture.place(), 0);
    fixture.submit(2, vec![step(1, CORES, 1_000)]);
    assert_eq!(fixture.start_all().len(), 1);
    // Smaller jobs take what becomes free near the data.
    for number in 10..=11 {
        fixture.pass(400);
        fixture.submit(number, vec![near(1, CORES, 200)]);
        let end = fixture.end(number - 1, fixture.tasks_on(1)[0], RunOutcome::Done);
        fixture.report(1, vec![end]);
        fixture.start_all();
        assert_eq!(fixture.tasks_on(1), [key(&fixture, number, 0)]);
    }
    fixture.pass(250);
    let end = fixture.end(1, fixture.tasks_on(2)[0], RunOutcome::Done);
    fixture.report(2, vec![end]);
    assert_eq!(fixture.place(), 1);
    assert_eq!(fixture.tasks_on(2), [key(&fixture, 1, 0)]);
}

/// Guards against a wait that makes a job late which has no time left.
#[test]
fn a_task_whose_job_has_no_time_left_does_not_wait() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.submit(1, vec![near(1, CORES, 1_000)]);
    // The objective is 3 s, so that a start later than 2 s after the arrival is late everywhere.
    fixture.pass(1_900);
    assert_eq!(fixture.place(), 1);
    assert_eq!(fixture.tasks_on(2).len(), 1);
}

/// Guards against a wait that ends the search for other steps with the same demand.
#[test]
fn a_step_that_waits_does_not_keep_equal_demands_from_starting() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.submit(1, vec![near(1, CORES, 1_000)]);
    assert_eq!(fixture.place(), 0);
    fixture.submit(2, vec![step(1, CORES, 1_000)]);
    assert_eq!(fixture.place(), 1);
    assert_eq!(fixture.tasks_on(2), [key(&fixture, 2, 0)]);
}

/// Guards against sizes that share what is not short because a task waits for a better place.
#[test]
fn a_wait_does_not_count_as_a_shortage() {
    let mut fixture = fixture(&["r1", "r2"]);
    keep_first_executor_turning_over(&mut fixture);
    fixture.submit(1, vec![near(1, CORES, 1_000)]);
    assert_eq!(fixture.place(), 0);
    // As many jobs as the size classes are taken from, of three sizes.
    for number in 2..=129 {
        let run_ms = match number {
            2..=100 => 1_000,
            101..=120 => 2_000,
            _ => 8_000,
        };
        fixture.submit(number, vec![step(1, 1, run_ms)]);
    }
    fixture.scheduler.place_up_to(3, fixture.now, 0);
    let steps = fixture.tasks_on(2).into_iter();
    let steps = steps.filter_map(|key| fixture.scheduler.step(key));
    let runs: Vec<u64> = steps.map(|step| step.estimate_ms).collect();
    assert_eq!(runs, [1_000, 1_000, 1_000]);
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        same_rack: true,
        ..step(count, cores, 1_000)
    }
}

/// Guards against a gang that is spread although one rack has room for it.
#[test]
fn a_gang_starts_in_one_rack_if_that_has_room() {
    let mut fixture = fixture(&["r1", "r2", "r2", "r3"]);
    fixture.submit(1, vec![gang(4, 32)]);
    assert_eq!(fixture.place(), 4);
    assert_eq!(
        (fixture.tasks_on(2).len(), fixture.tasks_on(3).len()),
        (2, 2)
    );
}

/// Guards against a label of many racks that is taken for the rack.
#[test]
fn a_rack_is_told_from_labels_of_several_racks() {
    let mut fixture = fixture(&[]);
    let listings = (1..).zip(["r1", "r2", "r2"]).map(|(number, rack)| Listing {
        labels: vec!["ssd".into(), rack.into()],
        ..listing(number)
    });
    fixture.list(listings.collect());
    fixture.submit(1, vec![gang(4, 32)]);
    assert_eq!(fixture.place(), 4);
    assert_eq!(fixture.tasks_on(1), []);
}

/// Guards against a gang that is spread although room for all of it is expected soon in one rack.
#[test]
fn a_gang_waits_for_room_in_one_rack_and_takes_it() {
    let mut fixture = fixture(&["r1", "r2"]);
    fixture.submit(1, vec![near(1, 32, 60_000)]);
    fixture.start_all();
    let long = fixture.tasks_on(1);
    fixture.submit(2, vec![step(1, 32, 60_000)]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(2).len(), 1);
    for number in 1..=9 {
        fixture.submit(100 + number, vec![near(1, 32, 1_000)]);
        fixture.start_all();
        fixture.pass(400);
        let task = key(&fixture, 100 + number, 0);
        let end = fixture.end(number, task, RunOutcome::Done);
        fixture.report(1, vec![end]);
    }
    let waiting = StepSpec {
        estimate_ms: 4_000,
        ..gang(2, 32)
    };
    fixture.submit(4, vec![waiting]);
    assert_eq!(fixture.place(), 0);
    let reason = wait_reason(&fixture, 4);
    assert!(
        matches!(reason, Some(WaitReason::Locality { .. })),
        "{reason:?}"
    );
    fixture.pass(100);
    let end = fixture.end(10, long[0], RunOutcome::Done);
    fixture.report(1, vec![end]);
    assert_eq!(fixture.place(), 2);
    assert_eq!(fixture.tasks_on(1).len(), 2);
}

/// Guards against a gang that waits for a rack where nothing becomes free.
#[test]
fn a_gang_is_spread_if_a_wait_does_not_pay_off() {
    let mut fixture = fixture(&["r1", "r2"]);
    fixture.submit(1, vec![step(1, 32, 60_000), step(1, 33, 60_000)]);
    assert_eq!(fixture.place(), 2);
    fixture.submit(2, vec![gang(2, 31)]);
    assert_eq!(fixture.place(), 2);
    assert_eq!(
        (fixture.tasks_on(1).len(), fixture.tasks_on(2).len()),
        (2, 2)
    );
}

/// Guards against learned durations and stall checks that take a run in the wrong place for one that
/// is slow for other reasons.
#[test]
fn a_run_elsewhere_counts_by_what_it_would_take_near() {
    let mut fixture = fixture(&["r2"]);
    fixture.scheduler.timing.remote_slowdown = 3.0;
    fixture.submit(1, vec![near(1, 1, 4_000)]);
    fixture.start_all();
    let task = fixture.tasks_on(1)[0];
    for progress in [1, 9, 18, 27] {
        fixture.pass(1_000);
        let running = fixture.running(task, progress, 0);
        fixture.report_rows(1, vec![running], Vec::new());
        let executor = fixture.executor(1);
        fixture.scheduler.stop_stalled(executor, fixture.now);
    }
    let assignment = fixture
        .scheduler
        .task(task)
        .expect("the task exists")
        .assignment();
    assert!(assignment.is_some_and(|assignment| !assignment.stopping));
    fixture.pass(8_000);
    let end = fixture.end(1, task, RunOutcome::Done);
    fixture.report(1, vec![end]);
    let queue = crate::fixture::QUEUE.into();
    let expected = fixture
        .scheduler
        .durations
        .expected_ms(&queue, &near(1, 1, 4_000));
    assert_eq!(expected, 4_000);
}
