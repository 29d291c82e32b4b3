//! Requests between hosts.
//!
//! Hosts only send requests to the owner and, during a takeover, to the earlier owner. Nothing
//! durable depends on the answers: everything can be read from the store instead. Messages are JSON
//! over the `link` client; see `docs/JOBS.md` for why this is not `jsonrpsee`.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use job::id::JobId;
use link::client::Client;
use link::client::TimeLimits;
use link::server::IncomingRequest;
use link::server::OutgoingResponse;
use model::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::AdmitReply;
use crate::admission::AdmitRequest;
use crate::admission::EstimateReport;
use crate::dependencies::PeerCall;
use crate::dependencies::PeerClient;
use crate::document;
use crate::document::packed::PackedPlan;
use crate::hosts::HostReport;
use crate::node::Node;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Memory that a decoded message takes at most for each of its bytes, with the parser's buffer.
const DECODED_BYTES_PER_BYTE: usize = 3;
/// HTTP path for messages.
const PATH: &str = "/peer";

/// A request to another host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Asks for the incarnation of the process and whether it owns the executors.
    Ping,
    /// The same, and reports that the host lives. Earlier releases do not know it, so that it is sent
    /// only to an owner that [accepts it](Pong::accepts_reports).
    Report(HostReport),
    /// Asks for the state of a job.
    State(JobId),
    /// Asks for the number of jobs per queue that have not started.
    Pending,
    /// Announces an owner with this epoch; an owner with a lower epoch has to stop.
    Superseded(u64),
    /// Asks the owner for the operators' document.
    Document,
    /// Asks the owner whether a job is refused. Owners of earlier releases do not know it and send no
    /// estimate that leads to it.
    Admit(AdmitRequest),
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerResponse {
    /// Incarnation and ownership of the answering process.
    Pong(Pong),
    /// State of a job as the code used in its record, or `None` if the owner does not know the
    /// job.
    State(Option<char>),
    /// Number of jobs that have not started, by queue.
    Pending(Map<Arc<str>, usize>),
    /// The operators' document in force at the owner.
    Document(PackedPlan),
    /// Whether a job is refused.
    Admission(AdmitReply),
    /// The host does not own the executors, or has no document to send.
    NotOwner,
}

/// Incarnation and ownership of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Epoch with which it owns the executors, or 0.
    pub epoch: u64,
    /// Time since the store last confirmed the ownership, in milliseconds.
    pub confirmed_ms: u64,
    /// How long the asking host waits before its next ping, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ping_interval_ms: Option<u64>,
    /// The document of the process; `None` from earlier releases and before it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<DocumentInfo>,
    /// Whether the process accepts [`PeerRequest::Report`].
    #[serde(default)]
    pub accepts_reports: bool,
    /// How long new jobs would wait; `None` from earlier releases, from hosts that are not the owner
    /// and while the owner has no estimate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admission: Option<EstimateReport>,
}

/// What a host reports about its document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentInfo {
    /// The version of the document in force.
    pub version: u64,
    /// The version of the store up to which the host has followed the document.
    pub store_version: u64,
    /// Time since the store last confirmed that the document is current, in milliseconds.
    pub age_ms: u64,
    /// The host's shortest round trip to the store, in milliseconds.
    pub store_round_trip_ms: u64,
}

/// Sends a request to another host.
pub async fn send(
    node: &Node,
    address: &Arc<str>,
    request: PeerRequest,
    limits: TimeLimits,
) -> Option<PeerResponse> {
    let call = PeerCall {
        address: address.clone(),
        request,
        limits,
    };
    (node.dependencies.peers.call)(call).await
}

/// Returns a client that reaches the other hosts over HTTP.
#[must_use]
pub fn over_http(client: &Client) -> PeerClient {
    let client = client.clone();
    PeerClient {
        call: Box::new(move |peer_call| call(client.clone(), peer_call).boxed_local()),
    }
}

async fn call(client: Client, peer_call: PeerCall) -> Option<PeerResponse> {
    let body = serde_json::to_vec(&peer_call.request).ok()?;
    let http_request = Request::post(PATH)
        .header(http::header::HOST, &*peer_call.address)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answer = client
        .call(&peer_call.address, http_request, peer_call.limits)
        .await
        .ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

/// Handles an HTTP request from another host.
pub async fn handle(node: Rc<Node>, req: IncomingRequest) -> OutgoingResponse {
    let mut body = match req.into_body().read(MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(error) => return status(error.status()),
    };
    if !body.reserve(body.len() * DECODED_BYTES_PER_BYTE) {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Ok(request) = serde_json::from_slice::<PeerRequest>(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let reply = respond(&node, &request);
    match serde_json::to_vec(&reply) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(status: StatusCode) -> OutgoingResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns the response to a request.
#[must_use]
pub fn respond(node: &Node, request: &PeerRequest) -> PeerResponse {
    let owner = node.owner();
    match request {
        PeerRequest::Ping => PeerResponse::Pong(pong(node)),
        PeerRequest::Report(report) => {
            node.known_hosts.record(report, node.now());
            let interval = node.known_hosts.ping_interval(&report.info);
            PeerResponse::Pong(Pong {
                ping_interval_ms: Some(model::time::millis(interval)),
                ..pong(node)
            })
        }
        PeerRequest::Superseded(epoch) => {
            if let Some(owner) = owner.filter(|owner| owner.epoch < *epoch) {
                owner.end("another owner announced its takeover");
            }
            PeerResponse::Pong(pong(node))
        }
        PeerRequest::State(id) => owner.map_or(PeerResponse::NotOwner, |owner| {
            PeerResponse::State(owner.state(*id).map(job::record::state_code))
        }),
        PeerRequest::Pending => owner.map_or(PeerResponse::NotOwner, |owner| {
            PeerResponse::Pending(owner.pending())
        }),
        PeerRequest::Document => owner
            .and_then(|_| document::packed(node))
            .map_or(PeerResponse::NotOwner, PeerResponse::Document),
        PeerRequest::Admit(request) => owner.map_or(PeerResponse::NotOwner, |owner| {
            PeerResponse::Admission(owner.admit(request))
        }),
    }
}

fn pong(node: &Node) -> Pong {
    let owner = node.owner();
    Pong {
        incarnation: node.identity.incarnation,
        epoch: owner.as_ref().map_or(0, |owner| owner.epoch),
        admission: owner.as_ref().and_then(|owner| owner.admission_estimate()),
        confirmed_ms: owner.map_or(0, |owner| {
            model::time::millis(node.now().since(owner.confirmed_at()))
        }),
        ping_interval_ms: None,
        document: document::info(node),
        accepts_reports: true,
    }
}
