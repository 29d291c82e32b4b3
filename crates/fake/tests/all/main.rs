//! Tests of the fakes against the contracts in `docs/PLATFORM.md`.

mod executor;
mod harness;
mod lease;
mod tasks;
