//! Tests that the stand-ins keep to the contracts in `docs/PLATFORM.md`.

mod executor;
mod harness;
mod lease;
mod tasks;
