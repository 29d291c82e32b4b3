//! The supervisor tree that wires the other crates into one daemon.
//!
//! [`supervisor`] keeps the parts running, [`logs`] and [`metrics`] tell what they do.

pub mod logs;
pub mod metrics;
pub mod supervisor;
