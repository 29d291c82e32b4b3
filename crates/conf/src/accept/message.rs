//! What daemons tell each other about the document.

use std::time::Duration;

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::accept::row::AcceptedDocument;
use crate::accept::row::StagedDocument;

/// What a daemon has, in a few bytes; every message between daemons carries one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The daemon.
    pub daemon: DaemonId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// The highest ballot it has seen.
    pub ballot: RowVersion,
    /// The version it has in force.
    pub version: DocVersion,
}

/// A daemon as last contacts by another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Contact {
    /// What it said of itself.
    pub digest: Digest,
    /// How long ago, on the clock of the daemon that contacts it.
    pub age: Duration,
}

impl Contact {
    /// Returns the same hearing, told `later` afterwards.
    #[must_use]
    pub fn aged_by(&self, elapsed: Duration) -> Self {
        Self {
            digest: self.digest.clone(),
            age: self.age + elapsed,
        }
    }
}

/// The answer of a daemon to a pushed document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// What the daemon has now.
    pub digest: Digest,
    /// The daemons that it has contacts requests from, each at its latest.
    #[serde(rename = "heard")]
    pub contacts: Vec<Contact>,
}

/// What a daemon knows of the document; the answer to a peer's [`Digest`], and what a proposer
/// pushes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The highest ballot seen.
    pub ballot: RowVersion,
    /// Whether a document is staged under that ballot and has not been resolved.
    pub pending: bool,
    /// That document; left out where the other side is known to have it.
    pub staged: Option<StagedDocument>,
    /// The version in force.
    pub version: DocVersion,
    /// The document in force; left out where the other side is known to have it.
    pub current: Option<AcceptedDocument>,
    /// How long ago the table showed `version` to be the one in force; by then none was higher.
    pub age: Duration,
    /// Whether the sender may serve.
    pub serving: bool,
}
