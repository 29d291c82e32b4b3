//! Tests of the router by itself, and of the data path over loopback sockets.

mod admission;
mod at_most_once;
mod callers;
mod executors;
mod fixture;
mod handover;
mod report_names;
mod slots;
mod support;
