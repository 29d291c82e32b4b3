//! Tests of membership and of the messages between daemons.

mod gossip;
mod links;
mod members;
mod support;
