//! Which executor serves a request: slots, limits, deadlines, retries and outcomes.
//!
//! [`router::Router`] decides and performs no I/O: it is given events and the time, and returns what
//! to do. [`proxy::Proxy`] is the data path around it. Start with [`view`] for what a daemon must
//! tell both, [`slots`] for how the slots of an executor are divided among daemons, and
//! `docs/ROUTING.md` for what was weighed. `docs/CALLERS.md` is the contract with callers.

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
