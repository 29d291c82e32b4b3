//! Tests of shard ownership and the task lifecycle.

mod fixture;
mod model_check;
mod owner;
mod ownership;
mod requests;
mod row_names;
