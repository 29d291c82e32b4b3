//! Tests of the log lines.

mod json;
mod queue;
mod rate_limit;
mod reload;
