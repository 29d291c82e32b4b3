//! Scheduling of jobs. A job consists of steps, which may depend on earlier steps. Each step has
//! one or more tasks that run on executors.
//!
//! Everything here is a pure function of `(state, event, now)`. Start with [`spec`] for what a
//! caller submits, [`scheduler`] for the states of jobs and tasks, [`placement`] for which task
//! runs next and where, [`reservation`] for long-running tasks that find no free executor,
//! [`locality`] for waits for a place near a step's data or in one rack,
//! [`advice`] for queues with an external advisor, [`wait_reason`] for why a task does not start,
//! [`usage`] for who holds the resources and who waits for them,
//! [`throttle`] for limiting best-effort work beside services, and [`record`] for what is stored.
//! `docs/JOBS.md` explains the design decisions.

pub mod advice;
pub mod durations;
pub mod fleet;
pub mod id;
pub mod interference;
pub mod locality;
pub mod placement;
pub mod plan;
mod preemption;
mod rack;
pub mod ranking;
pub mod record;
mod relaxation;
pub mod reservation;
pub mod scheduler;
mod short_work;
mod size_share;
pub mod spec;
pub mod stall;
pub mod task;
pub mod throttle;
mod turns;
pub mod usage;
pub mod wait_reason;
