//! The acceptance of documents.

mod check;
mod daemons;
mod execute;
mod state_machines;
mod world;
