//! Tells the operator who came second what changed under them.

use crate::accept::row::Current;
use crate::api::ApplyReply;
use crate::diff;
use crate::doc::Document;

/// The documents that an overtaken change is explained by.
#[derive(Clone, Copy, Debug)]
pub struct Three<'a> {
    /// What the operator started from.
    pub base: &'a Document,
    /// What the operator sent.
    pub ours: &'a Document,
    /// What is in force.
    pub theirs: &'a Document,
}

/// Returns the answer to a change that another one has overtaken.
#[must_use]
pub fn overtaken(current: &Current, documents: Three<'_>) -> ApplyReply {
    let ours = diff::changes(documents.base, documents.ours);
    let theirs = diff::changes(documents.base, documents.theirs);
    let conflicts = diff::conflicts(&ours, &theirs);
    ApplyReply::Overtaken {
        version: current.version,
        by: current.by.clone(),
        theirs,
        conflicts,
    }
}
