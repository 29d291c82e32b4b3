//! Routing: cost of a decision, latency added by the data path, and tail latency under faults.
//!
//! `docs/ROUTING.md` states the targets and discusses the figures.

mod cost;
mod loopback;
mod policy;
mod scenario;
mod simulation;
mod tail_latency;

use crate::figure::Figure;

/// Seed of every random choice, so that runs are reproducible.
pub const SEED: u64 = 20_261_203;

/// Runs all routing measurements.
#[must_use]
pub fn run() -> Vec<Figure> {
    let mut figures = cost::figures();
    figures.extend(tail_latency::figures());
    figures.extend(loopback::figures());
    figures
}
