//! Tests of the HTTP server loop.

mod budget;
mod clients;
mod server;
