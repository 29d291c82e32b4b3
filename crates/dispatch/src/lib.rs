//! Runs jobs on executors: the daemon's part that lives beside callers, a store and executors.
//!
//! Every host runs a [`node::Node`]. [`entry`] answers callers; a job is stored before its caller
//! is told that it is accepted. One host at a time owns the executors: [`watch`] decides who, and
//! [`owner`] places tasks with the decisions of the crate `job`. What lies outside is given as
//! closures in [`outside`]; [`metrics`] and [`dump`] say how it stands. `docs/JOBS.md` says what was
//! weighed and how a takeover goes.

pub mod api;
pub mod dependencies;
pub mod document;
pub mod dump;
pub mod election;
pub mod events;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peers;
pub mod rows;
