//! Systems of a given size, for the measurements.

use std::sync::Arc;
use std::time::Duration;

use conf::api::ApplyReply;
use fake::worker::Completion;
use fake::worker::Program;
use fake::worker::RunSpec;
use model::Size;
use model::place::Place;

use crate::system::DaemonPlan;
use crate::system::ExecutorPlan;
use crate::system::Platform;
use crate::system::System;
use crate::system::WorkerPlan;
use crate::system::client;
use crate::system::wait_until;

/// The seed of all random choices.
pub const SEED: u64 = 20_261_203;
/// How many workers stand in one rack.
const PER_RACK: usize = 4;
/// How long a system may take to be ready.
const PATIENCE: Duration = Duration::from_secs(60);

/// How much of everything a system has.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Daemons, of both halves in turn.
    pub daemons: usize,
    /// Workers.
    pub workers: usize,
    /// Executors of each of the two upstreams.
    pub executors: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 6,
            executors: 6,
        }
    }
}

/// A document for these systems; `parts` belongs to the half named.
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
    let rack = index / PER_RACK;
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

/// Starts a system of these sizes, with tasks that run until they are stopped, and puts the first
/// document into force.
///
/// # Panics
///
/// Panics if it cannot be started or does not become ready.
pub async fn start(sizes: &Sizes) -> System {
    let daemons: Vec<DaemonPlan> = (0..sizes.daemons).map(daemon).collect();
    let workers: Vec<WorkerPlan> = (0..sizes.workers).map(worker).collect();
    let executors: Vec<ExecutorPlan> = (0..sizes.executors * 2).map(executor).collect();
    let programs = Arc::new(|_: &RunSpec| {
        Program::batch(Size::new(100, 100, 0), Duration::ZERO).completion(Completion::Never)
    });
    let lag = Duration::from_millis(500);
    let platform = Platform::start(&workers, &executors, &daemons, programs, lag).await;
    let platform = platform.expect("loopback has free ports");
    for executor in &platform.executors {
        executor.set_delay(|_| Duration::from_millis(5));
    }
    let system = System::start(platform, &daemons, SEED)
        .await
        .expect("daemons start");
    let first = document("noord");
    let mut last = String::new();
    let accepted = wait_until(PATIENCE, async || {
        let reply = client::apply(system.daemons[0].operators, "first", &first).await;
        last = format!("{reply:?}");
        matches!(reply, Ok(ApplyReply::Accepted { .. }))
    });
    assert!(
        accepted.await,
        "the first document was not accepted: {last}"
    );
    for daemon in &system.daemons {
        let ready = async || {
            client::status(daemon.operators)
                .await
                .is_ok_and(|one| one.ready)
        };
        assert!(
            wait_until(PATIENCE, ready).await,
            "{} is not ready",
            daemon.id
        );
    }
    system
}
