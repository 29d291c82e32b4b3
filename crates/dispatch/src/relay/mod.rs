//! Relays: hosts that call executors on behalf of the owner.
//!
//! The calls to hundreds of executors exceed the processor and the link of one host, while the other
//! hosts are idle. The owner therefore decides and sends its calls in batches to relays, which carry
//! them out and return the answers in batches. A relay keeps no state about runs. To the owner it is
//! a part of the network: a call that a relay delays or loses is handled like one that the network
//! delayed or lost. See "Relays" in `docs/JOBS.md`.
//!
//! [`pool`] is the owner's side: [`assignment`] decides which hosts relay the calls to which
//! executors, and [`link`] is the connection to one of them. [`server`] is the relay's side.
//! [`message`] holds what is sent, [`transport`] and
//! [`tcp`] how.

pub mod assignment;
pub mod link;
pub mod message;
mod payloads;
pub mod pool;
pub mod server;
pub mod tcp;
pub(crate) mod transport;

use std::time::Duration;

/// A relay does not start a run if the call may have been sent longer ago than this. It is the time for
/// which the owner awaits the answer to a command, so that a call of a paused relay is not carried out
/// beside its repetition.
pub const MAX_CALL_AGE: Duration = Duration::from_millis(700);
/// How long after the owner has ended a relay may still send a call to an executor: the age of the
/// call, and the time to open a connection to the executor.
pub const MAX_CALL_DELAY: Duration = Duration::from_millis(1_500);
