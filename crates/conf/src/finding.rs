//! Findings: the problems of a text, with their location and a suggestion.
//!
//! All findings on a text are collected and reported together, so that an operator can fix them at
//! once. They are plain data: the client prints them, and the console shows each one at its field.

use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A location in a text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Location {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The offset in bytes, counted from 0.
    pub offset: usize,
    /// The length in bytes.
    pub len: usize,
    /// The JSON pointer (RFC 6901) of the value; empty for the whole text.
    pub pointer: String,
}

/// How severe a finding is.
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
    /// The text can be accepted, but an operator should know of the problem.
    #[display("warning")]
    Warning,
    /// The text cannot be accepted.
    #[display("error")]
    Error,
}

/// The kind of problem that a finding reports.
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
    /// A key that is not defined.
    #[display("unknown-key")]
    UnknownKey,
    /// A required key that is absent.
    #[display("missing-key")]
    MissingKey,
    /// A key that appears twice in one object.
    #[display("duplicate-key")]
    DuplicateKey,
    /// A value of the wrong type.
    #[display("wrong-type")]
    WrongType,
    /// A value outside its allowed range or set of values.
    #[display("out-of-range")]
    OutOfRange,
    /// A reference to a name that is not defined.
    #[display("unknown-name")]
    UnknownName,
    /// An upstream without an owning half.
    #[display("no-owner")]
    NoOwner,
    /// An upstream, or the requests of a route, that two halves own.
    #[display("two-owners")]
    TwoOwners,
    /// Shares that add up to more than 100 percent.
    #[display("over-share")]
    OverShare,
    /// A class whose tasks cannot run anywhere.
    #[display("runs-nowhere")]
    RunsNowhere,
    /// Quotas that exceed the available capacity.
    #[display("over-promised")]
    OverPromised,
    /// A change that would strand running tasks.
    #[display("strands-work")]
    StrandsWork,
    /// An entry that no request matches, or not the requests that it is for.
    #[display("never-matches")]
    NeverMatches,
    /// Values that contradict each other.
    #[display("contradiction")]
    Contradiction,
}

/// One problem of a text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// The kind of problem.
    pub code: Code,
    /// Whether the text can be accepted in spite of the problem.
    pub severity: Severity,
    /// A description of the problem, as a sentence without a full stop.
    pub message: String,
    /// The location of the problem in the text.
    #[serde(rename = "place")]
    pub location: Location,
    /// A suggestion how to fix the problem, if there is one.
    #[serde(default)]
    pub help: Option<String>,
}

impl Finding {
    /// Creates an error.
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

    /// Creates a warning.
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

    /// Adds a suggestion how to fix the problem.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

/// Returns whether any of the findings prevents the text from being accepted.
#[must_use]
pub fn any_error(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}

/// Sorts findings by their location in the text.
pub fn sort(findings: &mut [Finding]) {
    findings.sort_by(|a, b| {
        (a.location.offset, a.code, &a.message).cmp(&(b.location.offset, b.code, &b.message))
    });
}
