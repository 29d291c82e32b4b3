//! Jobs: steps in an order, each of several tasks, spread over executors.
//!
//! Everything here is a pure function of `(state, event, now)`. Start with [`spec`] for what a caller
//! submits, [`book`] for the life of jobs and tasks, [`place`] for which task runs next and where,
//! [`keep`] for tasks that last and find no room, [`advice`] for queues whose policy only an advisor
//! knows, [`hold`] for why a task does not start, [`pace`] for how batch work beside services is slowed
//! down, and [`record`] for what is stored. `docs/JOBS.md` says what was weighed.

pub mod advice;
pub mod durations;
pub mod fleet;
pub mod id;
pub mod interference;
pub mod placement;
pub mod plan;
pub mod ranking;
pub mod record;
pub mod reservation;
pub mod scheduler;
pub mod spec;
pub mod stall;
pub mod task;
pub mod throttle;
pub mod wait_reason;
