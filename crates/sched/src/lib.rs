//! Decides which task runs where, and which tasks are throttled, checkpointed or evicted.
//!
//! [`Sched`] manages the workers of the shards that one daemon owns and the tasks that wait or run
//! there. The caller reports events and asks for decisions. The scheduler performs no I/O, reads no
//! clock and takes its random seed as an argument, so that the daemon, the tests and the
//! measurements run the same code.
//!
//! See [`input`] for what it is given, [`decision`] for what it returns, [`wait_reason`] for why a
//! task waits, and `docs/POLICY.md` for the reasons behind the policy.

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
