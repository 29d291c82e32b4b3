//! Tests of membership and of the messages between daemons.

mod connections;
mod gossip;
mod members;
mod support;
mod wire_names;
