//! Membership of the daemons and the RPC between them.
//!
//! [`members`] determines from heartbeat counters which daemons are alive. [`gossip`] selects the
//! peers to contact and merges the received state, which consists of [`heartbeat`]s and a
//! [`summary`] of each daemon's load. [`rpc`] defines the calls over `jsonrpsee`, and
//! [`connections`] manages the connections. Nothing in this crate makes a durable decision, see
//! `docs/MEMBERSHIP.md`.

pub mod connections;
pub mod gossip;
pub mod heartbeat;
pub mod members;
pub mod rpc;
pub mod summary;
