//! The heartbeat of one daemon, as daemons pass it on.

use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The highest heartbeat of one daemon that the sender knows of.
///
/// It is serialized as an array, since every daemon's heartbeat is in every exchange and names of
/// fields would be most of its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Heartbeat {
    /// The daemon.
    pub daemon: DaemonId,
    /// Which life of it; a higher one replaces all heartbeats of a lower one.
    pub incarnation: Incarnation,
    /// Counts its heartbeats in this life.
    pub count: u64,
    /// The version of the document that it has in force.
    pub doc: DocVersion,
    /// Whether it is draining.
    pub draining: bool,
}

type Wire = (DaemonId, Incarnation, u64, DocVersion, u8);

impl Heartbeat {
    /// Returns what orders the heartbeats of one daemon.
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
