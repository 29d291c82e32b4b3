//! Tests of the selection of tasks and executors.

use std::collections::BTreeSet;
use std::sync::Arc;

use job::id::JobId;
use job::ranking::DeadlineOutlook;
use job::ranking::rank;
use job::scheduler::Command;
use job::scheduler::RunOutcome;
use job::scheduler::Submission;
use job::spec::JobSpec;
use job::spec::Repeat;
use model::Mono;
use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::best_effort;
use crate::fixture::listing;
use crate::fixture::service;
use crate::fixture::step;

#[test]
fn no_executor_is_ever_committed_beyond_its_capacity() {
    let seed = 20_261_204;
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fixture = Fixture::new(5);
    for number in 0..60 {
        let step = step(
            rng.random_range(1..30),
            rng.random_range(1..40),
            rng.random_range(100..5_000),
        );
        fixture.submit(number, vec![step]);
        fixture.start_all();
    }
    for number in 1..=5 {
        let used: Size = fixture
            .tasks_on(number)
            .into_iter()
            .filter_map(|key| fixture.scheduler.step(key).map(|step| step.size))
            .sum();
        assert!(used.fits(&listing(number).capacity), "{used}");
        assert!(used.cpu_millis > 32_000, "{used}");
    }
}

#[test]
fn nothing_is_placed_on_a_draining_executor() {
    let mut fixture = Fixture::new(2);
    let mut draining = listing(1);
    draining.draining = true;
    fixture.list(vec![draining, listing(2)]);
    fixture.submit(1, vec![step(3, 4, 1_000)]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 0);
    assert_eq!(fixture.tasks_on(2).len(), 3);
}

#[test]
fn the_label_and_the_limit_of_tasks_per_executor_are_respected() {
    let mut fixture = Fixture::new(0);
    let mut labelled = listing(1);
    labelled.labels.push("special".into());
    fixture.list(vec![labelled, listing(2)]);
    let mut restricted = step(4, 4, 1_000);
    restricted.label = Some("special".into());
    restricted.max_per_executor = 2;
    fixture.submit(1, vec![restricted]);
    fixture.start_all();
    assert_eq!(fixture.tasks_on(1).len(), 2);
    assert_eq!(fixture.tasks_on(2).len(), 0);
}

#[test]
fn a_gang_starts_completely_under_one_run_number_or_not_at_all() {
    let mut fixture = Fixture::new(2);
    let mut gang = step(5, 30, 1_000);
    gang.gang = true;
    fixture.submit(1, vec![gang.clone()]);
    assert!(
        fixture.start_all().is_empty(),
        "five tasks do not fit on two executors"
    );
    fixture.list((1..=3).map(listing).collect());
    let runs: BTreeSet<u64> = fixture
        .start_all()
        .iter()
        .filter_map(|command| match command {
            Command::Start { run, .. } => Some(*run),
            _ => None,
        })
        .collect();
    assert_eq!(runs, BTreeSet::from([1]));
    let placed: usize = (1..=3).map(|number| fixture.tasks_on(number).len()).sum();
    assert_eq!(placed, 5);
}

#[test]
fn services_with_the_same_image_are_placed_together() {
    let mut fixture = Fixture::new(4);
    for number in 0..8 {
        let image = if number % 2 == 0 { "a" } else { "b" };
        fixture.submit(number, vec![service(2, 10, image)]);
        fixture.start_all();
    }
    for number in 1..=4 {
        let images: BTreeSet<String> = fixture
            .tasks_on(number)
            .into_iter()
            .filter_map(|key| {
                fixture
                    .scheduler
                    .step(key)?
                    .image
                    .as_deref()
                    .map(str::to_owned)
            })
            .collect();
        assert!(
            images.len() <= 1,
            "executor {number} runs services with images {images:?}"
        );
    }
}

#[test]
fn best_effort_tasks_use_only_spare_cpu() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(4, 16, "a")]);
    fixture.start_all();
    fixture.submit(2, vec![best_effort(20, 4, "f")]);
    fixture.start_all();
    let best_effort = fixture
        .tasks_on(1)
        .into_iter()
        .filter(|key| {
            fixture
                .scheduler
                .step(*key)
                .is_some_and(|step| step.best_effort)
        })
        .count();
    assert!(
        best_effort > 0,
        "all CPU is allocated but not all of it is used"
    );
    assert!(
        best_effort * 4 <= 32,
        "{best_effort} best-effort tasks of 4 cores"
    );
}

#[test]
fn work_that_can_be_in_time_goes_before_work_that_cannot() {
    let mut fixture = Fixture::new(1);
    let late = fixture.submit(1, vec![step(1, 40, 60_000)]);
    fixture.pass(200_000);
    let in_time = fixture.submit(2, vec![step(1, 40, 1_000)]);
    fixture.start_all();
    let placed = fixture
        .scheduler
        .job(fixture.tasks_on(1)[0].job)
        .expect("the job exists")
        .id;
    assert_eq!(placed, in_time);
    assert_ne!(placed, late);
}

