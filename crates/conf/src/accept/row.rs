//! The rows of the table that store the document, and the transactions on them.
//!
//! Neither `doc/current` nor `doc/staged` is ever deleted, so that a write that checks version `n`
//! of a row creates version `n + 1`. The version of `doc/staged` is the ballot: it orders all
//! attempts to change the document.

use std::sync::Arc;

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::OpId;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;

/// How many accepted changes the table stores, to recognize requests that are repeated after a lost
/// answer and to report to an operator what changed since an older version.
pub const MAX_RECENT_CHANGES: usize = 64;

/// An accepted document; the value of the rows `doc/current` and `doc/history/<version>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// The version, which counts the accepted documents from 1.
    pub version: DocVersion,
    /// The operator's text, comments included.
    pub text: Arc<str>,
    /// The name of the operator who sent it.
    pub by: String,
    /// The operator's id of the change that the document is the result of.
    pub op: OpId,
    /// The last accepted changes, oldest first; at most [`MAX_RECENT_CHANGES`].
    #[serde(default)]
    pub recent: Vec<AcceptedChange>,
}

impl AcceptedDocument {
    /// Returns the version under which the change `op` was accepted, if it is a recent one.
    #[must_use]
    pub fn version_of_change(&self, op: &OpId) -> Option<DocVersion> {
        self.recent
            .iter()
            .find(|accepted| accepted.op == *op)
            .map(|accepted| accepted.version)
    }
}

/// The record of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The operator's id of the change.
    pub op: OpId,
    /// The version of the document that it resulted in.
    pub version: DocVersion,
}

/// A staged document, which may yet be committed or abandoned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StagedDocument {
    /// The version that the document gets if it is accepted.
    pub version: DocVersion,
    /// The operator's text, comments included.
    pub text: Arc<str>,
    /// The name of the operator who sent it.
    pub by: String,
    /// The operator's id of the change that the document is the result of.
    pub op: OpId,
    /// The daemon that runs the proposer.
    pub proposer: DaemonId,
}

impl StagedDocument {
    /// Returns the accepted document that results if this one is committed on top of `previous`.
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

/// The value of the row `doc/staged`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StagedRow {
    /// The staged document, if any.
    pub staged: Option<StagedDocument>,
}

/// A snapshot of both rows; `doc/staged` must be read before `doc/current`.
///
/// In this order a commit between the two reads is visible in the second one. In the other order a
/// reader could take the older document for the latest one with nothing staged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The version of the row `doc/staged`, 0 if it is absent.
    pub ballot: RowVersion,
    /// The staged document, if any.
    pub staged: Option<StagedDocument>,
    /// The version of the row `doc/current`, 0 if it is absent.
    pub current_row: RowVersion,
    /// The document in force; `None` before the first one.
    pub current: Option<AcceptedDocument>,
}

/// A row of the table as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct RowRead {
    /// The version of the row.
    pub version: RowVersion,
    /// The value of the row.
    pub value: serde_json::Value,
}

impl View {
    /// Creates the view from the rows `doc/staged` and `doc/current`, read in this order.
    ///
    /// # Errors
    ///
    /// Returns an error if the value of a row is not one that this protocol writes.
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

    /// Returns the version in force, or 0 before the first document.
    #[must_use]
    pub fn version(&self) -> DocVersion {
        version_of(self.current.as_ref())
    }
}

/// Returns the version of a document, or 0 if there is none.
#[must_use]
pub fn version_of(current: Option<&AcceptedDocument>) -> DocVersion {
    current.map_or(DocVersion::default(), |current| current.version)
}

/// A precondition of a transaction: the row still has this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowCheck {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have.
    pub version: RowVersion,
}

/// A transaction of the acceptance protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Stages a document, and replaces one whose protection has ended.
    Stage {
        /// The version of `doc/staged` that is replaced.
        ballot: RowVersion,
        /// The version of `doc/current` that the text was validated against.
        current_row: RowVersion,
        /// The document to stage.
        staged: StagedDocument,
    },
    /// Puts the staged document into force.
    Commit {
        /// The version of `doc/staged` that contains the document.
        ballot: RowVersion,
        /// The version of `doc/current` that is replaced.
        current_row: RowVersion,
        /// The accepted document.
        current: AcceptedDocument,
        /// The heartbeat rows of the daemons that are passed over, which must be unchanged.
        passed_over: Vec<RowCheck>,
    },
    /// Clears the staged document; afterwards it can no longer be committed.
    Clear {
        /// The version of `doc/staged` that contains the document.
        ballot: RowVersion,
    },
}

impl Write {
    /// Returns the preconditions of the transaction.
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

    /// Returns the rows that the transaction writes or deletes.
    ///
    /// # Errors
    ///
    /// Returns an error if a row cannot be serialized to JSON, which no operator's text can cause.
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

/// One row that a transaction writes or deletes.
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

/// The keys of the rows in the table.
pub mod key {
    use model::id::DocVersion;

    /// The key of the row with the document in force.
    pub const CURRENT: &str = "doc/current";
    /// The key of the row with the staged document.
    pub const STAGED: &str = "doc/staged";

    /// Returns the key of the row that stores an accepted document after it was replaced.
    #[must_use]
    pub fn history(version: DocVersion) -> String {
        format!("doc/history/{:012}", version.0)
    }
}
