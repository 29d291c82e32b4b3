//! Placeholder until each measurement has its module.

pub mod figure;
