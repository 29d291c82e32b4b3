//! Cost of a placement, memory use of the scheduler, packing quality and waiting times.
//!
//! The fleet has the target size from `docs/CAPACITY.md`, or a tenth of it.

mod cost;
mod fleet;
mod packing;
mod waiting;

use crate::figure::Figure;

/// Seed of all measurements in this module.
pub const SEED: u64 = 20_261_203;

/// Runs all placement measurements.
///
/// Resident memory is measured first, before other measurements grow the process.
#[must_use]
pub fn run() -> Vec<Figure> {
    println!("# seed {SEED}");
    let mut figures = cost::run();
    figures.extend(packing::run());
    figures.extend(waiting::run());
    figures
}
