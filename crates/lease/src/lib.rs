//! Ownership of shards, epochs and the life of a task.
//!
//! [`record`] has the rows of the table. `docs/TASKS.md` explains the states, messages and timeouts.

pub mod record;
