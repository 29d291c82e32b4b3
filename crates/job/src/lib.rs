//! Scheduling of jobs. A job consists of steps, which may depend on earlier steps. Each step has
//! one or more tasks that run on executors.
//!
//! Everything here is a pure function of `(state, event, now)`. Start with [`spec`] for what a
//! caller submits, [`scheduler`] for the states of jobs and tasks, [`placement`] for which task
//! runs next and where, [`reservation`] for long-running tasks that find no free executor,
//! [`locality`] for waits for a place near a step's data or in one rack,
//! [`advice`] for queues with an external advisor, [`wait_reason`] for why a task does not start,
//! [`admission`] for which new jobs are refused, [`usage`] for who holds the resources and who waits
//! for them, [`evacuation`] for data centres where nothing new starts, [`warmup`] for executors that
//! are slow after their start, [`throttle`] for limiting best-effort work beside services,
//! [`plan_check`] and [`plan_diff`] for problems and changes of the operators' document, and
//! [`record`] for what is stored. `docs/JOBS.md` explains the design decisions.

pub mod ack_recovery;
pub mod admission;
pub mod advice;
pub mod authority;
mod compact_record;
pub mod durations;
pub mod evacuation;
pub mod fault_attribution;
pub mod fleet;
pub mod id;
pub mod interference;
pub mod lease_record;
pub mod locality;
pub mod migration;
pub mod placement;
pub mod plan;
pub mod plan_check;
pub mod plan_diff;
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
pub mod terms;
pub mod throttle;
mod turns;
pub mod usage;
pub mod wait_reason;
pub mod warmup;
