use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::api::ApplyReply;
use conf::api::Submission;
use fake::worker::Program;
use fake::worker::RunSpec;
use measure::system::DaemonPlan;
use measure::system::ExecutorPlan;
use measure::system::Platform;
use measure::system::System;
use measure::system::client;
use measure::system::racks;
use measure::system::three_daemons;
use measure::system::wait_until;
use model::Priority;
use model::Size;
use model::id::TaskId;
use model::place::Place;

/// What each worker has.
const WORKER: Size = Size::new(8000, 8192, 0);
pub const SEED: u64 = 20_261_203;
/// Far above what anything waited for takes, so that a slow machine changes no verdict.
pub const PATIENCE: Duration = Duration::from_secs(90);

/// A document; `parts` belongs to the half named.
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
        .flat_map(|up| [executor(up, 1), executor(up, 2)])
        .collect()
}

/// Starts the system with tasks that run for `run`, and puts the document into force.
pub async fn start(run: Duration) -> System {
    println!("seed {SEED}");
    let programs = Arc::new(move |_: &RunSpec| Program::batch(Size::new(900, 900, 0), run));
    let lag = Duration::from_millis(100);
    let platform =
        Platform::start(&racks(1, WORKER), &executors(), &daemons(), programs, lag).await;
    let platform = platform.expect("loopback has free ports");
    let system = System::start(platform, &daemons(), SEED)
        .await
        .expect("daemons start");
    let first = system.daemons[0].operators;
    apply_until_accepted(first, "first", &document("noord")).await;
    for daemon in &system.daemons {
        let ready = async || {
            client::status(daemon.operators)
                .await
                .is_ok_and(|s| s.ready)
        };
        assert!(
            wait_until(PATIENCE, ready).await,
            "{} is not ready",
            daemon.id
        );
    }
    system
}

/// Applies a document under one id until it is accepted.
pub async fn apply_until_accepted(to: SocketAddr, op: &str, text: &str) {
    let accepted = wait_until(PATIENCE, async || {
        matches!(
            client::apply(to, op, text).await,
            Ok(ApplyReply::Accepted { .. })
        )
    });
    assert!(accepted.await, "{op} was not accepted");
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

/// Submits a task under one name until it is accepted.
pub async fn submit(to: SocketAddr, name: &str) {
    let accepted = async || client::submit(to, &submission(name)).await.is_ok();
    assert!(
        wait_until(PATIENCE, accepted).await,
        "{name} was not accepted"
    );
}

/// Waits until so many tasks have succeeded in all.
pub async fn succeeded(to: SocketAddr, count: usize) -> bool {
    wait_until(PATIENCE, async || {
        let page = client::tasks(to, conf::api::TaskState::Succeeded).await;
        page.is_ok_and(|page| page.tasks.len() == count)
    })
    .await
}

/// Asserts that no task was doubled, overcommitted or resumed from nothing.
pub fn assert_kept(system: &System) {
    let tally = system.platform.ledger.counts();
    let broken = (
        tally.overlapping,
        tally.overcommits,
        tally.missing_checkpoints,
    );
    assert_eq!(broken, (0, 0, 0), "{tally:?}");
}
