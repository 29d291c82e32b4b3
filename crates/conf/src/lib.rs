//! The settings of a daemon and the configuration document that all daemons share.
//!
//! [`doc`] defines the document that operators write, and [`settings`] what a single process needs
//! to start. Both are JSON with comments. [`validate`] checks keys, types and ranges against the
//! [`schema`], and [`check`] the semantics of the document; the problems are collected as
//! [`finding`]s with their locations and rendered by [`report`]. [`edit`] sets values while
//! preserving comments, [`diff`] compares two documents, [`accept`] puts a document into force on
//! all daemons, and [`api`] defines the messages between daemons and operators.

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
