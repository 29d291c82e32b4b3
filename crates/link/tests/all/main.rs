//! Tests of the HTTP server loop and of the client.

mod budget;
mod client;
mod clients;
mod server;
