//! Requests to the router and its decisions.

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

/// The properties of a request that determine its routing.
#[derive(Clone, Debug, Default)]
pub struct RouteRequest {
    /// Path of the request; the longest matching route prefix determines the upstream.
    pub path: String,
    /// Name of the caller, if the request has one.
    pub caller: Option<String>,
    /// Timeout set by the caller; without it, the deadline of the upstream applies.
    pub timeout: Option<Duration>,
    /// Number of times that daemons have forwarded the request.
    pub hops: u8,
    /// Document version of the daemon that forwarded the request, 0 if none did.
    pub version: DocVersion,
}

/// Permission to send one request to one executor. It occupies a slot until
/// [`crate::Router::finish`] releases it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Key of the executor.
    pub executor: ExecutorKey,
    /// Name of the executor.
    pub executor_id: ExecutorId,
    /// Address at which the executor accepts requests.
    pub address: SocketAddr,
    /// Whether the executor is in another region than this daemon.
    pub cross_region: bool,
    /// When the permission was granted; the service time is measured from here.
    pub granted_at: Mono,
    /// Deadline for the response.
    pub deadline: Mono,
}

/// Why a request that was admitted before is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// No executor has received the request, for example because the connection was refused.
    NotReceived,
    /// An executor received the request and refused it, or may have received it.
    Retry,
    /// The request is in progress at an executor that is slow to answer it.
    Hedge,
}

impl Resend {
    /// Returns whether the send is withdrawn from the retry budget.
    #[must_use]
    pub const fn charges_budget(self) -> bool {
        match self {
            Self::NotReceived => false,
            Self::Retry | Self::Hedge => true,
        }
    }

    /// Returns whether the request waits at the head of the queue if no slot is free.
    #[must_use]
    pub const fn may_wait(self) -> bool {
        match self {
            Self::NotReceived | Self::Retry => true,
            Self::Hedge => false,
        }
    }
}

/// Another daemon that a request is forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Address at which the daemon accepts requests of callers.
    pub address: SocketAddr,
    /// Whether the daemon is in another region than this one.
    pub cross_region: bool,
    /// Deadline for the response.
    pub deadline: Mono,
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// This daemon has no document yet, or an older one than the daemon that forwarded the request.
    #[display("not ready")]
    NotReady,
    /// This daemon is isolated, or its membership lease has expired.
    #[display("isolated")]
    Isolated,
    /// This daemon is draining and knows no other daemon to forward to.
    #[display("draining")]
    Draining,
    /// No route of the document matches the path.
    #[display("no route")]
    NoRoute,
    /// No daemon of the owning half is known.
    #[display("no owner")]
    NoOwner,
    /// The request was forwarded too often.
    #[display("too many hops")]
    TooManyHops,
    /// The request cannot meet its deadline.
    #[display("deadline")]
    Deadline,
    /// Too many requests are queued, or the caller has used up its share of the queue.
    #[display("overload")]
    Overload,
    /// The upstream has no executors, or all of them are leaving.
    #[display("no executor")]
    NoExecutor,
}

/// A refusal; it guarantees that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay after which the caller may try again.
    pub retry_after: Duration,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to an executor.
    Send(Grant),
    /// Forward the request to another daemon.
    Forward(Peer),
    /// Respond that the request was not run.
    Refuse(Refusal),
    /// Keep the request waiting; a later event resolves the ticket.
    Wait(Ticket),
}

/// The final decision on a waiting request, which is never [`Decision::Wait`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// Ticket of the waiting request.
    pub ticket: Ticket,
    /// What to do with the request now.
    pub decision: Decision,
}

/// How a send ended; updates the latency estimates and the detection of outliers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The complete response arrived and does not indicate a fault of the executor.
    Answered,
    /// The response indicates a fault of the executor, such as status 500.
    Failed,
    /// The executor refused the request without running it.
    Refused,
    /// The connection failed or timed out, or the response belonged to another request.
    Broken,
    /// The caller cancelled the request, which says nothing about the executor.
    Cancelled,
}