#[test]
fn an_objective_is_measured_from_when_its_occurrence_is_due_and_not_from_the_arrival() {
    let mut fixture = Fixture::new(1);
    let unix_ms = 1_000_000;
    let spec = JobSpec {
        steps: vec![step(1, 40, 500)],
        repeat: Some(Repeat {
            first_due_unix_ms: unix_ms - 100_000,
            interval_ms: 50_000,
            times: 3,
        }),
        ..JobSpec::default()
    };
    let id = JobId::parse("00000000000000ff").expect("a valid job identifier");
    let submission = Submission {
        id,
        queue: QUEUE.into(),
        age_ms: 100_000,
        spec: Arc::new(spec),
        row_version: 1,
        terms: None,
    };
    fixture.now = Mono(200_000);
    let key = fixture
        .scheduler
        .submit(submission, fixture.now)
        .expect("the job is new");
    let job = fixture.scheduler.job(key).expect("the job exists");
    let chances: Vec<DeadlineOutlook> = fixture
        .scheduler
        .ready_steps(unix_ms)
        .into_iter()
        .map(|ready| rank(&fixture.scheduler, job, ready, fixture.now, unix_ms).outlook)
        .collect();
    assert_eq!(
        chances,
        [
            DeadlineOutlook::TooLate,
            DeadlineOutlook::TooLate,
            DeadlineOutlook::InTime
        ],
        "the third occurrence has just become due"
    );
}

/// Guards against starvation: short tasks end one after another, and each freed fragment of
/// capacity is taken by the next short task.
#[test]
fn a_long_running_task_is_not_starved_by_a_continuous_stream_of_short_tasks() {
    let mut fixture = Fixture::new(2);
    for number in 0..10 {
        fixture.submit(100 + number, vec![step(2, 6, 1_000)]);
    }
    fixture.start_all();
    let long_running = fixture.submit(1, vec![service(1, 20, "web")]);
    let mut ends = [0, 0];
    for number in 0..40 {
        fixture.pass(100);
        fixture.submit(200 + number, vec![step(2, 6, 1_000)]);
        let index = usize::try_from(number % 2).expect("the index fits in usize");
        let short_tasks = fixture.tasks_on(index + 1).into_iter().filter(|key| {
            fixture
                .scheduler
                .step(*key)
                .is_some_and(|step| !step.long_running)
        });
        let Some(first) = short_tasks.min_by_key(|key| {
            fixture
                .scheduler
                .task(*key)
                .map(|task| task.assignment().map(|assignment| assignment.assigned_at))
        }) else {
            continue;
        };
        ends[index] += 1;
        let end = fixture.end(ends[index], first, RunOutcome::Done);
        fixture.report(index + 1, vec![end]);
        fixture.start_all();
        let key = fixture
            .scheduler
            .find(long_running)
            .expect("the job exists");
        if fixture
            .scheduler
            .job(key)
            .is_some_and(|job| !job.has_waiting_tasks())
        {
            assert!(number >= 10, "an executor is reserved only after a second");
            return;
        }
    }
    panic!("the long-running task never starts");
}

/// Guards against overload: far more work arrives at once than can be in time, in jobs of different
/// sizes.
#[test]
fn among_jobs_that_can_be_in_time_the_smaller_go_first() {
    let mut fixture = Fixture::new(1);
    let large = fixture.submit(1, vec![step(16, 8, 2_000)]);
    let small: Vec<_> = (2..6)
        .map(|number| fixture.submit(number, vec![step(2, 8, 2_000)]))
        .collect();
    fixture.start_all();
    let started = |fixture: &Fixture, id| {
        let key = fixture.scheduler.find(id).expect("the job exists");
        fixture.tasks_on(1).iter().any(|task| task.job == key)
    };
    assert!(small.iter().all(|id| started(&fixture, *id)));
    assert!(!started(&fixture, large));
}

/// Guards against long-running services taking all freed capacity: allocated resources run out
/// while short work is waiting.
#[test]
fn short_work_that_can_be_in_time_gets_scarce_resources_before_a_service() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, vec![service(5, 16, "web")]);
    fixture.start_all();
    fixture.submit(2, vec![service(1, 16, "web")]);
    let short = fixture.submit(3, vec![step(1, 16, 500)]);
    let task = fixture.tasks_on(1)[0];
    let end = fixture.end(1, task, job::scheduler::RunOutcome::Failed);
    fixture.report(1, vec![end]);
    fixture.pass(1_000);
    fixture.start_all();
    let key = fixture.scheduler.find(short).expect("the job exists");
    assert!(fixture.tasks_on(1).iter().any(|task| task.job == key));
}
