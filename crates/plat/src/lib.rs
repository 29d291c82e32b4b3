//! Everything outside of the daemons, one module an interface.
//!
//! Each interface is a plain struct of closures ([`call::Call`]), so that a test swaps one call for a
//! fake and a changed wire format touches one file. The contracts are written down in
//! `docs/PLATFORM.md`: [`table`] and [`object`] are the platform's store, [`hosts`] its lagging list
//! of hosts and executors, [`worker`] the agent that runs tasks. [`commit`] finds out what became
//! of a write whose answer was lost, [`rate_limit`] keeps a daemon's own share of the store's rate, and
//! [`client`] is the HTTP client beneath, which decides what a failure allows to conclude.

pub mod call;
pub mod client;
pub mod commit;
pub mod error;
pub mod hosts;
pub mod object;
pub mod rate_limit;
pub mod table;
pub mod worker;
