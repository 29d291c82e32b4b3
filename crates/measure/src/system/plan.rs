//! Systems of a given size for the measurements.

use std::sync::Arc;
use std::time::Duration;

use fake::worker::Completion;
use fake::worker::Program;
use fake::worker::RunSpec;
use model::Size;
use model::place::Place;

use crate::system::DaemonPlan;
use crate::system::ExecutorPlan;
use crate::system::FakePlatform;
use crate::system::System;
use crate::system::WorkerPlan;
use crate::system::client;

/// Seed of all random choices.
pub const SEED: u64 = 20_261_203;
/// Number of workers per rack.
const WORKERS_PER_RACK: usize = 4;
/// Maximum time for the first document to be accepted and for each daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of daemons, workers and executors of a system.
#[derive(Clone, Copy, Debug)]
pub struct SystemSize {
    /// Number of daemons, spread over both halves.
    pub daemons: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of executors per upstream; there are two upstreams.
    pub executors: usize,
}

impl Default for SystemSize {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 6,
            executors: 6,
        }
    }
}

/// Returns the document of these systems, with the upstream `parts` in the half `parts_half`.
#[must_use]
pub fn document(parts_half: &str) -> String {
    r#"{
    "halves": { "noord": { "share_percent": 90 }, "zuid": { "share_percent": 10 } },
    "regions": {
        "vlaanderen": { "data_centres": ["limburg", "antwerpen"] },
        "wallonie": { "data_centres": ["namur"] }
    },
    "upstreams": {
        "planning": { "half": "noord", "routes": ["/plan"] },
        "parts": { "half": "PARTS_HALF", "routes": ["/parts"] }
    },
    "teams": { "fleet": { "half": "noord", "quota": { "cpu_millis": 1000, "memory_mib": 1000 }, "weight": 1 } },
    "classes": { "fleet-check": { "kind": "batch", "half": "noord" } },
    "sharing": { "batch_percent": 100 }
}
"#
    .replace("PARTS_HALF", parts_half)
}

fn place(index: usize) -> Place {
    match index % 3 {
        0 => Place::new("vlaanderen", "limburg"),
        1 => Place::new("vlaanderen", "antwerpen"),
        _ => Place::new("wallonie", "namur"),
    }
}

fn daemon(index: usize) -> DaemonPlan {
    let place = place(index);
    let id = format!("{}-{}", place.data_centre, index / 3 + 1);
    let half = if (index / 3 + index).is_multiple_of(2) {
        "noord"
    } else {
        "zuid"
    };
    DaemonPlan::new(&id, half, place)
}

fn worker(index: usize) -> WorkerPlan {
    let rack = index / WORKERS_PER_RACK;
    let place = place(rack);
    let rack = format!("{}-rack-{rack}", place.data_centre);
    WorkerPlan::new(
        &format!("worker-{index}"),
        place,
        &rack,
        Size::new(64_000, 256_000, 0),
    )
}

fn executor(index: usize) -> ExecutorPlan {
    let upstream = if index.is_multiple_of(2) {
        "planning"
    } else {
        "parts"
    };
    let data_centre = if index % 4 < 2 {
        "limburg"
    } else {
        "antwerpen"
    };
    let place = Place::new("vlaanderen", data_centre);
    ExecutorPlan::new(&format!("{upstream}-{index}"), upstream, place)
}

/// Starts a system of this size, in which tasks run until they are stopped, and applies the first
/// document.
///
/// # Panics
///
/// Panics if the system cannot be started or does not become ready.
pub async fn start(size: &SystemSize) -> System {
    let daemons: Vec<DaemonPlan> = (0..size.daemons).map(daemon).collect();
    let workers: Vec<WorkerPlan> = (0..size.workers).map(worker).collect();
    let executors: Vec<ExecutorPlan> = (0..size.executors * 2).map(executor).collect();
    let programs = Arc::new(|_: &RunSpec| {
        Program::batch(Size::new(100, 100, 0), Duration::ZERO).completion(Completion::Never)
    });
    let lag = Duration::from_millis(500);
    let platform = FakePlatform::start(&workers, &executors, &daemons, programs, lag).await;
    let platform = platform.expect("the loopback interface has free ports");
    for executor in &platform.executors {
        executor.set_delay(|_| Duration::from_millis(5));
    }
    let system = System::start(platform, &daemons, SEED)
        .await
        .expect("the daemons start");
    let first = document("noord");
    let operators = system.daemons[0].operators;
    client::apply_until_accepted(operators, "first", &first, READY_TIMEOUT).await;
    system.wait_until_ready(READY_TIMEOUT).await;
    system
}
