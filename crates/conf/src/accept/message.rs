//! The messages about the document that daemons exchange.

use std::time::Duration;

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::accept::row::AcceptedDocument;
use crate::accept::row::StagedDocument;

/// A summary of a daemon's state, a few bytes long; every message between daemons carries one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The daemon that the digest describes.
    pub daemon: DaemonId,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The highest ballot that the daemon has seen.
    pub ballot: RowVersion,
    /// The version that the daemon has in force; 0 before its first document.
    pub version: DocVersion,
}

/// The last request that a daemon received from another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Contact {
    /// The digest in the request.
    pub digest: Digest,
    /// How long ago the request was received, on the clock of the receiver.
    pub age: Duration,
}

impl Contact {
    /// Returns the same contact as of `elapsed` later.
    #[must_use]
    pub fn aged_by(&self, elapsed: Duration) -> Self {
        Self {
            digest: self.digest.clone(),
            age: self.age + elapsed,
        }
    }
}

/// The answer of a daemon to a message of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// The state of the daemon after it handled the message.
    pub digest: Digest,
    /// The latest contact with each daemon from which it has received requests.
    #[serde(rename = "heard")]
    pub contacts: Vec<Contact>,
}

/// What a daemon knows of the document and the receiver lacks: the answer to a peer's [`Digest`],
/// and the message by which a proposer pushes a document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The highest ballot that the sender has seen.
    pub ballot: RowVersion,
    /// Whether a document is staged under `ballot` and neither committed nor abandoned.
    pub pending: bool,
    /// The staged document; `None` if the receiver is known to have it.
    pub staged: Option<StagedDocument>,
    /// The version that the sender has in force.
    pub version: DocVersion,
    /// The document in force; `None` if the receiver is known to have it.
    pub current: Option<AcceptedDocument>,
    /// How long ago `version` was confirmed as the latest accepted version.
    pub age: Duration,
    /// Whether the sender may serve.
    pub serving: bool,
}
