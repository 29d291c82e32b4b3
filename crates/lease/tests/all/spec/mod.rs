//! The specification that the model check explores: two daemons, two workers, two tasks and a table,
//! which call the product's own transition functions.
//!
//! `store` is the table, `world` the state, `step` what can happen next, `explore` the search.

pub mod explore;
pub mod step;
pub mod store;
pub mod world;
