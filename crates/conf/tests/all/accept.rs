//! The acceptance of documents.

mod carry;
mod check;
mod daemons;
mod machines;
mod world;
