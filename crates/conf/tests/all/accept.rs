//! Tests of the acceptance protocol: a model check and single cases of its state machines.

mod check;
mod daemons;
mod execute;
mod state_machines;
mod world;
