//! A synthetic fleet with its document, and random tasks to place on it.

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
use model::id::ClassId;
use model::id::HalfId;
use model::id::ShardId;
use model::id::TaskId;
use model::id::TeamId;
use model::id::WorkerId;
use model::place::Place;
use rand::RngExt;
use rand::rngs::SmallRng;
use sched::Budget;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::input::QueuedTask;
use sched::input::WorkerSpec;

/// The data centres of the target size with their regions.
const DATA_CENTRES: [(&str, &str); 8] = [
    ("r1", "d1"),
    ("r1", "d2"),
    ("r1", "d3"),
    ("r2", "d4"),
    ("r2", "d5"),
    ("r2", "d6"),
    ("r3", "d7"),
    ("r3", "d8"),
];
const WORKERS_PER_RACK: usize = 10;
/// Every fourth worker has four accelerators and every 32nd has eight, up to
/// [`TOTAL_ACCELERATORS`]: 740 on 660 workers.
const ACCELERATED_EVERY: usize = 4;
const ACCELERATORS_PER_WORKER: u64 = 4;
const TOTAL_ACCELERATORS: u64 = 740;
const TEAMS: usize = 100;
const CLASSES_PER_KIND: usize = 40;
/// CPU and memory of a worker without accelerators.
pub const WORKER_CAPACITY: Size = Size::new(64_000, 256_000, 0);
/// A budget that limits neither starts nor evictions.
pub const UNLIMITED: Budget = Budget {
    starts: usize::MAX,
    evictions: usize::MAX,
};

fn id(prefix: &str, number: usize) -> String {
    format!("{prefix}{number}")
}

/// Returns a document with two halves, 100 teams and 40 classes of each kind, some of them
/// restricted to a region.
pub fn document() -> Document {
    let half = || Half {
        title: String::new(),
        share_percent: 100,
    };
    let classes = (0..CLASSES_PER_KIND * 2).map(|number| {
        let kind = if number % 2 == 0 {
            Kind::Service
        } else {
            Kind::Batch
        };
        (ClassId::new(id("c", number)), class(kind, number))
    });
    let teams = (0..TEAMS).map(|number| (TeamId::new(id("t", number)), team(number)));
    let mut regions: BTreeMap<_, Region> = BTreeMap::new();
    for (region, data_centre) in DATA_CENTRES {
        let region = regions.entry(region.into()).or_default();
        region.data_centres.push(data_centre.into());
    }
    Document {
        halves: BTreeMap::from([("h0".into(), half()), ("h1".into(), half())]),
        regions,
        teams: teams.collect(),
        classes: classes.collect(),
        ..Document::default()
    }
}

fn class(kind: Kind, number: usize) -> Class {
    let is_restricted = number % 10 == 3;
    Class {
        kind,
        half: HalfId::new(id("h", number % 2)),
        regions: if is_restricted {
            vec!["r1".into()]
        } else {
            Vec::new()
        },
        data_centres: Vec::new(),
        p99_target_us: (kind == Kind::Service).then_some(100_000),
        max_per_rack: None,
    }
}

fn team(number: usize) -> Team {
    Team {
        half: HalfId::new(id("h", number % 2)),
        quota: Size::new(8_000_000, 32_000_000, 400),
        weight: 1,
    }
}

/// Returns a scheduler with `count` workers and the document.
pub fn sched(seed: u64, count: usize, cfg: Config) -> Sched {
    let mut sched = Sched::new(seed, cfg);
    for worker in workers(count) {
        sched.upsert_worker(worker);
    }
    sched.set_document(&document());
    sched
}

/// Returns `count` workers with their accelerators.
pub fn workers(count: usize) -> Vec<WorkerSpec> {
    let mut remaining = TOTAL_ACCELERATORS;
    let worker = |number: usize| {
        let accelerators = if number.is_multiple_of(ACCELERATED_EVERY) {
            remaining.min(ACCELERATORS_PER_WORKER)
        } else {
            0
        };
        let accelerators = if number.is_multiple_of(ACCELERATED_EVERY * 8) {
            remaining.min(ACCELERATORS_PER_WORKER * 2)
        } else {
            accelerators
        };
        remaining -= accelerators;
        let rack = number / WORKERS_PER_RACK;
        let (region, data_centre) = DATA_CENTRES[rack % DATA_CENTRES.len()];
        WorkerSpec {
            id: WorkerId::new(id("w", number)),
            place: Place::new(region, data_centre),
            rack: ShardId::new(id("rack", rack)),
            capacity: Size {
                accelerators,
                ..WORKER_CAPACITY
            },
            leaving: false,
        }
    };
    (0..count).map(worker).collect()
}

/// Creates a task with a random team, class and size.
pub fn task(rng: &mut SmallRng, number: usize, kind: Kind, now: Mono) -> QueuedTask {
    let parity = usize::from(kind == Kind::Batch);
    let class = rng.random_range(0..CLASSES_PER_KIND) * 2 + parity;
    let accelerated = kind == Kind::Batch && rng.random_range(0..12) == 0;
    let declared = Size::new(
        rng.random_range(1_000..7_000),
        rng.random_range(4_000..24_000),
        if accelerated {
            rng.random_range(1..3)
        } else {
            0
        },
    );
    QueuedTask {
        task: TaskId::new(id("task-", number)),
        team: TeamId::new(id("t", rng.random_range(0..TEAMS))),
        class: ClassId::new(id("c", class)),
        priority: Priority::Normal,
        declared,
        run_ms: (kind == Kind::Batch).then_some(600_000),
        checkpoint: None,
        progress_ms: 0,
        failures: 0,
        evictions: 0,
        submitted_at: now,
    }
}

/// Confirms all starts among the decisions and returns the started tasks.
pub fn confirm(sched: &mut Sched, decisions: &[Decision], now: Mono) -> Vec<TaskId> {
    let mut started = Vec::new();
    for decision in decisions {
        if let Decision::Start {
            task,
            worker,
            reserved,
            ..
        } = decision
        {
            sched.assigned(task, worker, *reserved, now);
            started.push(task.clone());
        }
    }
    started
}
