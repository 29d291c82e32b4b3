//! End-to-end tests of the complete system under failure: real daemons and a fake platform,
//! connected by real sockets.
//!
//! Sockets need the real clock, so these tests run on it. They wait for each expected state with a
//! timeout far above the time it takes, and assert no durations.

mod document;
mod fixture;
mod requests;
mod tasks;
