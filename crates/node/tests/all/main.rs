//! Tests of the daemon's wiring.

mod console;
mod logs;
mod metrics;
mod observe;
mod supervisor;
mod world;
