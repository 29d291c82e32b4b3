//! HTTP/1.1 between processes, made for hosts with a fraction of a processor.
//!
//! [`client::Client`] keeps idle connections by address, bounds every call in time, tells whether a
//! call that failed can have been carried out, and never sends a call twice by itself.
//! [`server::serve`] accepts connections until it is told to stop and then lets requests in progress
//! end. Why this is `hyper` and not `reqwest` and `salvo` stands in `docs/JOBS.md`.

pub mod client;
pub mod server;
