//! Tests of the client against a mock daemon, through [`fireflynotch::run`].

mod commands;
mod explain;
mod faults;
mod mock_daemon;
