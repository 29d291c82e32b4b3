//! One request on one connection, from sending it to the end of its response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::Inner;
use super::body::RequestBody;
use super::connection::Connection;
use crate::decision::Grant;
use crate::decision::SendOutcome;

/// Maximum number of bytes of an abandoned response that are read to keep its connection usable.
const MAX_DRAIN_BYTES: u64 = 1 << 20;

/// Resource of a request that is in flight at an executor or a peer, released exactly once.
pub(super) enum InFlightGuard {
    /// A slot of an executor; `None` once it was released.
    Slot(Arc<Inner>, Option<Grant>),
    /// One of the requests that are being forwarded to another daemon.
    Forwarded(Arc<Inner>),
}

impl InFlightGuard {
    pub(super) fn slot(inner: &Arc<Inner>, grant: Grant) -> Self {
        Self::Slot(Arc::clone(inner), Some(grant))
    }

    pub(super) fn forwarded(inner: &Arc<Inner>) -> Self {
        inner.forwarding.fetch_add(1, Ordering::AcqRel);
        Self::Forwarded(Arc::clone(inner))
    }

    fn inner(&self) -> Arc<Inner> {
        match self {
            Self::Slot(inner, _) | Self::Forwarded(inner) => Arc::clone(inner),
        }
    }

    /// Releases the slot and reports how the send ended.
    pub(super) fn finish(mut self, send_outcome: SendOutcome) {
        self.release(send_outcome);
    }

    /// Drops the guard without releasing the slot, because another guard for it follows.
    pub(super) fn disarm(mut self) {
        if let Self::Slot(_, grant) = &mut self {
            grant.take();
        }
    }

    fn release(&mut self, send_outcome: SendOutcome) {
        if let Self::Slot(inner, grant) = self
            && let Some(grant) = grant.take()
        {
            inner.with_router(|router, now| router.finish(&grant, send_outcome, now));
            inner.request_ended.notify_waiters();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.release(SendOutcome::Cancelled);
        if let Self::Forwarded(inner) = self {
            inner.forwarding.fetch_sub(1, Ordering::AcqRel);
            inner.request_ended.notify_waiters();
        }
    }
}

/// Destination of a request and the constraints on sending it.
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) cross_region: bool,
    /// Whether the request must not be sent twice.
    pub(super) non_idempotent: bool,
    pub(super) deadline: Instant,
}

/// Why there is no response head.
pub(super) enum SendError {
    /// No byte of the request can have reached the other side; the request may be sent again.
    NotRun {
        /// Error message.
        reason: String,
        /// The request, if it could be recovered.
        request: Option<Box<Request<RequestBody>>>,
    },
    /// At least a part of the request may have been sent.
    Unknown(String),
    /// The body of the caller's request ended early or was too large.
    CallerBody(String),
}

/// A connection with a response in progress.
pub(super) struct Exchange {
    conn: Connection,
    guard: InFlightGuard,
    address: SocketAddr,
}

impl Exchange {
    /// Releases the slot and returns the connection to the pool, after the complete response was
    /// read.
    pub(super) fn complete(self, send_outcome: SendOutcome) {
        let inner = self.guard.inner();
        let max_idle = inner.cfg.limits.max_idle_per_address;
        inner.pool.put(self.address, self.conn, max_idle);
        self.guard.finish(send_outcome);
    }

    /// Releases the slot and closes this connection and all idle ones to the same address.
    pub(super) fn fail(self) {
        drop(self.conn);
        self.guard.inner().pool.close_all(self.address);
        self.guard.finish(SendOutcome::Broken);
    }

    /// Reads the rest of an abandoned response within limits, then releases the slot.
    pub(super) fn drain(self, incoming: Incoming) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let linger_timeout = self.guard.inner().cfg.limits.linger_timeout;
            match tokio::time::timeout(linger_timeout, drain_body(incoming)).await {
                Ok(true) => self.complete(SendOutcome::Cancelled),
                _ => self.guard.finish(SendOutcome::Cancelled),
            }
        });
    }
}

async fn drain_body(mut incoming: Incoming) -> bool {
    let mut left = MAX_DRAIN_BYTES;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let size = frame.data_ref().map_or(0, bytes::Bytes::len) as u64;
        match left.checked_sub(size) {
            Some(remaining) => left = remaining,
            None => return false,
        }
    }
    true
}

/// A response whose head has arrived, and the exchange that its body belongs to.
pub(super) type StartedResponse = (Response<Incoming>, Exchange);

/// A request in flight, which resolves to the head of its response.
///
/// If it is dropped before, it continues in a separate task: the executor works on the request
/// whether or not anybody waits, so the slot stays occupied until the response was read or a limit
/// is reached.
pub(super) struct ResponseFuture {
    running: Option<BoxFuture<'static, Result<StartedResponse, SendError>>>,
}

