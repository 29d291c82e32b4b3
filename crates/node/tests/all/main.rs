//! Tests of the daemon's wiring.

mod drive;
mod janitor;
mod join;
mod logs;
mod metrics;
mod operators;
mod shards_owners;
mod shards_requests;
mod supervisor;
