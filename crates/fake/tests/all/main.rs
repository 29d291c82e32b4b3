//! Tests that the stand-ins keep to the contracts in `docs/PLATFORM.md`.

mod executor;
mod lease;
mod support;
mod tasks;
