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
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// The largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// What a call was answered with.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[display("no connection could be opened")]
    NotSent,
    /// The call may have been carried out.
    #[display("the call was sent and not answered")]
    Unanswered,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// A client; clones share the connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Rc<RefCell<Map<Arc<str>, Vec<IdleConnection>>>>,
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
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address, deadline).await?,
        };
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|_| CallError::Unanswered)?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|_| CallError::Unanswered)?;
            Ok(Response {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let response = tokio::time::timeout_at(deadline, exchange)
            .await
            .map_err(|_| CallError::Unanswered)??;
        self.return_to_pool(address, sender);
        Ok(response)
    }

    /// Drops all idle connections to an address, as after an answer that did not come.
    pub fn close_idle(&self, address: &str) {
        self.pool.borrow_mut().remove(address);
    }

    fn take_idle(&self, address: &Arc<str>) -> Option<SendRequest<Full<Bytes>>> {
        let mut pool = self.pool.borrow_mut();
        let connections = pool.get_mut(address)?;
        while let Some(candidate) = connections.pop() {
            if candidate.since.elapsed() < IDLE_TIMEOUT && candidate.sender.is_ready() {
                return Some(candidate.sender);
            }
        }
        None
    }

    fn return_to_pool(&self, address: &Arc<str>, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut pool = self.pool.borrow_mut();
        let connections = pool.entry(address.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                sender,
                since: Instant::now(),
            });
        }
    }
}

async fn connect(address: &str, deadline: Instant) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    // Without it small calls wait for each other; a socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    tokio::task::spawn_local(async move {
        // A broken connection shows as a failed call, where it is told.
        let _ = connection.await;
    });
    Ok(sender)
}
