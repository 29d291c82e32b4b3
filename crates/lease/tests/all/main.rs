//! Tests of ownership and the life of a task.

mod fixture;
mod model_check;
mod owner;
mod ownership;
mod requests;
