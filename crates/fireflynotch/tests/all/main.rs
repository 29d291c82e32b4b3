//! Tests of the client against a tiny server, through the function that its process calls.

mod commands;
mod explain;
mod faults;
mod mock_daemon;
