//! A replay of a load for which the processor of the owner does not suffice.

use std::rc::Rc;
use std::time::Duration;

use dispatch::node::Node;
use job::plan::Plan;
use job::scheduler::JobState;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Size;

use crate::world::World;
use crate::world::job_id;
use crate::world::plan;

const EXECUTORS: usize = 40;
/// Interval between two turns of the owner on its processor, in milliseconds.
const TURN_MS: u64 = 20;
/// Duration of each run, in milliseconds.
const RUN_MS: u64 = 200;
/// The estimate of the runs of wide jobs, which gives these more time.
const WIDE_ESTIMATE_MS: u64 = 1_000;
/// Intervals between two jobs of a kind, in milliseconds.
const SHORT_INTERVAL_MS: u64 = 300;
const WIDE_INTERVAL_MS: u64 = 20;
/// How long jobs are submitted, and how much longer the simulation lasts, in milliseconds.
const LOAD_MS: u64 = 6_000;
const FINISH_MS: u64 = 5_000;
/// Interval at which the states of jobs are read, in milliseconds.
const STEP_MS: u64 = 10;
/// The objective of a job: this multiple of its critical path and this time.
const STRETCH: f64 = 1.5;
const TARGET: Duration = Duration::from_millis(500);
/// Short jobs have to be in time at least once for this many times that wide jobs are.
const MAX_DISPARITY: usize = 2;
/// At least one of this many wide jobs has to be in time nevertheless.
const WIDE_PER_IN_TIME: usize = 5;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Short,
    Wide,
}

struct SubmittedJob {
    number: u64,
    kind: Kind,
    objective_ends_ms: u64,
    in_time: bool,
}

fn tight_plan() -> Plan {
    let mut plan = plan(2, false);
    let mut queue = plan.queues[0].clone();
    queue.stretch = STRETCH;
    queue.target = TARGET;
    plan.queues = vec![queue].into();
    plan
}

fn job_of(kind: Kind) -> JobSpec {
    let short = StepSpec {
        count: 2,
        size: Size::new(4_000, 1_000, 0),
        estimate_ms: RUN_MS,
        ..StepSpec::default()
    };
    let first = match kind {
        Kind::Short => short,
        Kind::Wide => StepSpec {
            count: 20,
            estimate_ms: WIDE_ESTIMATE_MS,
            best_effort: true,
            image: Some("fill".into()),
            ..short
        },
    };
    let second = StepSpec {
        after: vec![0],
        ..first.clone()
    };
    JobSpec {
        payload: "payload".into(),
        steps: vec![first, second],
        repeat: None,
    }
}

/// Submits jobs of a kind through a host that is not the owner, until the load ends.
async fn submit_all(world: &World, jobs: &mut Vec<SubmittedJob>, elapsed_ms: u64) {
    for (kind, interval_ms) in [
        (Kind::Short, SHORT_INTERVAL_MS),
        (Kind::Wide, WIDE_INTERVAL_MS),
    ] {
        if !elapsed_ms.is_multiple_of(interval_ms) {
            continue;
        }
        let number = jobs.len() as u64 + 1;
        let spec = job_of(kind);
        let path = Duration::from_millis(spec.critical_path_ms());
        let objective = path.mul_f64(STRETCH) + TARGET;
        world.submit("b", number, spec).await;
        jobs.push(SubmittedJob {
            number,
            kind,
            objective_ends_ms: elapsed_ms + model::time::millis(objective),
            in_time: false,
        });
    }
}

fn record_ended_jobs(node: &Rc<Node>, jobs: &mut [SubmittedJob], elapsed_ms: u64) {
    let owner = node.owner().expect("the host owns the executors");
    for job in jobs {
        let succeeded = owner.state(job_id(job.number)) == Some(JobState::Succeeded);
        job.in_time |= succeeded && elapsed_ms <= job.objective_ends_ms;
    }
}

/// Returns the number of jobs of a kind, and how many of them were in time.
fn count(jobs: &[SubmittedJob], kind: Kind) -> (usize, usize) {
    let of_kind = || jobs.iter().filter(|job| job.kind == kind);
    (
        of_kind().count(),
        of_kind().filter(|job| job.in_time).count(),
    )
}

/// SHORT at scale: when the owner could not keep up, each part of a short job waited in front of
/// its processor until the job was late.
#[tokio::test(start_paused = true)]
async fn short_jobs_are_in_time_while_the_owner_cannot_start_all_wide_jobs() {
    let world = World::new(EXECUTORS);
    world.document.change(tight_plan());
    world.start("a");
    world.advance(Duration::from_secs(3)).await;
    world.start("b");
    world.advance(Duration::from_secs(3)).await;
    for number in 1..=EXECUTORS {
        let executor = world.fleet.executor(number);
        executor.task_duration.set(Duration::from_millis(RUN_MS));
    }
    let owner = world.host("a");
    owner.slow_processor.set(Some(TURN_MS));
    let mut jobs = Vec::new();
    let begin = tokio::time::Instant::now();
    while begin.elapsed() < Duration::from_millis(LOAD_MS + FINISH_MS) {
        let elapsed_ms = model::time::millis(begin.elapsed());
        if elapsed_ms < LOAD_MS {
            submit_all(&world, &mut jobs, elapsed_ms / STEP_MS * STEP_MS).await;
        }
        record_ended_jobs(&owner.node, &mut jobs, elapsed_ms);
        let into_step = model::time::millis(begin.elapsed()) % STEP_MS;
        world
            .advance(Duration::from_millis(STEP_MS - into_step))
            .await;
    }
    let (short, short_in_time) = count(&jobs, Kind::Short);
    let (wide, wide_in_time) = count(&jobs, Kind::Wide);
    assert!(
        short_in_time * wide * MAX_DISPARITY >= wide_in_time * short,
        "in time: {short_in_time} of {short} short jobs, {wide_in_time} of {wide} wide jobs"
    );
    assert!(
        wide_in_time * WIDE_PER_IN_TIME >= wide,
        "in time: {short_in_time} of {short} short jobs, {wide_in_time} of {wide} wide jobs"
    );
}
