//! Tests of ownership and the life of a task.

mod model_check;
mod spec;
