//! What a daemon tells its router: the document in force, the executors, the other daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::doc::Document;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::HalfId;
use model::id::UpstreamId;
use model::place::Place;
use plat::hosts::ExecutorEntry;

/// The document in force.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// Its version; a lower one than known is ignored, the same one replaces what it said.
    pub version: DocVersion,
    /// The document.
    pub document: Arc<Document>,
}

/// A daemon that serves requests, this one included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub id: DaemonId,
    /// The half it works for.
    pub half: HalfId,
    /// Where it stands.
    pub place: Place,
    /// Where it takes requests.
    pub caller_address: SocketAddr,
}

/// Changes of what the router knows; absent parts stay as they are.
#[derive(Clone, Debug, Default)]
pub struct RouteUpdate {
    /// The document in force.
    pub document: Option<ActiveDocument>,
    /// All executors of the host list.
    pub executors: Option<Vec<ExecutorEntry>>,
    /// All daemons that may serve. Each delivery, changed or not, renews the lease under which this
    /// daemon uses its slots; see [`crate::config::Limits::membership_lease`].
    pub members: Option<Vec<Member>>,
    /// Upstreams that every daemon of the old half has reported as released.
    pub released: Vec<UpstreamId>,
}
