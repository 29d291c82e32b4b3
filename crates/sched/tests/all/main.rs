//! Tests of the scheduler through its public interface.

mod faults;
mod fixture;
mod health;
mod interference;
mod objectives;
mod placement;
mod property;
mod queue;
mod reports;
mod sizes;
mod wait_reason;
