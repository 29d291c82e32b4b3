//! Tests of whole hosts on a paused clock, with a store and executors that fail as a test wants.

mod advice;
mod callers;
mod chaos;
mod cleanup;
mod executor;
mod owners;
mod shares;
mod state;
mod store;
mod world;
