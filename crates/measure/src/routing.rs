//! Routing: what a decision costs, what the data path adds, and the tail under faults.
//!
//! `docs/ROUTING.md` states the targets and discusses the figures.

mod cost;
mod loopback;
mod policy;
mod scenario;
mod simulation;
mod tail_latency;

use crate::figure::Figure;

/// The seed of every random choice, so that a run is the same each time.
pub const SEED: u64 = 20_261_203;

/// Measures and returns all figures of routing.
#[must_use]
pub fn run() -> Vec<Figure> {
    let mut figures = cost::figures();
    figures.extend(tail_latency::figures());
    figures.extend(loopback::figures());
    figures
}
