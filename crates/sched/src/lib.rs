//! Which task runs where, and what is throttled, checkpointed or evicted.
//!
//! [`Sched`] holds the workers of the shards that one daemon owns and the tasks queued or running
//! there. It is fed events and asked for decisions; it performs no I/O, reads no clock and takes its
//! seed from outside, so that the daemon, the tests and the measurements run the same code. Start
//! with [`facts`] for what it is told, [`decision`] for what it answers, [`held`] for why a task waits and `docs/POLICY.md` for the
//! reasons behind the policy.

pub mod config;
pub mod decision;
pub mod dump;
pub mod input;
pub mod wait_reason;

mod blocked;
mod class;
mod cluster;
mod control;
mod health;
mod interference;
mod key;
mod placement;
mod policy;
mod preemption;
mod quarantine;
mod queue;
mod reports;
mod round;
mod sched;
mod sizes;
mod summary;
mod task;
mod team;
mod worker;
mod worker_load;

pub use config::Config;
pub use decision::Budget;
pub use decision::Decision;
pub use sched::Sched;
pub use wait_reason::WaitReason;
