//! The model checker's specification: two daemons, two workers, two tasks and a table. Its steps
//! call this crate's own transition functions.
//!
//! [`explore()`] searches all states that are reachable within a [`Budget`] of disturbances,
//! breadth first, for one that violates an invariant: a task that runs twice, an overcommitted
//! worker, an eviction that is not resumed exactly once, a lost task. It also checks that a final
//! state, in which every task has ended and nothing runs, is reachable from every state.
//! `docs/TASKS.md` lists the assumptions and results.

mod budget;
mod enabled;
mod explore;
mod rules;
mod state;
mod step;
mod store;
mod worker;

pub use budget::BrokenRule;
pub use budget::Budget;
pub use explore::Report;
pub use explore::explore;
pub use step::Fault;
pub use step::Step;
pub use store::Store;
