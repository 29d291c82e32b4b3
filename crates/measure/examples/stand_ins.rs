//! The fake platform alone, for daemons that run as separate processes.
//!
//! `cargo run --example stand_ins -- DIRECTORY` starts a fake platform with workers and executors
//! on the loopback interface, writes a settings file for each of three daemons into DIRECTORY, and
//! runs until it is interrupted. Then start
//! `fireflynotchd --settings DIRECTORY/limburg-1.settings.jsonc` and the other two daemons, and point
//! the client at the operators' address in the same file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Listen;
use fake::worker::Program;
use fake::worker::RunSpec;
use measure::system::ExecutorPlan;
use measure::system::FakePlatform;
use measure::system::three_daemons;
use measure::system::workers_in_racks;
use model::Size;
use model::place::Place;

/// First port of the first daemon; each daemon is assigned a range of ten.
const FIRST_PORT: u16 = 7100;
/// Number of workers in the only rack of each data centre.
const WORKERS_PER_RACK: usize = 22;
/// Capacity of each worker.
const WORKER_CAPACITY: Size = Size::new(64_000, 256_000, 1);
/// Run time of each task.
const RUN_TIME: Duration = Duration::from_secs(20);

fn executors() -> Vec<ExecutorPlan> {
    let executor = |number: usize| {
        let data_centre = if number.is_multiple_of(2) {
            "limburg"
        } else {
            "antwerpen"
        };
        let place = Place::new("vlaanderen", data_centre);
        ExecutorPlan::new(&format!("planning-{number}"), "planning", place)
    };
    (1..=6).map(executor).collect()
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = std::env::args().nth(1).map(PathBuf::from);
    let directory =
        directory.ok_or("expected the directory for the settings files as the first argument")?;
    let daemons = three_daemons(["vlaanderen", "wallonie"]);
    let programs = Arc::new(|_: &RunSpec| Program::batch(Size::new(1000, 1000, 0), RUN_TIME));
    let lag = Duration::from_secs(1);
    let platform = FakePlatform::start(
        &workers_in_racks(WORKERS_PER_RACK, WORKER_CAPACITY),
        &executors(),
        &daemons,
        programs,
        lag,
    )
    .await?;
    for executor in &platform.executors {
        executor.set_delay(|_| Duration::from_millis(5));
    }
    for (index, plan) in (0_u16..).zip(daemons) {
        let port =
            |offset: u16| SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index * 10 + offset));
        let mut settings = platform.settings(&plan);
        settings.listen = Listen {
            callers: port(0),
            operators: port(1),
            peers: port(2),
        };
        let path = directory.join(format!("{}.settings.jsonc", plan.id));
        std::fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        println!("{}: callers {}, operators {}", plan.id, port(0), port(1));
    }
    println!(
        "{} stand-ins listen; interrupt to end",
        platform.server_count()
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
