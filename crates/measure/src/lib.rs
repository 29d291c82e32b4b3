//! The measurements: one line a figure with its target, over the product's own functions.
//!
//! `cargo run --release --example measure -- NAME` runs one of them; see [`figure::Figure`] for what
//! a line says.

pub mod figure;
pub mod routing;
