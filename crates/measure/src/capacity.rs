//! Control overhead per daemon: network traffic and CPU time, their growth per worker, task and
//! daemon, and a prediction for the target size from the users' first letter.
//!
//! The threads of each daemon carry its name, so that the kernel accounts their CPU time separately
//! from that of the fake platform. Traffic is counted on the loopback interface, headers included.
//! All of it is control traffic, because no requests are sent. `docs/CAPACITY.md` explains the
//! model and how memory is measured, which requires daemons in separate processes.

use std::time::Duration;

use conf::api::Submission;
use model::Priority;
use model::Size;
use model::id::TaskId;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::figure::Figure;
use crate::system::System;
use crate::system::block_on;
use crate::system::client;
use crate::system::plan;
use crate::system::plan::SystemSize;
use crate::system::wait_until;

/// Maximum CPU time that control may use at a daemon, in percent of a core; a users' requirement.
const CONTROL_CORE_PERCENT: f64 = 3.0;
/// Maximum control traffic of a daemon, in KB/s; a users' requirement.
const CONTROL_KB_PER_S: f64 = 14.0;
/// The target size, with three entry hosts in each of the 8 data centres.
const TARGET: Shape = Shape {
    workers: 660.0,
    tasks: 8600.0,
    daemons: 24.0,
};
/// The target size on the present number of entry hosts.
const TARGET_ON_NINE_HOSTS: Shape = Shape {
    workers: 660.0,
    tasks: 8600.0,
    daemons: 9.0,
};
/// Time for a system to reach a steady state before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Duration of one measurement.
const WINDOW: Duration = Duration::from_secs(15);
/// Maximum time for a task to be accepted, and for all tasks to start.
const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Kernel clock ticks per second, the unit of CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// The size of a system.
#[derive(Clone, Copy, Debug)]
struct Shape {
    workers: f64,
    tasks: f64,
    daemons: f64,
}

/// Control overhead of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    kb_per_s: f64,
    core_percent: f64,
}

/// Runs the measurement.
///
/// # Panics
///
/// Panics if a system cannot be started or does not start its tasks.
#[must_use]
pub fn run() -> Vec<Figure> {
    block_on(measure_all())
}

async fn measure_all() -> Vec<Figure> {
    println!("seed {}", plan::SEED);
    let shapes = [
        (3, 12, 48),
        (3, 24, 48),
        (3, 48, 48),
        (3, 24, 192),
        (3, 24, 384),
        (6, 24, 48),
        (9, 24, 48),
    ];
    let mut points = Vec::new();
    for (daemons, workers, tasks) in shapes {
        let cost = measure(daemons, workers, tasks).await;
        let shape = Shape {
            workers: as_f64(workers),
            tasks: as_f64(tasks),
            daemons: as_f64(daemons),
        };
        println!("# {shape:?} {cost:?}");
        points.push((shape, cost));
    }
    let mut figures = Vec::new();
    let fit_component = |cost_of: fn(&Cost) -> f64| {
        let samples: Vec<([f64; 4], f64)> = points
            .iter()
            .map(|(shape, cost)| (features(shape), cost_of(cost)))
            .collect();
        fit(&samples)
    };
    let bytes = fit_component(|cost| cost.kb_per_s);
    let core = fit_component(|cost| cost.core_percent);
    figures.extend(slopes("bytes", bytes, "KB/s"));
    figures.extend(slopes("processor", core, "%"));
    for (name, shape) in [
        ("target", TARGET),
        ("target-on-9-hosts", TARGET_ON_NINE_HOSTS),
    ] {
        let predicted = |slopes| predict(slopes, &shape);
        figures.push(Figure::at_most(
            format!("{name}-bytes"),
            predicted(bytes),
            "KB/s",
            CONTROL_KB_PER_S,
        ));
        figures.push(Figure::at_most(
            format!("{name}-processor"),
            predicted(core),
            "%",
            CONTROL_CORE_PERCENT,
        ));
    }
    figures
}

/// Returns the regressors of the cost model: a constant, workers per daemon, tasks per daemon, and
/// the number of daemons.
fn features(shape: &Shape) -> [f64; 4] {
    [
        1.0,
        shape.workers / shape.daemons,
        shape.tasks / shape.daemons,
        shape.daemons,
    ]
}

