//! What hosts say to each other.
//!
//! Hosts only talk to the owner, and nothing that has to last depends on it: whatever is not
//! answered here can be read from the store. Messages are JSON over the `link` client; see
//! `docs/JOBS.md` for why this is not `jsonrpsee`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use job::id::JobId;
use link::client::Client;
use link::server::Incoming1;
use link::server::Outgoing;
use model::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::dependencies::PeerCall;
use crate::dependencies::PeerClient;
use crate::node::Node;

/// The largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The path that messages are sent to.
const PATH: &str = "/peer";

/// A question to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Which life answers, and whether it owns the executors.
    Ping,
    /// How a job stands.
    State(JobId),
    /// How many jobs of each queue have not started.
    Pending,
    /// An owner of this epoch has begun; an earlier one has to stop.
    Superseded(u64),
}

/// An answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerResponse {
    /// The life that answers.
    Pong(Pong),
    /// How the job stands: a letter as in the job's record; absent when it is not known.
    State(Option<char>),
    /// Jobs that have not started, by queue.
    Pending(Map<Arc<str>, usize>),
    /// This host does not own the executors.
    NotOwner,
}

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The epoch under which it owns the executors, 0 if it does not.
    pub epoch: u64,
    /// How long ago the store last confirmed that, in milliseconds.
    pub confirmed_ms: u64,
}

/// Asks another host.
pub async fn send(
    node: &Node,
    address: &Arc<str>,
    request: PeerRequest,
    timeout: Duration,
) -> Option<PeerResponse> {
    let call = PeerCall {
        address: address.clone(),
        request,
        timeout,
    };
    (node.dependencies.peers.call)(call).await
}

/// Returns the other hosts as they are reached over the network.
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
        .call(&peer_call.address, http_request, peer_call.timeout)
        .await
        .ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

/// Answers another host.
pub async fn handle(node: Rc<Node>, req: Incoming1) -> Outgoing {
    let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let request = body
        .ok()
        .and_then(|body| serde_json::from_slice::<PeerRequest>(&body.to_bytes()).ok());
    let Some(request) = request else {
        return status(StatusCode::BAD_REQUEST);
    };
    let reply = respond(&node, &request);
    match serde_json::to_vec(&reply) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(status: StatusCode) -> Outgoing {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns what this host answers to a question.
#[must_use]
pub fn respond(node: &Node, request: &PeerRequest) -> PeerResponse {
    let owner = node.owner();
    match request {
        PeerRequest::Ping => PeerResponse::Pong(pong(node)),
        PeerRequest::Superseded(epoch) => {
            if let Some(owner) = owner.filter(|owner| owner.epoch < *epoch) {
                owner.end("another owner said that it has begun");
            }
            PeerResponse::Pong(pong(node))
        }
        PeerRequest::State(id) => owner.map_or(PeerResponse::NotOwner, |owner| {
            PeerResponse::State(owner.state(*id).map(job::record::letter))
        }),
        PeerRequest::Pending => owner.map_or(PeerResponse::NotOwner, |owner| {
            PeerResponse::Pending(owner.pending())
        }),
    }
}

fn pong(node: &Node) -> Pong {
    let owner = node.owner();
    Pong {
        incarnation: node.identity.incarnation,
        epoch: owner.as_ref().map_or(0, |owner| owner.epoch),
        confirmed_ms: owner.map_or(0, |owner| {
            model::time::millis(node.now().since(owner.confirmed_at()))
        }),
    }
}
