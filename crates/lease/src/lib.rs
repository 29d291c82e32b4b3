//! Ownership of shards, epochs and the life of a task.
//!
//! [`record`] has the rows of the table. [`liveness`] finds out which daemons are alive, [`claim`] which
//! shards this daemon takes or gives back, [`owner`] is the state machine of one owned shard, and
//! [`agent`] the contract that a worker keeps, as the machine that the model check runs it against.
//! [`timing`] has the timeouts, [`spec`] the specification for the model check. `docs/TASKS.md` explains the states, messages and timeouts.

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
