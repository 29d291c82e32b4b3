//! Tests of complete hosts on a paused clock, with a store and executors that simulate faults.

mod advice;
mod callers;
mod chaos;
mod cleanup;
mod command_logs;
mod commands;
mod document;
mod document_relay;
mod executor;
mod executor_calls;
mod log_capture;
mod owners;
mod pacing;
mod shares;
mod state;
mod store;
mod world;
