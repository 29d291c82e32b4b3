//! Tests of the public interface of the crate.

mod advice;
mod age;
mod capacity;
mod crash_world;
mod crashes;
mod fair_start;
mod fixture;
mod interference;
mod known_red;
mod larger_steps;
mod late_ends;
mod late_rounds;
mod leases;
mod lifecycle;
mod model;
mod overload;
mod placement;
mod record;
mod relaxation;
mod retire;
mod scarce_store;
mod stall;
mod starvation;
mod store_order;
mod suspension;
mod wait_reason;
