//! The acceptance of documents.

mod carry;
mod check;
mod machines;
mod world;
