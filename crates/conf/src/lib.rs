//! Settings of one daemon and the configuration document of all of them.
//!
//! [`doc`] has the document that operators write, [`settings`] what one process needs to start.
//! Both are JSON with comments; what is wrong with them is collected as [`finding`]s with their
//! place and reported together by [`report`]: [`validate`] checks keys, types and ranges against the
//! [`schema`], [`check`] what the document says. [`edit`] sets a value and keeps the comments,
//! [`diff`] tells what changes between two documents, [`accept`] puts one into force everywhere and
//! [`api`] has the messages between daemon and operators.

pub mod accept;
pub mod api;
pub mod check;
pub mod diff;
pub mod doc;
pub mod edit;
pub mod finding;
pub mod hint;
pub mod observe;
pub mod report;
pub mod schema;
pub mod settings;
pub mod tree;
pub mod validate;
