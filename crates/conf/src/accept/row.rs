//! The rows of the table that hold the document.
//!
//! Neither `doc/current` nor `doc/staged` is ever deleted, so that a write that checks version `n`
//! of a row makes version `n + 1`. The version of `doc/staged` is the ballot: it orders all attempts
//! to change the document.

use std::sync::Arc;

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::OpId;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;

/// How many accepted changes the table remembers, for an operator who asks again after a lost
/// answer and for one who is told what changed since an older version.
pub const MAX_RECENT_CHANGES: usize = 64;

/// An accepted document; the rows `doc/current` and `doc/history/<version>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// Counts the accepted documents.
    pub version: DocVersion,
    /// The operator's text, comments included.
    pub text: Arc<str>,
    /// Who sent it.
    pub by: String,
    /// The operator's id of the change.
    pub op: OpId,
    /// The last accepted changes, the latest last; at most [`MAX_RECENT_CHANGES`].
    #[serde(default)]
    pub recent: Vec<AcceptedChange>,
}

impl AcceptedDocument {
    /// Returns the version under which the change `op` was accepted, if it is remembered.
    #[must_use]
    pub fn version_of_change(&self, op: &OpId) -> Option<DocVersion> {
        self.recent
            .iter()
            .find(|accepted| accepted.op == *op)
            .map(|accepted| accepted.version)
    }
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The operator's id of the change.
    pub op: OpId,
    /// The version it made.
    pub version: DocVersion,
}

/// A document on its way to be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StagedDocument {
    /// The version that it becomes if it is accepted.
    pub version: DocVersion,
    /// The operator's text, comments included.
    pub text: Arc<str>,
    /// Who sent it.
    pub by: String,
    /// The operator's id of the change.
    pub op: OpId,
    /// The daemon that carries it through.
    pub proposer: DaemonId,
}

impl StagedDocument {
    /// Returns what the document becomes once it is accepted after `before`.
    #[must_use]
    pub fn to_accepted(&self, previous: Option<&AcceptedDocument>) -> AcceptedDocument {
        let mut recent = previous.map_or_else(Vec::new, |current| current.recent.clone());
        recent.push(AcceptedChange {
            op: self.op.clone(),
            version: self.version,
        });
        let excess = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..excess);
        AcceptedDocument {
            version: self.version,
            text: Arc::clone(&self.text),
            by: self.by.clone(),
            op: self.op.clone(),
            recent,
        }
    }
}

/// The row `doc/staged`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StagedRow {
    /// The document on its way, if there is one.
    pub staged: Option<StagedDocument>,
}

/// What one read of both rows showed; `doc/staged` must be read before `doc/current`.
///
/// In this order a commit that comes in between shows in the second read, so that nobody takes the
/// older document for the latest with nothing under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The version of the row `doc/staged`, 0 if it is absent.
    pub ballot: RowVersion,
    /// The document on its way.
    pub staged: Option<StagedDocument>,
    /// The version of the row `doc/current`, 0 if it is absent.
    pub current_row: RowVersion,
    /// The document in force.
    pub current: Option<AcceptedDocument>,
}

/// A row of the table as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct RowRead {
    /// The version of the row.
    pub version: RowVersion,
    /// Its value.
    pub value: serde_json::Value,
}

impl View {
    /// Makes the view from the rows `doc/staged` and `doc/current`, read in this order.
    ///
    /// # Errors
    ///
    /// Returns an error if a row does not hold what this protocol writes.
    pub fn from_rows(
        staged: Option<RowRead>,
        current: Option<RowRead>,
    ) -> Result<Self, serde_json::Error> {
        let mut view = Self::default();
        if let Some(row) = staged {
            view.ballot = row.version;
            view.staged = serde_json::from_value::<StagedRow>(row.value)?.staged;
        }
        if let Some(row) = current {
            view.current_row = row.version;
            view.current = Some(serde_json::from_value(row.value)?);
        }
        Ok(view)
    }