fn predict(slopes: [f64; 4], shape: &Shape) -> f64 {
    features(shape)
        .iter()
        .zip(slopes)
        .map(|(feature, slope)| feature * slope)
        .sum()
}

fn slopes(name: &str, slopes: [f64; 4], unit: &'static str) -> Vec<Figure> {
    ["constant", "per-own-worker", "per-own-task", "per-daemon"]
        .into_iter()
        .zip(slopes)
        .map(|(of, value)| Figure::reported(format!("{name}-{of}"), value, unit))
        .collect()
}

/// Fits a linear model by least squares, solving the normal equations by Gaussian elimination.
fn fit(samples: &[([f64; 4], f64)]) -> [f64; 4] {
    let mut matrix = [[0.0; 5]; 4];
    for (features, value) in samples {
        for (row, left) in matrix.iter_mut().zip(features) {
            for (cell, right) in row.iter_mut().zip(features) {
                *cell += left * right;
            }
            row[4] += left * value;
        }
    }
    for pivot in 0..4 {
        let best =
            (pivot..4).max_by(|a, b| matrix[*a][pivot].abs().total_cmp(&matrix[*b][pivot].abs()));
        matrix.swap(pivot, best.unwrap_or(pivot));
        let row = matrix[pivot];
        for (index, other) in matrix
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| *index != pivot)
        {
            let factor = other[pivot] / row[pivot];
            for (cell, from) in other.iter_mut().zip(row) {
                *cell -= factor * from;
            }
            debug_assert!(index < 4);
        }
    }
    std::array::from_fn(|index| matrix[index][4] / matrix[index][index])
}

async fn measure(daemons: usize, workers: usize, tasks: usize) -> Cost {
    let size = SystemSize {
        daemons,
        workers,
        executors: 6,
    };
    let system = plan::start(&size).await;
    raise_quota(&system).await;
    submit(&system, tasks).await;
    sleep(SETTLE_TIME).await;
    let (bytes, ticks, started) = (loopback_bytes(), cpu_ticks(&system), Instant::now());
    sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let nodes = as_f64(daemons);
    Cost {
        kb_per_s: (loopback_bytes() - bytes) / 1000.0 / seconds / nodes,
        core_percent: (cpu_ticks(&system) - ticks) / TICKS_PER_S / seconds / nodes * 100.0,
    }
}

/// Raises the team's quota so that it does not limit the number of running tasks.
async fn raise_quota(system: &System) {
    let text = plan::document("noord")
        .replace("\"cpu_millis\": 1000", "\"cpu_millis\": 600000")
        .replace("\"memory_mib\": 1000", "\"memory_mib\": 600000");
    let reply = client::apply(system.daemons[0].operators, "quota", &text).await;
    assert!(
        matches!(reply, Ok(conf::api::ApplyReply::Accepted { .. })),
        "{reply:?}"
    );
}

async fn submit(system: &System, tasks: usize) {
    for number in 0..tasks {
        let submission = Submission {
            task: TaskId::from(format!("check-{number}")),
            team: "fleet".into(),
            class: "fleet-check".into(),
            priority: Priority::Normal,
            size: Size::new(500, 500, 0),
            run_ms: None,
            max_failures: None,
        };
        let address = system.daemons[number % system.daemons.len()].operators;
        let accepted = async || client::submit(address, &submission).await.is_ok();
        assert!(
            wait_until(START_TIMEOUT, accepted).await,
            "task {number} was not accepted"
        );
    }
    let ledger = &system.platform.ledger;
    let all_started = wait_until(START_TIMEOUT, async || ledger.counts().started >= tasks).await;
    assert!(
        all_started,
        "{} of {tasks} tasks started",
        ledger.counts().started
    );
}

/// Returns the bytes that the loopback interface has received so far.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let counters = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = counters.and_then(|line| line.split_whitespace().next());
    received
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(f64::NAN)
}

/// Returns the CPU time of all threads named after a daemon, in clock ticks.
fn cpu_ticks(system: &System) -> f64 {
    let threads = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let ticks = threads.filter_map(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).ok()?;
        let (head, rest) = stat.rsplit_once(')')?;
        let name = head.split_once('(')?.1;
        system.daemons.iter().find(|daemon| daemon.id == name)?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let kernel: f64 = fields.get(12)?.parse().ok()?;
        Some(user + kernel)
    });
    ticks.sum()
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn as_f64(value: usize) -> f64 {
    value as f64
}
