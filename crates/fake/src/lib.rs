//! In-memory fakes of the platform services: table, object store, host list, workers, and the
//! executors of an upstream.
//!
//! Each fake keeps its state in memory. `direct()` returns the interface of `plat` without a
//! socket, for tests with a paused clock, and `serve()` starts an HTTP server. [`faults::Faults`]
//! injects faults into a fake. Workers and executors record their runs in ledgers, with which a
//! test detects what no daemon can observe: a task that ran in two places at once, or a request
//! that ran twice. The fakes implement the contracts in `docs/PLATFORM.md`.

pub mod executor;
pub mod faults;
pub mod hosts;
pub mod object;
pub mod server;
pub mod table;
pub mod worker;
