//! Tests of the daemon's wiring.

mod logs;
mod metrics;
mod supervisor;
