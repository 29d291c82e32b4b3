//! Settings of one daemon and the configuration document of all of them.
//!
//! [`doc`] has the document that operators write, [`settings`] what one process needs to start.
//! Both are JSON with comments; what is wrong with them is collected as [`finding`]s with their
//! place and reported together. [`diff`] tells what changes between two documents and [`api`] has
//! the messages between daemon and operators.

pub mod accept;
pub mod api;
pub mod diff;
pub mod doc;
pub mod finding;
pub mod settings;
pub mod tree;
