use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::api::Submission;
use fake::worker::Program;
use fake::worker::RunSpec;
use measure::system::DaemonPlan;
use measure::system::ExecutorPlan;
use measure::system::FakePlatform;
use measure::system::System;
use measure::system::client;
use measure::system::three_daemons;
use measure::system::wait_until;
use measure::system::workers_in_racks;
use model::Priority;
use model::Size;
use model::id::TaskId;
use model::place::Place;

/// Capacity of each worker.
const WORKER_CAPACITY: Size = Size::new(8000, 8192, 0);
pub const SEED: u64 = 20_261_203;
/// Timeout of every wait, far above the expected time, so that a slow machine fails no test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Returns a document with the upstream `parts` in the half `parts_half`.
pub fn document(parts_half: &str) -> String {
    format!(
        r#"{{
    // Two halves, two upstreams.
    "halves": {{ "noord": {{ "share_percent": 60 }}, "zuid": {{ "share_percent": 40 }} }},
    "regions": {{
        "vlaanderen": {{ "data_centres": ["limburg", "antwerpen"] }},
        "wallonie": {{ "data_centres": ["namur"] }}
    }},
    "upstreams": {{
        "planning": {{ "half": "noord", "routes": ["/plan"] }},
        "parts": {{ "half": "{parts_half}", "routes": ["/parts"] }}
    }},
    "teams": {{
        "fleet": {{ "half": "noord", "quota": {{ "cpu_millis": 14000, "memory_mib": 14000 }} }}
    }},
    "classes": {{ "fleet-check": {{ "kind": "batch", "half": "noord" }} }}
}}
"#
    )
}

pub fn daemons() -> Vec<DaemonPlan> {
    three_daemons(["noord", "zuid"])
}

fn executors() -> Vec<ExecutorPlan> {
    let executor = |upstream: &str, number: usize| {
        let place = Place::new("vlaanderen", "limburg");
        ExecutorPlan::new(&format!("{upstream}-{number}"), upstream, place)
    };
    ["planning", "parts"]
        .into_iter()
        .flat_map(|upstream| [executor(upstream, 1), executor(upstream, 2)])
        .collect()
}

/// Starts the system, in which tasks run for `run_time`, and applies the first document.
pub async fn start(run_time: Duration) -> System {
    println!("seed {SEED}");
    let programs = Arc::new(move |_: &RunSpec| Program::batch(Size::new(900, 900, 0), run_time));
    let lag = Duration::from_millis(100);
    let platform = FakePlatform::start(
        &workers_in_racks(1, WORKER_CAPACITY),
        &executors(),
        &daemons(),
        programs,
        lag,
    )
    .await;
    let platform = platform.expect("the loopback interface has free ports");
    let system = System::start(platform, &daemons(), SEED)
        .await
        .expect("the daemons start");
    let operators = system.daemons[0].operators;
    apply_until_accepted(operators, "first", &document("noord")).await;
    system.wait_until_ready(WAIT_TIMEOUT).await;
    system
}

/// Applies a document, retrying under the same operation id until it is accepted.
pub async fn apply_until_accepted(to: SocketAddr, op: &str, text: &str) {
    client::apply_until_accepted(to, op, text, WAIT_TIMEOUT).await;
}

pub fn submission(name: &str) -> Submission {
    Submission {
        task: TaskId::from(name),
        team: "fleet".into(),
        class: "fleet-check".into(),
        priority: Priority::Normal,
        size: Size::new(1000, 1000, 0),
        run_ms: Some(1000),
        max_failures: None,
    }
}

/// Submits a task, retrying under the same id until it is accepted.
pub async fn submit(to: SocketAddr, name: &str) {
    let accepted = async || client::submit(to, &submission(name)).await.is_ok();
    assert!(
        wait_until(WAIT_TIMEOUT, accepted).await,
        "{name} was not accepted"
    );
}

/// Waits until exactly `count` tasks have succeeded; returns whether they did.
pub async fn succeeded(to: SocketAddr, count: usize) -> bool {
    wait_until(WAIT_TIMEOUT, async || {
        let page = client::tasks(to, conf::api::TaskState::Succeeded).await;
        page.is_ok_and(|page| page.tasks.len() == count)
    })
    .await
}

/// Asserts that no task ran twice at a time, no worker was overcommitted, and no task resumed from
/// a missing checkpoint.
pub fn assert_tasks_consistent(system: &System) {
    let tally = system.platform.ledger.counts();
    let violations = (
        tally.overlapping,
        tally.overcommits,
        tally.missing_checkpoints,
    );
    assert_eq!(violations, (0, 0, 0), "{tally:?}");
}
