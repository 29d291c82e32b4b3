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
use link::server::IncomingRequest;
use link::server::OutgoingResponse;
use model::Map;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::outside::Ask;
use crate::outside::Hosts;

/// The largest message, in bytes.
const MOST_MESSAGE_BYTES: usize = 64 << 10;
/// The path that messages are sent to.
const PATH: &str = "/peer";

/// A question to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
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
pub enum Reply {
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
    pub life: u64,
    /// The epoch under which it owns the executors, 0 if it does not.
    pub epoch: u64,
    /// How long ago the store last confirmed that, in milliseconds.
    pub confirmed_ms: u64,
}

/// Asks another host.
pub async fn ask(
    node: &Node,
    address: &Arc<str>,
    question: Question,
    timeout: Duration,
) -> Option<Reply> {
    let ask = Ask {
        address: address.clone(),
        question,
        timeout,
    };
    (node.outside.hosts.ask)(ask).await
}

/// Returns the other hosts as they are reached over the network.
#[must_use]
pub fn over_http(client: &Client) -> Hosts {
    let client = client.clone();
    Hosts {
        ask: Box::new(move |ask| call(client.clone(), ask).boxed_local()),
    }
}

async fn call(client: Client, ask: Ask) -> Option<Reply> {
    let body = serde_json::to_vec(&ask.question).ok()?;
    let request = Request::post(PATH)
        .header(http::header::HOST, &*ask.address)
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answer = client.call(&ask.address, request, ask.timeout).await.ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

/// Answers another host.
pub async fn answer(node: Rc<Node>, req: IncomingRequest) -> OutgoingResponse {
    let body = Limited::new(req.into_body(), MOST_MESSAGE_BYTES)
        .collect()
        .await;
    let question = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Question>(&body.to_bytes()).ok());
    let Some(question) = question else {
        return status(StatusCode::BAD_REQUEST);
    };
    let reply = reply(&node, &question);
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

/// Returns what this host answers to a question.
#[must_use]
pub fn reply(node: &Node, question: &Question) -> Reply {
    let owner = node.owner();
    match question {
        Question::Ping => Reply::Pong(pong(node)),
        Question::Superseded(epoch) => {
            if let Some(owner) = owner.filter(|owner| owner.epoch < *epoch) {
                owner.end("another owner said that it has begun");
            }
            Reply::Pong(pong(node))
        }
        Question::State(id) => owner.map_or(Reply::NotOwner, |owner| {
            Reply::State(owner.state(*id).map(job::record::letter))
        }),
        Question::Pending => owner.map_or(Reply::NotOwner, |owner| Reply::Pending(owner.pending())),
    }
}

fn pong(node: &Node) -> Pong {
    let owner = node.owner();
    Pong {
        life: node.identity.life,
        epoch: owner.as_ref().map_or(0, |owner| owner.epoch),
        confirmed_ms: owner.map_or(0, |owner| {
            model::time::millis(node.now().since(owner.confirmed()))
        }),
    }
}
