//! Request routing: selection of executors, slots, limits, deadlines, retries and outcomes.
//!
//! [`router::Router`] makes the decisions and performs no I/O: it receives events with the current
//! time and returns what to do. [`proxy::Proxy`] is the data path around it. Start with [`update`]
//! for the tables that a daemon provides, [`slots`] for the division of an executor's slots among
//! daemons, and `docs/ROUTING.md` for the design. `docs/CALLERS.md` is the contract with callers.

pub mod config;
pub mod decision;
pub mod estimate;
pub mod free_list;
pub mod health;
pub mod key;
pub mod proxy;
pub mod queue;
pub mod report;
pub mod retry_budget;
pub mod router;
pub mod slots;
pub mod update;

pub use config::RouterConfig;
pub use proxy::Proxy;
pub use router::Router;
pub use update::RouteUpdate;
