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
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time for the answer to the question for a process's identity.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);
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
    /// No connection could be opened, or the process did not state its identity on it in time. The call was
    /// not sent, so that it was not executed.
    #[display("the call was not sent")]
    NotSent,
    /// No complete response arrived, because the connection failed, the response was too large or
    /// the timeout expired. The call may have been executed.
    #[display("the call was sent and not answered")]
    Unanswered,
    /// Another process answers at the address than the one that the call is meant for. The call was
    /// not sent.
    #[display("another process answers at the address")]
    OtherProcess,
}

/// The process that a call is meant for, where a later process at the same address must not receive it.
#[derive(Clone, Copy)]
pub struct ExpectedProcess<'p> {
    /// The identity that the process states. Processes at one address have different ones.
    pub identity: u64,
    /// Returns a request that asks a process for its identity and changes nothing there.
    pub greeting: &'p dyn Fn() -> Result<Request<Full<Bytes>>, CallError>,
    /// Reads the identity from a successful response to the greeting.
    pub identify: fn(&Response) -> Option<u64>,
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

/// What came of a call that only one process may receive.
#[derive(Clone, Debug)]
pub enum ProcessAnswer {
    /// The process has answered the call.
    Answered(Response),
    /// Whichever process is there has refused to state its identity. The call was not sent.
    Refused(Response),
}

/// The answer to the question for the identity of a process.
enum Greeted {
    Identified(Connection),
    Refused(Response),
}

/// An open connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The identity that the process has stated on this connection, if it was asked.
    identity: Option<u64>,
    /// Carries the connection, and closes it when it is dropped.
    _task: AbortOnDropHandle<()>,
}

struct IdleConnection {
    connection: Connection,
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
        let deadlines = Deadlines::new(limits);
        let connection = match self.take_idle(address, |_| true) {
            Some(connection) => connection,
            None => connect(address, deadlines.response).await?,
        };
        self.call_on(connection, address, request, deadlines).await
    }

    /// Like [`Self::call`], for a call that only one process may receive.
    ///
    /// The call is sent on a connection over which that process has stated its identity. A connection
    /// ends with its process, so that a later process never receives the call, however late it arrives.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::OtherProcess`] if another process answers the greeting,
    /// [`CallError::NotSent`] if none does in time, and otherwise the errors of [`Self::call`].
    pub async fn call_process(
        &self,
        address: &Arc<str>,
        process: ExpectedProcess<'_>,
        request: Request<Full<Bytes>>,
        limits: TimeLimits,
    ) -> Result<ProcessAnswer, CallError> {
        let deadlines = Deadlines::new(limits);
        let expected = Some(process.identity);
        if let Some(connection) = self.take_idle(address, |idle| idle.identity == expected) {
            let response = self.call_on(connection, address, request, deadlines).await;
            return response.map(ProcessAnswer::Answered);
        }
        let connection = connect(address, deadlines.response).await?;
        let greeting = (process.greeting)()?;
        let greeted = self.greet(connection, address, greeting, process.identify);
        let greeted = tokio::time::timeout_at(deadlines.response, greeted).await;
        match greeted.map_err(|_| CallError::NotSent)?? {
            Greeted::Refused(response) => Ok(ProcessAnswer::Refused(response)),
            Greeted::Identified(connection) if connection.identity == expected => {
                let response = self.call_on(connection, address, request, deadlines).await;
                response.map(ProcessAnswer::Answered)
            }
            Greeted::Identified(connection) => {
                self.close_idle(address);
                self.return_to_pool(address, connection);
                Err(CallError::OtherProcess)
            }
        }
    }

    /// Asks the process at the other end of a new connection for its identity. If the caller stops waiting,
    /// the connection joins the pool once the answer is there, so that the next call on a slow path is not
    /// short of time again.
    async fn greet(
        &self,
        mut connection: Connection,
        address: &Arc<str>,
        greeting: Request<Full<Bytes>>,
        identify: fn(&Response) -> Option<u64>,
    ) -> Result<Greeted, CallError> {
        let (client, address) = (self.clone(), address.clone());
        let (tx, rx) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let deadlines = Deadlines::new(TimeLimits::total(GREETING_TIMEOUT));
            let answer = exchange(&mut connection, greeting, deadlines).await;
            let greeted = answer.map(|answer| {
                if !answer.status.is_success() {
                    return Greeted::Refused(answer);
                }
                connection.identity = identify(&answer);
                Greeted::Identified(connection)
            });
            if let Err(Ok(Greeted::Identified(connection))) = tx.send(greeted) {
                client.return_to_pool(&address, connection);
            }
        });
        let greeted = rx.await.unwrap_or(Err(CallError::NotSent));
        greeted.map_err(|_| CallError::NotSent)
    }

    /// Sends a request on a connection, which returns to the pool after a complete response.
    async fn call_on(
        &self,
        mut connection: Connection,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        deadlines: Deadlines,
    ) -> Result<Response, CallError> {
        let response = exchange(&mut connection, request, deadlines).await?;
        self.return_to_pool(address, connection);
        Ok(response)
    }

    /// Closes all idle connections to `address`, for example after a call without a response.
    pub fn close_idle(&self, address: &str) {
        self.pool.borrow_mut().remove(address);
    }

    /// Takes the connection that was used last among the idle ones that are `suitable`.
    fn take_idle(
        &self,
        address: &Arc<str>,
        suitable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(address)?;
        idle.retain(|it| it.since.elapsed() < IDLE_TIMEOUT && it.connection.sender.is_ready());
        let latest = idle.iter().rposition(|it| suitable(&it.connection))?;
        Some(idle.remove(latest).connection)
    }

    fn return_to_pool(&self, address: &Arc<str>, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut pool = self.pool.borrow_mut();
        let idle = pool.entry(address.clone()).or_default();
        idle.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
        // The oldest is the likeliest to have died without a sign.
        let surplus = idle.len().saturating_sub(MAX_IDLE_PER_ADDRESS);
        idle.drain(..surplus);
    }
}

/// When a call ends at the latest.
#[derive(Clone, Copy)]
struct Deadlines {
    /// Until when the response has to begin.
    response: Instant,
    /// Until when it has to be complete.
    total: Instant,
    /// How long two parts of its body may be apart.
    idle: Duration,
}

impl Deadlines {
    fn new(limits: TimeLimits) -> Self {
        let now = Instant::now();
        Self {
            response: now + limits.response.min(limits.total),
            total: now + limits.total,
            idle: limits.idle,
        }
    }
}

/// Sends a request and reads the complete response.
async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    deadlines: Deadlines,
) -> Result<Response, CallError> {
    let response = connection.sender.send_request(request);
    let response = tokio::time::timeout_at(deadlines.response, response)
        .await
        .map_err(|_| CallError::Unanswered)?
        .map_err(|_| CallError::Unanswered)?;
    let (head, body) = response.into_parts();
    let body = read_body(body, deadlines.idle);
    let body = tokio::time::timeout_at(deadlines.total, body)
        .await
        .map_err(|_| CallError::Unanswered)??;
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
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

async fn connect(address: &str, deadline: Instant) -> Result<Connection, CallError> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(limit, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    // Otherwise what is left of a call that was given up is sent after the connection is closed, and may
    // reach the server seconds later, once a cut has healed. The call works without the option.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    // Without `TCP_NODELAY` Nagle's algorithm delays small requests. The connection also works
    // if the option cannot be set.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::NotSent)?;
    let task = tokio::task::spawn_local(async move {
        // A connection error also fails the call in progress, which returns it to the caller.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        identity: None,
        _task: AbortOnDropHandle::new(task),
    })
}
