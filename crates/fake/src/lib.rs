//! Small stand-ins for what the platform gives: table, object store, list of hosts, workers, and
//! executors of an upstream.
//!
//! Each has an in-memory core, `direct()` that gives the interface of `plat` without a socket, for
//! tests under the paused clock, and `serve()` that answers over the real wire. The faults of each
//! are switched at its [`faults::Faults`]. Workers and executors keep ledgers, by which a test sees
//! what no daemon can: that a task ran in two places, or a request twice. The contracts that they
//! keep to are in `docs/PLATFORM.md`.

pub mod executor;
pub mod faults;
pub mod hosts;
pub mod object;
pub mod server;
pub mod table;
pub mod worker;