/// Starts sending a request.
pub(super) fn start_exchange(
    inner: &Arc<Inner>,
    target: Target,
    request: Request<RequestBody>,
    guard: InFlightGuard,
) -> ResponseFuture {
    let inner = Arc::clone(inner);
    let running = async move { exchange(&inner, &target, request, guard).await };
    ResponseFuture {
        running: Some(Box::pin(running)),
    }
}

impl Future for ResponseFuture {
    type Output = Result<StartedResponse, SendError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(running) = &mut self.running else {
            return Poll::Pending;
        };
        let result = ready!(running.as_mut().poll(cx));
        self.running = None;
        Poll::Ready(result)
    }
}

impl Drop for ResponseFuture {
    fn drop(&mut self) {
        let (Some(running), Ok(runtime)) = (self.running.take(), Handle::try_current()) else {
            return;
        };
        runtime.spawn(async move {
            if let Ok((response, exchange)) = running.await {
                exchange.drain(response.into_body());
            }
        });
    }
}

async fn exchange(
    inner: &Arc<Inner>,
    target: &Target,
    request: Request<RequestBody>,
    guard: InFlightGuard,
) -> Result<StartedResponse, SendError> {
    let limits = &inner.cfg.limits;
    let max_idle = if target.non_idempotent {
        limits.non_idempotent_idle_timeout
    } else {
        limits.idle_timeout
    };
    let Some(conn) = inner.pool.take(target.address, max_idle).await else {
        return open(inner, target, request, guard).await;
    };
    match send(inner, target, conn, request, guard).await {
        Err((
            SendError::NotRun {
                request: Some(request),
                ..
            },
            Some(guard),
        )) => open(inner, target, *request, guard).await,
        other => other.map_err(|(failure, _)| failure),
    }
}

async fn open(
    inner: &Arc<Inner>,
    target: &Target,
    request: Request<RequestBody>,
    guard: InFlightGuard,
) -> Result<StartedResponse, SendError> {
    let cross_region_bytes = target
        .cross_region
        .then(|| Arc::clone(&inner.cross_region_bytes));
    match Connection::open(target.address, cross_region_bytes, &inner.cfg.limits).await {
        Ok(conn) => send(inner, target, conn, request, guard)
            .await
            .map_err(|(failure, _)| failure),
        Err(error) => {
            guard.finish(SendOutcome::Broken);
            let reason = error.to_string();
            let request = Some(Box::new(request));
            Err(SendError::NotRun { reason, request })
        }
    }
}

/// Sends a request on one connection. An error contains the guard only if the request was recovered
/// before any byte was written, as after a connection was closed while idle, which does not
/// indicate a fault of the executor.
async fn send(
    inner: &Arc<Inner>,
    target: &Target,
    mut conn: Connection,
    request: Request<RequestBody>,
    guard: InFlightGuard,
) -> Result<StartedResponse, (SendError, Option<InFlightGuard>)> {
    let before = conn.written();
    let sent = conn.sender.try_send_request(request);
    let until = target.deadline + inner.cfg.limits.linger_timeout;
    match tokio::time::timeout_at(until, sent).await {
        Ok(Ok(response)) => {
            let address = target.address;
            let exchange = Exchange {
                conn,
                guard,
                address,
            };
            Ok((response, exchange))
        }
        Ok(Err(mut failed)) => {
            let request = failed.take_message().map(Box::new);
            let reason = failed.error().to_string();
            let by_caller = failed.error().is_user();
            let untouched = conn.written() == before;
            drop(conn);
            if untouched && request.is_some() {
                return Err((SendError::NotRun { reason, request }, Some(guard)));
            }
            if by_caller {
                guard.finish(SendOutcome::Cancelled);
                return Err((SendError::CallerBody(reason), None));
            }
            inner.pool.close_all(target.address);
            guard.finish(SendOutcome::Broken);
            if untouched {
                return Err((SendError::NotRun { reason, request }, None));
            }
            Err((SendError::Unknown(reason), None))
        }
        Err(_) => {
            drop(conn);
            inner.pool.close_all(target.address);
            guard.finish(SendOutcome::Broken);
            Err((SendError::Unknown("no answer in time".to_owned()), None))
        }
    }
}

/// Returns whether the end of the body can be distinguished from a closed connection.
pub(super) fn is_length_delimited(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .contains_key(http::header::CONTENT_LENGTH)
        || response
            .headers()
            .contains_key(http::header::TRANSFER_ENCODING)
        || response.body().is_end_stream()
}
