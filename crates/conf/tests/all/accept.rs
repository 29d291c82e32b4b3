//! The acceptance of documents.

mod check;
mod machines;
mod world;
