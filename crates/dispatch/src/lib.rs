//! Runs jobs on executors: the part of the daemon that connects callers, the store and executors.
//!
//! Every host runs a [`node::Node`]. [`api`] serves callers; a job is stored before its acceptance
//! is reported. [`admission`] refuses jobs that cannot be done in time, and [`tombstones`] keep a
//! cancelled submission from running when its write takes effect late. One host at a time owns the
//! executors: [`election`] decides which one, and [`owner`] starts and stops tasks as the scheduler of
//! the crate `job` decides. External services are injected as closures ([`dependencies`]); [`relay`]
//! lets other hosts call executors for the owner; [`metrics`] and [`dump`] expose the state of the
//! process. `docs/JOBS.md` explains the design and how a takeover works.

pub mod admission;
pub mod api;
pub mod dependencies;
pub mod document;
pub mod dump;
pub mod election;
pub mod events;
pub mod handover;
pub mod hosts;
mod lease_events;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peers;
pub mod relay;
pub mod rows;
pub mod store_call;
mod supervise;
pub mod tombstones;
