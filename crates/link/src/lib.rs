//! HTTP/1.1 between processes, for hosts on which only a fraction of a processor is available.
//!
//! [`client::Client`] pools idle connections by address and limits the duration of each call. Its
//! errors distinguish calls that were not sent from calls that may have been executed, and it never
//! retries a call by itself. [`server::serve`] accepts connections until it is cancelled and then
//! lets the requests in progress finish. `docs/JOBS.md` explains why both use `hyper` directly
//! instead of `reqwest` and `salvo`.

pub mod client;
pub mod server;
