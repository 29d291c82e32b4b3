//! Basic types shared by all crates: identifiers, resource sizes, time and hash collections.
//!
//! Start with [`id`] for the identifiers used in the table and on the wire, [`size`] for the
//! resources that a worker has and a task needs, and [`time`] for the monotonic time passed to
//! scheduling decisions. `docs/GLOSSARY.md` defines the terms used here.

pub mod hash;
pub mod id;
pub mod outcome;
pub mod place;
pub mod priority;
pub mod size;
pub mod time;

pub use hash::Map;
pub use hash::Set;
pub use priority::Priority;
pub use size::Size;
pub use time::Clock;
pub use time::Mono;
