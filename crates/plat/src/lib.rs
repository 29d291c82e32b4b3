//! The external interfaces of the daemons, one module per interface.
//!
//! Each interface is a plain struct of closures ([`call::Call`]), so that a test can replace a
//! single call by a fake and a change of the wire format affects one file only. The contracts are
//! described in `docs/PLATFORM.md`: [`table`] and [`object`] are the platform's stores, [`hosts`]
//! is its lagging list of hosts and executors, and [`worker`] is the agent that runs tasks.
//!
//! [`commit`] determines the outcome of a transaction whose response was lost, [`rate_limit`]
//! limits a daemon to its share of the table's throughput, and [`client`] is the underlying HTTP
//! client, which classifies failures.

pub mod call;
pub mod client;
pub mod commit;
pub mod error;
pub mod hosts;
pub mod object;
pub mod rate_limit;
pub mod table;
pub mod worker;
