//! Tests of jobs, through the public interface.

mod advice;
mod fixture;
mod interference;
mod leases;
mod lifecycle;
mod model;
mod placement;
mod record;
mod retire;
mod stall;
mod wait_reason;
