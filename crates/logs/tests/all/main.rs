//! Tests of the log lines.

mod json;
mod queue;
