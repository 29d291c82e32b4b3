//! A client that keeps idle connections by address.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use model::Map;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a connection may take to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// An idle connection that is older is not used again; something between both ends may have
/// forgotten it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The most idle connections that are kept to one address.
const MOST_IDLE: usize = 4;
/// The largest answer that is read, in bytes.
const MOST_ANSWER_BYTES: usize = 4 << 20;

/// What a call was answered with.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be opened; nothing was sent.
    #[display("no connection could be opened")]
    NotSent,
    /// The call may have been carried out.
    #[display("the call was sent and not answered")]
    Unanswered,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// A client; clones share the connections.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<Map<Arc<str>, Vec<Idle>>>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Client")
    }
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request to an address and reads the whole answer, within `timeout`. A connection on
    /// which an answer is missing is never used again.
    ///
    /// # Errors
    ///
    /// When there was no answer in time; the error tells whether anything was sent.
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        let deadline = Instant::now() + timeout;
        let mut sender = match self.idle(address) {
            Some(sender) => sender,
            None => connect(address, deadline).await?,
        };
        let exchange = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|_| CallFailure::Unanswered)?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MOST_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|_| CallFailure::Unanswered)?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let answer = tokio::time::timeout_at(deadline, exchange)
            .await
            .map_err(|_| CallFailure::Unanswered)??;
        self.keep(address, sender);
        Ok(answer)
    }

    /// Drops all idle connections to an address, as after an answer that did not come.
    pub fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    fn idle(&self, address: &Arc<str>) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(address)?;
        while let Some(candidate) = kept.pop() {
            if candidate.since.elapsed() < IDLE_TIMEOUT && candidate.sender.is_ready() {
                return Some(candidate.sender);
            }
        }
        None
    }

    fn keep(&self, address: &Arc<str>, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address.clone()).or_default();
        if kept.len() < MOST_IDLE {
            kept.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }
}

async fn connect(
    address: &str,
    deadline: Instant,
) -> Result<SendRequest<Full<Bytes>>, CallFailure> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| CallFailure::NotSent)?
        .map_err(|_| CallFailure::NotSent)?;
    // Without it small calls wait for each other; a socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallFailure::NotSent)?;
    tokio::task::spawn_local(async move {
        // A broken connection shows as a failed call, where it is told.
        let _ = connection.await;
    });
    Ok(sender)
}
