//! Findings: what is wrong with a text, where, and what to do about it.
//!
//! All findings on a text are collected and reported together, so that an operator mends them in
//! one go. They are plain data: the client prints them, the console shows each at its field.

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Where in a text a finding lies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Location {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The offset in bytes, from 0.
    pub offset: usize,
    /// The length in bytes.
    pub len: usize,
    /// The JSON pointer (RFC 6901) of the value; empty for the whole text.
    pub pointer: String,
}

/// Whether a text with this finding can be accepted.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// It can, but an operator should know.
    #[display("warning")]
    Warning,
    /// It cannot.
    #[display("error")]
    Error,
}

/// What kind of fault a finding is.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The text is not JSON with comments.
    #[display("syntax")]
    Syntax,
    /// A key that the type does not have.
    #[display("unknown-key")]
    UnknownKey,
    /// A key that the type needs is absent.
    #[display("missing-key")]
    MissingKey,
    /// A key is written twice in one object.
    #[display("duplicate-key")]
    DuplicateKey,
    /// A value of another type than the key takes.
    #[display("wrong-type")]
    WrongType,
    /// A value outside of what the key allows.
    #[display("out-of-range")]
    OutOfRange,
    /// A name that refers to nothing.
    #[display("unknown-name")]
    UnknownName,
    /// An upstream that no half owns.
    #[display("no-owner")]
    NoOwner,
    /// An upstream, or requests on a route, that two halves own.
    #[display("two-owners")]
    TwoOwners,
    /// Shares that are more than the whole.
    #[display("over-share")]
    OverShare,
    /// Work that may run nowhere.
    #[display("runs-nowhere")]
    RunsNowhere,
    /// Capacity that cannot hold what is promised.
    #[display("over-promised")]
    OverPromised,
    /// A change that would strand running work.
    #[display("strands-work")]
    StrandsWork,
    /// Values that contradict each other.
    #[display("contradiction")]
    Contradiction,
}

/// One thing that is wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// What kind of fault it is.
    pub code: Code,
    /// Whether the text can be accepted nevertheless.
    pub severity: Severity,
    /// What is wrong, as a sentence without a full stop.
    pub message: String,
    /// Where it lies.
    #[serde(rename = "place")]
    pub location: Location,
    /// What to do about it, if that can be said.
    #[serde(default)]
    pub help: Option<String>,
}

impl Finding {
    /// Makes an error.
    #[must_use]
    pub const fn error(code: Code, message: String, location: Location) -> Self {
        Self {
            code,
            severity: Severity::Error,
            message,
            location,
            help: None,
        }
    }

    /// Makes a warning.
    #[must_use]
    pub const fn warning(code: Code, message: String, location: Location) -> Self {
        Self {
            code,
            severity: Severity::Warning,
            message,
            location,
            help: None,
        }
    }

    /// Adds what to do about it.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

/// Returns whether any of the findings keeps the text from being accepted.
#[must_use]
pub fn any_error(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}

/// Sorts findings by where they lie in the text.
pub fn sort(findings: &mut [Finding]) {
    findings.sort_by(|a, b| {
        (a.location.offset, a.code, &a.message).cmp(&(b.location.offset, b.code, &b.message))
    });
}
