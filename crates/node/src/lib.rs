//! The supervisor tree that wires the other crates into one daemon.
//!
//! [`daemon`] starts a daemon and shuts it down, `parts` builds the tree of its parts, [`context`]
//! holds the state that the parts share, and [`supervisor`] restarts parts that fail. The parts are:
//! [`heartbeat`] and [`gossip`] for membership, [`hosts`] and [`document`] for the host list and the
//! configuration, [`shards`] for tasks, [`routing`] for requests, [`peers`] and [`operators`] for
//! the servers of the other daemons and of operators, with the [`console`] of HTML forms.
//! [`metrics`] and [`observe`] export metrics. [`janitor`] deletes expired rows.

pub mod console;
pub mod context;
pub mod daemon;
pub mod document;
pub mod gossip;
pub mod heartbeat;
pub mod hosts;
pub mod janitor;
pub mod join;
mod listeners;
pub mod metrics;
pub mod observe;
pub mod operators;
mod parts;
pub mod peers;
pub mod routing;
pub mod shards;
pub mod supervisor;
