//! Benchmarks and simulations, and a complete system in one process that some of them run on.
//!
//! Each measurement returns [`figure::Figure`]s: a value with its target and baseline. The example
//! `measure` prints them; the example `quickstart` demonstrates the whole system.
//!
//! - [`routing`] measures the request path.
//! - [`placement`] and [`policy`] measure the placement and throttling of tasks.
//! - [`jobs`] measures the decisions of a job owner.
//! - [`configuration`] measures document changes and handovers.
//! - [`capacity`] measures the control overhead per daemon as the system grows.
//! - [`logs`] measures the cost of a log line.
//! - [`system`] starts the complete system in one process.

pub mod capacity;
pub mod configuration;
pub mod figure;
pub mod fleet_load;
mod job_load;
pub mod jobs;
pub mod logs;
pub mod placement;
pub mod policy;
pub mod routing;
pub mod system;
