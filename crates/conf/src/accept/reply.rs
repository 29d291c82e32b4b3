//! Builds the answer to an operator from the outcome of a change.

use model::id::DocVersion;
use model::outcome;

use crate::accept::change::Outcome;
use crate::accept::row::AcceptedDocument;
use crate::accept::row::version_of;
use crate::api::ApplyReply;
use crate::api::Problem;
use crate::diff;
use crate::doc::Document;

/// How long an operator should wait before retrying a change that was not run, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// The three documents of a three-way comparison.
#[derive(Clone, Copy, Debug)]
pub struct ThreeWay<'a> {
    /// The document that the operator edited.
    pub base: &'a Document,
    /// The document that the operator sent.
    pub ours: &'a Document,
    /// The document in force.
    pub theirs: &'a Document,
}

/// Returns the answer to an operator whose change has ended.
///
/// # Errors
///
/// Returns the problem if the change was not run for a reason on the side of the system, or if it
/// is unknown whether it was accepted.
pub fn apply_reply(outcome: Outcome, documents: ThreeWay<'_>) -> Result<ApplyReply, Problem> {
    match outcome {
        Outcome::Accepted {
            version,
            in_force,
            pending,
            passed_over,
        } => Ok(ApplyReply::Accepted {
            version,
            changes: diff::changes(documents.base, documents.ours),
            in_force: in_force.into_iter().collect(),
            pending: pending.into_iter().collect(),
            passed_over: passed_over.into_iter().collect(),
        }),
        Outcome::Invalid(findings) => Ok(ApplyReply::Invalid { findings }),
        Outcome::Overtaken(current) => Ok(overtaken_reply(current.as_ref(), documents)),
        Outcome::Unreachable(daemons) => Ok(ApplyReply::Unreachable {
            daemons: daemons.into_iter().collect(),
        }),
        Outcome::NotRun(reason) => Err(problem(outcome::Outcome::NotRun, reason)),
        Outcome::Unknown => Err(problem(
            outcome::Outcome::Unknown,
            "the table did not confirm in time whether the change was accepted",
        )),
    }
}

/// Returns the answer to a change that was overtaken: another change was accepted first.
#[must_use]
pub fn overtaken_reply(current: Option<&AcceptedDocument>, documents: ThreeWay<'_>) -> ApplyReply {
    let ours = diff::changes(documents.base, documents.ours);
    let theirs = diff::changes(documents.base, documents.theirs);
    let conflicts = diff::conflicts(&ours, &theirs);
    let version: DocVersion = version_of(current);
    ApplyReply::Overtaken {
        version,
        by: author(current),
        theirs,
        conflicts,
    }
}

/// Returns the author of a document, with a phrase in place of an empty name.
fn author(current: Option<&AcceptedDocument>) -> String {
    current
        .map(|current| current.by.trim())
        .filter(|by| !by.is_empty())
        .unwrap_or("somebody who gave no name")
        .to_owned()
}

fn problem(outcome: outcome::Outcome, reason: &str) -> Problem {
    Problem {
        outcome,
        reason: reason.to_owned(),
        retry_after_ms: Some(RETRY_AFTER_MS),
        findings: Vec::new(),
    }
}
