//! Shard ownership, epochs and the task lifecycle, as state machines without I/O.
//!
//! - [`record`] defines the rows stored in the table and their keys.
//! - [`liveness`] detects failed daemons from their heartbeat rows.
//! - [`claim`] decides which shards this daemon claims or releases.
//! - [`owner`] is the state machine of one owned shard.
//! - [`agent`] is a reference implementation of the contract that worker agents fulfil.
//! - [`timing`] defines the timeouts.
//! - [`spec`] is the model checker's specification, which runs [`owner`] against [`agent`].
//!
//! `docs/TASKS.md` explains the states, messages and timeouts.

pub mod agent;
pub mod claim;
pub mod liveness;
pub mod owner;
pub mod record;
pub mod spec;
pub mod timing;

pub use owner::Action;
pub use owner::Event;
pub use owner::Notification;
pub use owner::ShardOwner;
pub use timing::Timing;
