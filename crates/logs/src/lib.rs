//! Log lines as JSON objects, and a writer that never holds up the work it tells of.
//!
//! [`json::JsonLogger`] makes one object a line; [`queue::QueueWriter`] hands lines to a thread of
//! its own through a queue of limited size and counts the lines that it had to drop.

pub mod budget;
pub mod json;
pub mod queue;

pub use json::JsonLogger;
pub use queue::QueueWriter;
