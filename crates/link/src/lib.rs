//! HTTP/1.1 between processes, for hosts on which only a fraction of a processor is available.
//!
//! [`client::Client`] pools idle connections by address and limits the duration of each call. Its
//! errors distinguish calls that were not sent from calls that may have been executed, and it never
//! retries a call by itself. [`server::serve`] accepts connections until it is cancelled and then
//! lets the requests in progress finish. [`server::serve_port`] does so within a share of a [`gate::Gate`],
//! the process's budget of connections and memory ([`budget`] is its accounting,
//! `docs/design/client-limits.md` the design). `docs/JOBS.md` explains why both use `hyper` directly
//! instead of `reqwest` and `salvo`.

pub mod body;
pub mod budget;
pub mod client;
pub mod gate;
pub mod limits;
pub mod server;
mod stream;
