//! What control costs a node: bytes and processor time, with their slopes by workers, tasks and
//! daemons, and what follows for the target size of letter 1.
//!
//! Daemons run on threads of their own name, so that the kernel counts their processor time apart
//! from that of the stand-ins. Bytes are those of the loopback interface, headers included; all of
//! them belong to control, since no requests are sent. `docs/CAPACITY.md` explains the model
//! and how memory is measured, which needs daemons as processes of their own.

use std::time::Duration;

use conf::api::Submission;
use model::Priority;
use model::Size;
use model::id::TaskId;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::figure::Figure;
use crate::system::System;
use crate::system::client;
use crate::system::plan;
use crate::system::plan::Sizes;
use crate::system::wait_until;

/// The users' bound on control for a node, in percent of a core.
const CORE_PERCENT: f64 = 3.0;
/// The users' bound on control for a node, in KB a second.
const KB_PER_S: f64 = 14.0;
/// The target size: workers, tasks, and entry hosts if each of the 8 data centres has three.
const TARGET: Shape = Shape {
    workers: 660.0,
    tasks: 8600.0,
    daemons: 24.0,
};
/// The target size on as many entry hosts as today.
const TARGET_ON_NINE: Shape = Shape {
    workers: 660.0,
    tasks: 8600.0,
    daemons: 9.0,
};
/// How long a system settles before it is measured.
const SETTLE: Duration = Duration::from_secs(8);
/// How long it is measured.
const WINDOW: Duration = Duration::from_secs(15);
/// How long tasks may take to be started.
const PATIENCE: Duration = Duration::from_secs(120);
/// The ticks of the kernel's processor time in a second.
const TICKS_PER_S: f64 = 100.0;

/// How large a system is.
#[derive(Clone, Copy, Debug)]
struct Shape {
    workers: f64,
    tasks: f64,
    daemons: f64,
}

/// What control costs one node.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    kb_per_s: f64,
    core_percent: f64,
}

/// Runs the measurement.
///
/// # Panics
///
/// Panics if a system cannot be started.
#[must_use]
pub fn run() -> Vec<Figure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("threads can be started").block_on(all())
}

async fn all() -> Vec<Figure> {
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
    let of = |take: fn(&Cost) -> f64| {
        let rows: Vec<([f64; 4], f64)> = points
            .iter()
            .map(|(shape, cost)| (features(shape), take(cost)))
            .collect();
        fit(&rows)
    };
    let bytes = of(|cost| cost.kb_per_s);
    let core = of(|cost| cost.core_percent);
    figures.extend(slopes("bytes", bytes, "KB/s"));
    figures.extend(slopes("processor", core, "%"));
    for (name, shape) in [("target", TARGET), ("target-on-9-hosts", TARGET_ON_NINE)] {
        let at = |slopes| predict(slopes, &shape);
        figures.push(Figure::at_most(
            format!("{name}-bytes"),
            at(bytes),
            "KB/s",
            KB_PER_S,
        ));
        figures.push(Figure::at_most(
            format!("{name}-processor"),
            at(core),
            "%",
            CORE_PERCENT,
        ));
    }
    figures
}

/// What a node's cost depends on: a constant, its part of the workers and of the tasks, and the
/// number of daemons.
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

/// Fits a linear model by least squares, through the normal equations.
fn fit(rows: &[([f64; 4], f64)]) -> [f64; 4] {
    let mut matrix = [[0.0; 5]; 4];
    for (features, value) in rows {
        for (line, left) in matrix.iter_mut().zip(features) {
            for (cell, right) in line.iter_mut().zip(features) {
                *cell += left * right;
            }
            line[4] += left * value;
        }
    }
    for pivot in 0..4 {
        let best =
            (pivot..4).max_by(|a, b| matrix[*a][pivot].abs().total_cmp(&matrix[*b][pivot].abs()));
        matrix.swap(pivot, best.unwrap_or(pivot));
        let line = matrix[pivot];
        for (index, other) in matrix
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| *index != pivot)
        {
            let factor = other[pivot] / line[pivot];
            for (cell, from) in other.iter_mut().zip(line) {
                *cell -= factor * from;
            }
            debug_assert!(index < 4);
        }
    }
    std::array::from_fn(|at| matrix[at][4] / matrix[at][at])
}

async fn measure(daemons: usize, workers: usize, tasks: usize) -> Cost {
    let sizes = Sizes {
        daemons,
        workers,
        executors: 6,
    };
    let system = plan::start(&sizes).await;
    raise_quota(&system).await;
    submit(&system, tasks).await;
    sleep(SETTLE).await;
    let (bytes, ticks, begun) = (loopback_bytes(), cpu_ticks(&system), Instant::now());
    sleep(WINDOW).await;
    let seconds = begun.elapsed().as_secs_f64();
    let nodes = as_f64(daemons);
    Cost {
        kb_per_s: (loopback_bytes() - bytes) / 1000.0 / seconds / nodes,
        core_percent: (cpu_ticks(&system) - ticks) / TICKS_PER_S / seconds / nodes * 100.0,
    }
}

/// Gives the team as much as the workers have.
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
        let to = system.daemons[number % system.daemons.len()].operators;
        let accepted = async || client::submit(to, &submission).await.is_ok();
        assert!(
            wait_until(PATIENCE, accepted).await,
            "task {number} was not accepted"
        );
    }
    let ledger = &system.platform.ledger;
    let begun = wait_until(PATIENCE, async || ledger.counts().started >= tasks).await;
    assert!(begun, "{} of {tasks} tasks began", ledger.counts().started);
}

/// The bytes that the loopback interface has received.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next());
    first
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(f64::NAN)
}

/// The processor time of all threads that carry a daemon's name, in ticks.
fn cpu_ticks(system: &System) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let ticks = tasks.filter_map(|task| {
        let stat = std::fs::read_to_string(task.path().join("stat")).ok()?;
        let (head, rest) = stat.rsplit_once(')')?;
        let name = head.split_once('(')?.1;
        system.daemons.iter().find(|daemon| daemon.id == name)?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse().ok()?;
        let kernel: f64 = fields.get(12)?.parse().ok()?;
        Some(ticks + kernel)
    });
    ticks.sum()
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn as_f64(value: usize) -> f64 {
    value as f64
}
