//! The heartbeat of a daemon, as exchanged by gossip.

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The highest heartbeat of a daemon that is known to the sender.
///
/// It is serialized as an array, because every exchange contains the heartbeats of all daemons and
/// field names would take up most of the bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Heartbeat {
    /// The id of the daemon.
    pub daemon: DaemonId,
    /// The incarnation of the daemon; a higher one supersedes all heartbeats of a lower one.
    pub incarnation: Incarnation,
    /// The number of heartbeats in this incarnation.
    pub count: u64,
    /// The version of the daemon's active document.
    pub doc: DocVersion,
    /// Whether the daemon is draining.
    pub draining: bool,
}

type Wire = (DaemonId, Incarnation, u64, DocVersion, u8);

impl Heartbeat {
    /// Returns the key that orders the heartbeats of a daemon.
    #[must_use]
    pub const fn ordering_key(&self) -> (u64, u64) {
        (self.incarnation.0, self.count)
    }
}

impl From<Wire> for Heartbeat {
    fn from((daemon, incarnation, count, doc, draining): Wire) -> Self {
        Self {
            daemon,
            incarnation,
            count,
            doc,
            draining: draining != 0,
        }
    }
}

impl From<Heartbeat> for Wire {
    fn from(heartbeat: Heartbeat) -> Self {
        (
            heartbeat.daemon,
            heartbeat.incarnation,
            heartbeat.count,
            heartbeat.doc,
            u8::from(heartbeat.draining),
        )
    }
}
