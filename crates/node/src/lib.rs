//! The supervisor tree that wires the other crates into one daemon.
//!
//! [`daemon`] starts a daemon and its parts, [`cx`] has what they share, [`supervisor`] keeps them
//! running. The parts: [`heartbeat`] and [`gossip`] for who is there, [`hosts`] and [`document`] for
//! what holds, [`shards`] for tasks, [`routing`] for requests, [`peers`] and [`operators`] for who
//! asks, with the [`console`] of forms. [`metrics`] and [`observe`] tell what they do.
//! [`janitor`] removes old rows.

pub mod console;
pub mod context;
pub mod daemon;
pub mod document;
pub mod gossip;
pub mod heartbeat;
pub mod hosts;
pub mod janitor;
pub mod join;
pub mod metrics;
pub mod observe;
pub mod operators;
pub mod peers;
pub mod routing;
pub mod shards;
pub mod supervisor;
