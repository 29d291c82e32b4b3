//! Tests of the client against a tiny server, through the function that its process calls.

mod commands;
mod daemon;
mod explain;
mod faults;
