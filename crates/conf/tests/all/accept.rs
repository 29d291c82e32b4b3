//! Tests of the acceptance protocol: a model check and single cases of its state machines.

mod check;
mod daemons;
mod execute;
mod fixture;
mod followers;
mod quorum;
mod replies;
mod steps;
mod world;
