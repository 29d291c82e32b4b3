//! Tests of ownership and the life of a task.
