//! The whole system under failure, end to end: real daemons, stand-ins over the real wire.
//!
//! These tests run on the real clock, since sockets do; they wait for what must come about with a
//! patience far above it and assert on no time.

mod document;
mod fixture;
mod requests;
mod tasks;
