//! The measurements: one line a figure with its target, over the product's own functions.
//!
//! [`placement`] measures the scheduler's cost and packing, [`policy`] how well it keeps services to
//! their targets beside batch.

pub mod figure;
pub mod placement;
pub mod policy;
