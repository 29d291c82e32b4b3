//! What a placement costs, what the scheduler holds in memory, and how well it packs.
//!
//! The fleet is that of the target size in `docs/CAPACITY.md`, or a tenth of it.

mod cost;
mod fleet;
mod packing;
mod waiting;

use crate::figure::Figure;

/// The seed of every measurement here.
pub const SEED: u64 = 20_261_203;

/// Measures everything; the resident state first, while the process is small.
#[must_use]
pub fn run() -> Vec<Figure> {
    println!("# seed {SEED}");
    let mut figures = cost::run();
    figures.extend(packing::run());
    figures.extend(waiting::run());
    figures
}
