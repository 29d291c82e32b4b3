//! A small fleet with three teams, two service classes and three batch classes.

use std::collections::BTreeMap;

use conf::doc::Class;
use conf::doc::Document;
use conf::doc::Half;
use conf::doc::Kind;
use conf::doc::Region;
use conf::doc::Team;
use model::Mono;
use model::Priority;
use model::Size;
use model::id::HalfId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use model::place::Place;
use sched::Budget;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::input::QueuedTask;
use sched::input::RunOutcome;
use sched::input::RunStatus;
use sched::input::UsageReport;
use sched::input::WorkerSpec;

/// The seed of the scheduler in every test.
pub const SEED: u64 = 20_261_203;
/// A worker of 64 cores and 250 GiB, as users have them.
pub const WORKER: Size = Size::new(64_000, 256_000, 0);
/// A budget larger than any test needs.
pub const BUDGET: Budget = Budget {
    starts: 1000,
    evictions: 1000,
};

pub fn class(kind: Kind) -> Class {
    Class {
        kind,
        half: HalfId::new("north"),
        regions: Vec::new(),
        data_centres: Vec::new(),
        p99_target_us: (kind == Kind::Service).then_some(100_000),
        max_per_rack: None,
    }
}

pub fn team(half: &str) -> Team {
    Team {
        half: HalfId::new(half),
        quota: Size::new(u64::MAX / 4, u64::MAX / 4, 1_000_000),
        weight: 1,
    }
}

/// Returns a document with the halves `north` and `south`, the teams `a`, `b` (north) and `c`
/// (south), the service classes `plan` and `crest`, and the batch classes `study`, `check` and
/// `quiet`.
pub fn document() -> Document {
    let half = || Half {
        title: String::new(),
        share_percent: 100,
    };
    let region = |data_centres: &[&str]| Region {
        data_centres: data_centres.iter().map(|id| (*id).into()).collect(),
    };
    let services = ["plan", "crest"].map(|id| (id.into(), class(Kind::Service)));
    let batch = ["study", "check", "quiet"].map(|id| (id.into(), class(Kind::Batch)));
    Document {
        halves: BTreeMap::from([("north".into(), half()), ("south".into(), half())]),
        regions: BTreeMap::from([
            ("east".into(), region(&["east-1", "east-2"])),
            ("west".into(), region(&["west-1"])),
        ]),
        teams: BTreeMap::from([
            ("a".into(), team("north")),
            ("b".into(), team("north")),
            ("c".into(), team("south")),
        ]),
        classes: services.into_iter().chain(batch).collect(),
        ..Document::default()
    }
}

pub fn worker(id: &str, rack: &str, capacity: Size) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(id),
        place: Place::new("east", "east-1"),
        rack: ShardId::new(rack),
        capacity,
        leaving: false,
    }
}

pub fn task(id: &str, class: &str, declared: Size) -> QueuedTask {
    QueuedTask {
        task: TaskId::new(id),
        team: "a".into(),
        class: class.into(),
        priority: Priority::Normal,
        declared,
        run_ms: None,
        checkpoint: None,
        progress_ms: 0,
        failures: 0,
        evictions: 0,
        submitted_at: Mono::ZERO,
    }
}

pub fn urgent(id: &str, class: &str, declared: Size) -> QueuedTask {
    QueuedTask {
        priority: Priority::Urgent,
        ..task(id, class, declared)
    }
}

/// Returns a scheduler with `document` and `count` equal workers `w0`, `w1`, ... in rack `r`.
pub fn fleet(document: &Document, count: usize, capacity: Size) -> Sched {
    fleet_with(Config::default(), document, count, capacity)
}

/// Returns the same scheduler with other settings.
pub fn fleet_with(cfg: Config, document: &Document, count: usize, capacity: Size) -> Sched {
    let mut sched = Sched::new(SEED, cfg);
    sched.set_document(document);
    for number in 0..count {
        sched.upsert_worker(worker(&format!("w{number}"), "r", capacity));
    }
    sched
}

/// Runs a round of decisions and confirms every start.
pub fn decide_and_confirm(sched: &mut Sched, now: Mono) -> Vec<Decision> {
    let decisions = sched.decide(now, BUDGET);
    for decision in &decisions {
        if let Decision::Start {
            task,
            worker,
            reserved,
            ..
        } = decision
        {
            sched.assigned(task, worker, *reserved, now);
        }
    }
    decisions
}

/// Returns the tasks, workers and reservations of the starts among decisions.
pub fn starts(decisions: &[Decision]) -> Vec<(TaskId, WorkerId, Size)> {
    let start = |decision: &Decision| match decision {
        Decision::Start {
            task,
            worker,
            reserved,
            ..
        } => Some((task.clone(), worker.clone(), *reserved)),
        _ => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// Returns the names of the evicted tasks.
pub fn evicted(decisions: &[Decision]) -> Vec<&str> {
    let evict = |decision: &'_ Decision| matches!(decision, Decision::Evict { .. });
    let evictions = decisions.iter().filter(|decision| evict(decision));
    evictions.filter_map(task_of).collect()
}

/// Returns the caps that are set, with the names of their tasks.
pub fn throttled(decisions: &[Decision]) -> Vec<(&str, u16)> {
    let throttle = |decision: &'_ Decision| match decision {
        Decision::Throttle { permille, .. } => Some(*permille),
        _ => None,
    };
    let caps = decisions
        .iter()
        .filter_map(|decision| Some((task_of(decision)?, throttle(decision)?)));
    caps.collect()
}

fn task_of(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Evict { task, .. }
        | Decision::Throttle { task, .. }
        | Decision::Start { task, .. } => Some(task.as_str()),
        _ => None,
    }
}

/// Assigns a task to a worker without a decision, as at a takeover.
pub fn run(sched: &mut Sched, queued: QueuedTask, worker: &str, now: Mono) {
    let id = queued.task.clone();
    let size = queued.declared;
    sched.enqueue(queued);
    sched.assigned(&id, &WorkerId::new(worker), size, now);
}

/// Confirms that a known task of one core and 1000 MiB runs on a worker.
pub fn assign(sched: &mut Sched, task: &TaskId, worker: &str, now: Mono) {
    sched.assigned(task, &WorkerId::new(worker), Size::new(1000, 1000, 0), now);
}

/// Reports the end of a running task.
pub fn end(sched: &mut Sched, id: &str, end: RunOutcome, now: Mono) {
    sched.ended(&TaskId::new(id), end, now);
}

/// Returns the status of a run that uses `usage`, without latency or checkpoint.
pub fn usage(id: &str, usage: Size) -> RunStatus {
    RunStatus {
        task: TaskId::new(id),
        usage,
        checkpoint: None,
        progress_ms: 0,
        p99_us: None,
        throttle_permille: 1000,
    }
}

/// Returns the status of a service with the given processor usage and p99.
pub fn service(id: &str, cpu_millis: u64, p99_us: u64) -> RunStatus {
    RunStatus {
        p99_us: Some(p99_us),
        ..usage(id, Size::new(cpu_millis, 1000, 0))
    }
}

/// Reports runs on `w0` with figures that are `age_ms` old.
pub fn report(sched: &mut Sched, sequence: u64, age_ms: u64, runs: Vec<RunStatus>, now: Mono) {
    let usage_report = UsageReport {
        sequence,
        age_ms,
        runs,
    };
    sched.report(&WorkerId::new("w0"), &usage_report, now);
}
