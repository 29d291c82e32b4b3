//! Tests of routing: the decisions by themselves, and the data path over loopback sockets.

mod admit;
mod at_most_once;
mod callers;
mod executors;
mod handover;
mod slots;
mod support;
mod world;
