//! The specification that the model check explores: two daemons, two workers, two tasks and a table,
//! which call this crate's own transition functions.
//!
//! [`explore`] searches everything that can happen within a [`Budget`] of disturbances, breadth
//! first, for a state that breaks a promise: a task that runs twice, a worker that is overcommitted,
//! an eviction that is not resumed exactly once, a task that is lost. It also finds out whether a
//! good end is reachable from every state. `docs/TASKS.md` has what was assumed and what was found.

mod budget;
mod explore;
mod rules;
mod state;
mod step;
mod store;

pub use budget::BrokenRule;
pub use budget::Budget;
pub use explore::Report;
pub use explore::explore;
pub use step::Fault;
pub use step::Step;
pub use store::Store;
