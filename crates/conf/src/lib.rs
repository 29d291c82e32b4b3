//! Settings of one daemon and the configuration document of all of them.
//!
//! [`doc`] has the document that operators write, [`settings`] what one process needs to start.
//! Both are JSON with comments; what is wrong with them is collected as findings with their place
//! and reported together.

pub mod doc;
pub mod settings;
