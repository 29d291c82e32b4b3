//! What the router is asked and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::ExecutorId;
use serde::Serialize;

use crate::key::ExecutorKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;

/// A request as the router sees it.
#[derive(Clone, Debug, Default)]
pub struct RouteRequest {
    /// The path, by whose prefix the upstream is found.
    pub path: String,
    /// The caller, if it named itself.
    pub caller: Option<String>,
    /// How long the caller waits, if it said so.
    pub timeout: Option<Duration>,
    /// How often daemons have passed the request on.
    pub hops: u8,
    /// The version of the document at the daemon that passed it on.
    pub version: DocVersion,
}

/// The right to send one request to one executor; given back by [`crate::Router::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The executor.
    pub executor: ExecutorKey,
    /// The name of the executor.
    pub executor_id: ExecutorId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it stands in another region.
    pub cross_region: bool,
    /// When the right was given.
    pub granted_at: Mono,
    /// When the request has to be answered.
    pub deadline: Mono,
}

/// Another daemon to hand a request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: DaemonId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it stands in another region.
    pub cross_region: bool,
    /// When the request has to be answered.
    pub deadline: Mono,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// This daemon has no document yet.
    #[display("not ready")]
    NotReady,
    /// This daemon is cut off, or its view of the members is too old.
    #[display("isolated")]
    Isolated,
    /// This daemon is stopping and knows no other.
    #[display("draining")]
    Draining,
    /// No upstream serves the path.
    #[display("no route")]
    NoRoute,
    /// No daemon of the owning half is known.
    #[display("no owner")]
    NoOwner,
    /// It was passed on too often.
    #[display("too many hops")]
    TooManyHops,
    /// Its deadline cannot be met.
    #[display("deadline")]
    Deadline,
    /// Too many requests wait, or the caller has used up its share.
    #[display("overload")]
    Overload,
    /// The upstream has no executor that could serve it.
    #[display("no executor")]
    NoExecutor,
}

/// A refusal: the request was certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When trying again may help.
    pub retry_after: Duration,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an executor.
    Send(Grant),
    /// Hand it to another daemon.
    Forward(Peer),
    /// Answer that it was not run.
    Refuse(Refusal),
    /// Hold it; a later event resolves the ticket.
    Wait(Ticket),
}

/// A waiting request and what to do with it now; never [`Decision::Wait`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The request.
    pub ticket: Ticket,
    /// What to do.
    pub decision: Decision,
}

/// How a send ended, for the estimates and the ejection of outliers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The whole answer arrived and the executor was sound.
    Answered,
    /// An answer arrived that blames the executor, such as a status of 500.
    Failed,
    /// The executor refused the request without running it.
    Refused,
    /// The connection broke, stayed silent or answered another request.
    Broken,
    /// The caller gave up, which says nothing about the executor.
    Cancelled,
}
