//! Updates of the routing tables: the active document, the executors and the members.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::doc::Document;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::HalfId;
use model::id::UpstreamId;
use model::place::Place;
use plat::hosts::ExecutorEntry;

/// A version of the document that is in force.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// Version of the document. A lower version than the known one is ignored; an equal one
    /// replaces the content.
    pub version: DocVersion,
    /// Content of the document.
    pub document: Arc<Document>,
}

/// A daemon that serves requests; this daemon is one of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Half that the daemon serves.
    pub half: HalfId,
    /// Region and data centre of the daemon.
    pub place: Place,
    /// Address at which the daemon accepts requests of callers.
    pub caller_address: SocketAddr,
}

/// A change of the routing tables; parts that are absent stay unchanged.
#[derive(Clone, Debug, Default)]
pub struct RouteUpdate {
    /// The active document.
    pub document: Option<ActiveDocument>,
    /// The complete list of executors.
    pub executors: Option<Vec<ExecutorEntry>>,
    /// The complete list of daemons that may serve. Each delivery renews the lease under which this
    /// daemon uses its slots, even without a change; see
    /// [`crate::config::Limits::membership_lease`].
    pub members: Option<Vec<Member>>,
    /// Upstreams that every daemon of the previous half has reported as released.
    pub released: Vec<UpstreamId>,
}
