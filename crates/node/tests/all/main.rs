//! Tests of the daemon's parts and their wiring.

mod console;
mod document;
mod drive;
mod janitor;
mod join;
mod metrics;
mod observe;
mod operators;
mod shards_owners;
mod shards_requests;
mod supervisor;
mod world;
