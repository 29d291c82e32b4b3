//! An HTTP/1.1 client that pools idle connections by address.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use model::Map;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is not reused, because a device on the network path may have
/// dropped its state.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections in the pool per address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened. Nothing was sent, so the call was not executed.
    #[display("no connection could be opened")]
    NotSent,
    /// No complete response arrived, because the connection failed, the response was too large or
    /// the timeout expired. The call may have been executed.
    #[display("the call was sent and not answered")]
    Unanswered,
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Until the response begins, including the time to open a connection.
    pub response: Duration,
    /// Between two parts of the response's body.
    pub idle: Duration,
    /// Until the response is complete.
    pub total: Duration,
}

impl TimeLimits {
    /// Returns limits that allow a call this much time in all.
    #[must_use]
    pub const fn total(total: Duration) -> Self {
        Self {
            response: total,
            idle: total,
            total,
        }
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When the connection was returned to the pool.
    since: Instant,
}

/// An HTTP client. Clones share one connection pool.
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
    /// Creates a client with an empty connection pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request to `address` and reads the complete response.
    ///
    /// The connection returns to the pool only after a complete response. New connections are
    /// driven by a task started with [`tokio::task::spawn_local`].
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no connection could be opened, and
    /// [`CallError::Unanswered`] if no complete response arrived within the limits.
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        limits: TimeLimits,
    ) -> Result<Response, CallError> {
        let started = Instant::now();
        let response_deadline = started + limits.response.min(limits.total);
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address, response_deadline).await?,
        };
        let response = tokio::time::timeout_at(response_deadline, sender.send_request(request))
            .await
            .map_err(|_| CallError::Unanswered)?
            .map_err(|_| CallError::Unanswered)?;
        let (head, body) = response.into_parts();
        let body = read_body(body, limits.idle);
        let body = tokio::time::timeout_at(started + limits.total, body)
            .await
            .map_err(|_| CallError::Unanswered)??;
        self.return_to_pool(address, sender);
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Closes all idle connections to `address`, for example after a call without a response.
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

/// Reads a body completely; `idle` limits the time between two parts of it.
async fn read_body(body: Incoming, idle: Duration) -> Result<Bytes, CallError> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle, body.frame())
            .await
            .map_err(|_| CallError::Unanswered)?;
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buf.extend_from_slice(data);
                }
            }
            Some(Err(_)) => return Err(CallError::Unanswered),
            None => return Ok(buf.freeze()),
        }
    }
}

async fn connect(address: &str, deadline: Instant) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    // Without `TCP_NODELAY` Nagle's algorithm delays small requests. The connection also works
    // if the option cannot be set.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    tokio::task::spawn_local(async move {
        // A connection error also fails the call in progress, which returns it to the caller.
        let _ = connection.await;
    });
    Ok(sender)
}
