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
mod lost_answers;
mod owner_load;
mod owners;
mod pacing;
mod panics;
mod pauses;
mod processor_pace;
mod relay;
mod relayed_calls;
mod restarts;
mod shares;
mod slow_processor;
mod state;
mod store;
mod world;
