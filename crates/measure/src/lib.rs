//! The measurements, and the whole system in one process that some of them run on.
//!
//! Each measurement returns [`figure::Figure`]s: a value, its target and its baseline. The example
//! `measure` prints them, the example `quickstart` shows the whole system at work.

pub mod figure;
pub mod routing;
pub mod system;
