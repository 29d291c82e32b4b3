//! Tests of the HTTP server loop.

mod server;
