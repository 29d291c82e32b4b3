//! Which daemons are there, and the messages between them.
//!
//! [`members`] decides from heartbeat counters which daemons are alive; [`gossip`] picks whom to tell and merges what others tell; [`summary`] is what daemons
//! tell each other beyond being alive; [`rpc`] carries it over `jsonrpsee`, and [`connections`] keeps the
//! connections. Nothing here decides anything that must last, see `docs/MEMBERSHIP.md`.

pub mod connections;
pub mod gossip;
pub mod heartbeat;
pub mod members;
pub mod rpc;
pub mod summary;
