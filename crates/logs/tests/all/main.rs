//! Tests of the JSON logger, its policy and its writer.

mod json;
mod queue;
mod rate_limit;
mod reload;