    /// Returns the version in force, 0 before the first document.
    #[must_use]
    pub fn version(&self) -> DocVersion {
        version_of(self.current.as_ref())
    }
}

/// Returns the version of a document, 0 where there is none.
#[must_use]
pub fn version_of(current: Option<&AcceptedDocument>) -> DocVersion {
    current.map_or(DocVersion::default(), |current| current.version)
}

/// A condition of a write: the row still has this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowCheck {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have.
    pub version: RowVersion,
}

/// A transaction that the protocol asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Stages a document.
    Stage {
        /// The version of `doc/staged` that it replaces.
        ballot: RowVersion,
        /// The version of `doc/current` that it was validated against.
        current_row: RowVersion,
        /// The document.
        staged: StagedDocument,
    },
    /// Puts the staged document into force.
    Commit {
        /// The version of `doc/staged` that holds it.
        ballot: RowVersion,
        /// The version of `doc/current` that it replaces.
        current_row: RowVersion,
        /// The document.
        current: AcceptedDocument,
        /// The heartbeat rows of the daemons that were passed over.
        passed_over: Vec<RowCheck>,
    },
    /// Takes the staged document back; afterwards it can no longer be committed.
    Clear {
        /// The version of `doc/staged` that holds it.
        ballot: RowVersion,
    },
}

impl Write {
    /// Returns the rows that the transaction checks.
    #[must_use]
    pub fn checks(&self) -> Vec<RowCheck> {
        let row = |key: &str, version| RowCheck {
            key: key.to_owned(),
            version,
        };
        match self {
            Self::Stage {
                ballot,
                current_row,
                ..
            } => vec![row(key::STAGED, *ballot), row(key::CURRENT, *current_row)],
            Self::Commit {
                ballot,
                current_row,
                passed_over,
                ..
            } => {
                let mut checks = vec![row(key::STAGED, *ballot), row(key::CURRENT, *current_row)];
                checks.extend(passed_over.iter().cloned());
                checks
            }
            Self::Clear { ballot } => vec![row(key::STAGED, *ballot)],
        }
    }

    /// Returns the rows that the transaction writes; no value deletes the row.
    ///
    /// # Errors
    ///
    /// Returns an error if a row cannot be put into JSON, which no text of an operator brings about.
    pub fn writes(&self) -> Result<Vec<RowWrite>, serde_json::Error> {
        let cleared = RowWrite::new(key::STAGED.to_owned(), &StagedRow::default())?;
        match self {
            Self::Stage { staged, .. } => {
                let row = StagedRow {
                    staged: Some(staged.clone()),
                };
                Ok(vec![RowWrite::new(key::STAGED.to_owned(), &row)?])
            }
            Self::Commit { current, .. } => {
                let mut writes = vec![
                    RowWrite::new(key::CURRENT.to_owned(), current)?,
                    RowWrite::new(key::history(current.version), current)?,
                    cleared,
                ];
                if let Some(old) = current.version.0.checked_sub(MAX_RECENT_CHANGES as u64) {
                    writes.push(RowWrite {
                        key: key::history(DocVersion(old)),
                        value: None,
                    });
                }
                Ok(writes)
            }
            Self::Clear { .. } => Ok(vec![cleared]),
        }
    }
}

/// One row that a transaction writes.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<serde_json::Value>,
}

impl RowWrite {
    fn new<T: Serialize>(key: String, value: &T) -> Result<Self, serde_json::Error> {
        Ok(Self {
            key,
            value: Some(serde_json::to_value(value)?),
        })
    }
}

/// The keys of the rows.
pub mod key {
    use model::id::DocVersion;

    /// The row of the document in force.
    pub const CURRENT: &str = "doc/current";
    /// The row of the document on its way.
    pub const STAGED: &str = "doc/staged";

    /// The row that keeps an accepted document after it was replaced.
    #[must_use]
    pub fn history(version: DocVersion) -> String {
        format!("doc/history/{:012}", version.0)
    }
}
