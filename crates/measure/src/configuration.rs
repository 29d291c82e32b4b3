//! Time until a new document is in force on every daemon, and the effect of handovers on requests.
//!
//! The targets are users' requirements: a document is in force everywhere within 4 s; a handover
//! causes no refused request and raises the p99 to at most 1.5 times that of a run without one.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use conf::api::ApplyReply;
use fake::faults::Fault;
use model::id::DocVersion;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::figure::Figure;
use crate::system::System;
use crate::system::block_on;
use crate::system::callers::Callers;
use crate::system::callers::Counts;
use crate::system::callers::Load;
use crate::system::client;
use crate::system::plan;
use crate::system::plan::SystemSize;
use crate::system::wait_until;

/// Maximum time until a change is in force everywhere, in seconds; a users' requirement.
const IN_FORCE_S: f64 = 4.0;
/// Maximum ratio of the p99 with handovers to the p99 without.
const P99_RATIO: f64 = 1.5;
/// Repetitions of each case; the slowest is reported.
const REPEATS: usize = 3;
/// Time after which a change is considered failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Response delay of the slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(150);
/// Time for new daemons to divide the slots among themselves before requests are sent.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Duration of the request load, in the run with handovers and in the run without.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Runs the measurement.
///
/// # Panics
///
/// Panics if the system cannot be started or a document is never accepted.
#[must_use]
pub fn run() -> Vec<Figure> {
    block_on(measure_all())
}

async fn measure_all() -> Vec<Figure> {
    println!("seed {}", plan::SEED);
    let mut figures = Vec::new();
    for daemons in [3, 6, 9] {
        let mut system = plan::start(&SystemSize {
            daemons,
            ..SystemSize::default()
        })
        .await;
        let seconds = slowest_change(&system, "usual").await;
        figures.push(in_force_figure(
            format!("in-force-{daemons}-daemons"),
            seconds,
        ));
        system
            .platform
            .table
            .faults()
            .set(Fault::Slow(SLOW_STORE_DELAY));
        let seconds = slowest_change(&system, "slow").await;
        figures.push(in_force_figure(
            format!("in-force-{daemons}-daemons-slow-store"),
            seconds,
        ));
        system.platform.table.faults().clear();
        let dead = system
            .daemons
            .pop()
            .expect("at least one daemon is running");
        dead.kill();
        let seconds = measure_change(&system, "after-death").await;
        figures.push(Figure::reported(
            format!("in-force-{daemons}-daemons-first-change-after-one-died"),
            seconds,
            "s",
        ));
        let seconds = slowest_change(&system, "one-dead").await;
        figures.push(in_force_figure(
            format!("in-force-{daemons}-daemons-one-dead"),
            seconds,
        ));
    }
    figures.extend(handover().await);
    figures
}

fn in_force_figure(name: String, seconds: f64) -> Figure {
    Figure::at_most(name, seconds, "s", IN_FORCE_S)
}

async fn slowest_change(system: &System, case: &str) -> f64 {
    let mut slowest: f64 = 0.0;
    for repeat in 0..REPEATS {
        let op = format!("{case}-{repeat}");
        slowest = slowest.max(measure_change(system, &op).await);
    }
    slowest
}

/// Applies one document and returns the time in seconds until it is in force on every daemon.
async fn measure_change(system: &System, op: &str) -> f64 {
    let before = version_in_force(system, 0).await;
    let started = Instant::now();
    let text =
        plan::document("noord").replace("\"weight\": 1", &format!("\"weight\": {}", before.0 + 2));
    let accepted = wait_until(CHANGE_TIMEOUT, async || {
        let reply = client::apply(system.daemons[0].operators, op, &text).await;
        matches!(reply, Ok(ApplyReply::Accepted { .. }))
    });
    assert!(accepted.await, "{op} was not accepted");
    for index in 0..system.daemons.len() {
        let newer = async || version_in_force(system, index).await > before;
        assert!(
            wait_until(CHANGE_TIMEOUT, newer).await,
            "{op} is not in force everywhere"
        );
    }
    started.elapsed().as_secs_f64()
}

async fn version_in_force(system: &System, index: usize) -> DocVersion {
    system.daemons[index].cx.follower().version()
}

/// Compares the requests of an upstream during handovers with those of a run without handovers.
async fn handover() -> Vec<Figure> {
    let system = plan::start(&SystemSize {
        daemons: 6,
        ..SystemSize::default()
    })
    .await;
    sleep(SETTLE_TIME).await;
    let without_handovers = run_load(&system, 1, 0).await;
    let with_handovers = run_load(&system, 2, 3).await;
    let without_handovers_p99 = p99_ms(&without_handovers);
    let with_handovers_p99 = p99_ms(&with_handovers);
    vec![
        Figure::at_most("handover-refused", as_f64(with_handovers.not_run), "1", 0.0)
            .baseline(as_f64(without_handovers.not_run)),
        Figure::at_most("handover-unknown", as_f64(with_handovers.unknown), "1", 0.0)
            .baseline(as_f64(without_handovers.unknown)),
        Figure::reported("handover-answered", as_f64(with_handovers.answered), "1")
            .baseline(as_f64(without_handovers.answered)),
        Figure::at_most(
            "handover-p99",
            with_handovers_p99,
            "ms",
            without_handovers_p99 * P99_RATIO,
        )
        .baseline(without_handovers_p99),
        Figure::reported("handover-p99.9", quantile_ms(&with_handovers, 0.999), "ms")
            .baseline(quantile_ms(&without_handovers, 0.999)),
    ]
}

async fn run_load(system: &System, seed: u64, handovers: usize) -> Counts {
    let targets = Arc::new(Mutex::new(system.caller_addresses()));
    let load = Load {
        callers: 24,
        pause: Duration::from_millis(20),
        path: "/parts".into(),
        non_idempotent_percent: 0,
        seed: plan::SEED + seed,
    };
    let callers = Callers::start(&load, &targets);
    let phases = u32::try_from(handovers + 1).unwrap_or(u32::MAX);
    sleep(LOAD_TIME / phases).await;
    for number in 0..handovers {
        let half = if number.is_multiple_of(2) {
            "zuid"
        } else {
            "noord"
        };
        let op = format!("handover-{number}");
        let text = plan::document(half);
        let reply = client::apply(system.daemons[0].operators, &op, &text).await;
        assert!(
            matches!(reply, Ok(ApplyReply::Accepted { .. })),
            "{reply:?}"
        );
        sleep(LOAD_TIME / phases).await;
    }
    let counts = callers.finish().await;
    for (reason, count) in &counts.reasons {
        println!("# {count} x {reason}");
    }
    counts
}

fn p99_ms(counts: &Counts) -> f64 {
    quantile_ms(counts, 0.99)
}

fn quantile_ms(counts: &Counts, quantile: f64) -> f64 {
    as_f64(counts.latency_us.value_at_quantile(quantile)) / 1000.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and latencies are far below 2^52"
)]
const fn as_f64(value: u64) -> f64 {
    value as f64
}
