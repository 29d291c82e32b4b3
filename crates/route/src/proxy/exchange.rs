//! One request on one connection, from its sending to the end of its answer.

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
use super::body::Outgoing;
use super::conn::Conn;
use crate::verdict::Finish;
use crate::verdict::Grant;

/// The most bytes of an unwanted answer that are read to keep its connection.
const MAX_DRAIN: u64 = 1 << 20;

/// What a request holds while it is at an executor or a peer; given back exactly once.
pub(super) enum Hold {
    /// A slot of an executor.
    Slot(Arc<Inner>, Option<Grant>),
    /// One of the requests passed to another daemon.
    Passing(Arc<Inner>),
}

impl Hold {
    pub(super) fn slot(inner: &Arc<Inner>, grant: Grant) -> Self {
        Self::Slot(Arc::clone(inner), Some(grant))
    }

    pub(super) fn passing(inner: &Arc<Inner>) -> Self {
        inner.passing.fetch_add(1, Ordering::AcqRel);
        Self::Passing(Arc::clone(inner))
    }

    fn inner(&self) -> Arc<Inner> {
        match self {
            Self::Slot(inner, _) | Self::Passing(inner) => Arc::clone(inner),
        }
    }

    /// Gives the slot back and says how its use ended.
    pub(super) fn finish(mut self, finish: Finish) {
        self.give_back(finish);
    }

    /// Leaves the slot taken, because another hold on it follows.
    pub(super) fn hand_over(mut self) {
        if let Self::Slot(_, grant) = &mut self {
            grant.take();
        }
    }

    fn give_back(&mut self, finish: Finish) {
        if let Self::Slot(inner, grant) = self
            && let Some(grant) = grant.take()
        {
            inner.with(|router, now| router.finish(&grant, finish, now));
            inner.ended.notify_waiters();
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.give_back(Finish::Cancelled);
        if let Self::Passing(inner) = self {
            inner.passing.fetch_sub(1, Ordering::AcqRel);
            inner.ended.notify_waiters();
        }
    }
}

/// Where a request goes and within which bounds.
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) far: bool,
    /// Whether the request must not be sent twice.
    pub(super) once: bool,
    pub(super) deadline: Instant,
}

/// Why no head of an answer came.
pub(super) enum Failure {
    /// No byte of the request can have reached the other side; the request may be sent again.
    NotRun {
        /// What happened.
        reason: String,
        /// The request, where it could be recovered.
        request: Option<Box<Request<Outgoing>>>,
    },
    /// Some of it was sent.
    Lost(String),
    /// The body of the caller broke off or was too large.
    Caller(String),
}

/// A connection with an answer under way.
pub(super) struct Exchange {
    conn: Conn,
    hold: Hold,
    address: SocketAddr,
}

impl Exchange {
    /// Gives back the slot and keeps the connection, after the whole answer was read.
    pub(super) fn complete(self, finish: Finish) {
        let inner = self.hold.inner();
        let max_idle = inner.cfg.bounds.max_idle;
        inner.pool.put(self.address, self.conn, max_idle);
        self.hold.finish(finish);
    }

    /// Gives back the slot and closes this and all idle connections to the same address.
    pub(super) fn fail(self) {
        drop(self.conn);
        self.hold.inner().pool.purge(self.address);
        self.hold.finish(Finish::Broken);
    }

    /// Reads the rest of an answer that nobody wants, within bounds, then gives back the slot.
    pub(super) fn drain(self, incoming: Incoming) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let linger = self.hold.inner().cfg.bounds.linger;
            match tokio::time::timeout(linger, read_all(incoming)).await {
                Ok(true) => self.complete(Finish::Cancelled),
                _ => self.hold.finish(Finish::Cancelled),
            }
        });
    }
}

async fn read_all(mut incoming: Incoming) -> bool {
    let mut left = MAX_DRAIN;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let size = frame.data_ref().map_or(0, bytes::Bytes::len) as u64;
        match left.checked_sub(size) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}

/// The head of an answer, and the exchange that its body belongs to.
pub(super) type Headed = (Response<Incoming>, Exchange);

/// A request under way to its answer's head.
///
/// If it is dropped before, it goes on in a task of its own: the executor works on the request whether
/// or not anybody waits, so its slot stays taken until the answer was read or the bounds are over.
pub(super) struct Pending {
    running: Option<BoxFuture<'static, Result<Headed, Failure>>>,
}

/// Begins to send a request.
pub(super) fn launch(
    inner: &Arc<Inner>,
    target: Target,
    request: Request<Outgoing>,
    hold: Hold,
) -> Pending {
    let inner = Arc::clone(inner);
    let running = async move { exchange(&inner, &target, request, hold).await };
    Pending {
        running: Some(Box::pin(running)),
    }
}

impl Future for Pending {
    type Output = Result<Headed, Failure>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(running) = &mut self.running else {
            return Poll::Pending;
        };
        let result = ready!(running.as_mut().poll(cx));
        self.running = None;
        Poll::Ready(result)
    }
}

impl Drop for Pending {
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
    request: Request<Outgoing>,
    hold: Hold,
) -> Result<Headed, Failure> {
    let bounds = &inner.cfg.bounds;
    let max_idle = if target.once {
        bounds.idle_once
    } else {
        bounds.idle
    };
    let Some(conn) = inner.pool.take(target.address, max_idle).await else {
        return open(inner, target, request, hold).await;
    };
    match send(inner, target, conn, request, hold).await {
        Err((
            Failure::NotRun {
                request: Some(request),
                ..
            },
            Some(hold),
        )) => open(inner, target, *request, hold).await,
        other => other.map_err(|(failure, _)| failure),
    }
}

async fn open(
    inner: &Arc<Inner>,
    target: &Target,
    request: Request<Outgoing>,
    hold: Hold,
) -> Result<Headed, Failure> {
    let far = target.far.then(|| Arc::clone(&inner.far_bytes));
    match Conn::open(target.address, far, &inner.cfg.bounds).await {
        Ok(conn) => send(inner, target, conn, request, hold)
            .await
            .map_err(|(failure, _)| failure),
        Err(error) => {
            hold.finish(Finish::Broken);
            let reason = error.to_string();
            let request = Some(Box::new(request));
            Err(Failure::NotRun { reason, request })
        }
    }
}

/// Sends on one connection. The hold comes back with a failure only if the request was recovered
/// from a connection that had been idle, which says nothing about the executor.
async fn send(
    inner: &Arc<Inner>,
    target: &Target,
    mut conn: Conn,
    request: Request<Outgoing>,
    hold: Hold,
) -> Result<Headed, (Failure, Option<Hold>)> {
    let before = conn.written();
    let sent = conn.sender.try_send_request(request);
    let until = target.deadline + inner.cfg.bounds.linger;
    match tokio::time::timeout_at(until, sent).await {
        Ok(Ok(response)) => {
            let address = target.address;
            let exchange = Exchange {
                conn,
                hold,
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
                return Err((Failure::NotRun { reason, request }, Some(hold)));
            }
            if by_caller {
                hold.finish(Finish::Cancelled);
                return Err((Failure::Caller(reason), None));
            }
            inner.pool.purge(target.address);
            hold.finish(Finish::Broken);
            if untouched {
                return Err((Failure::NotRun { reason, request }, None));
            }
            Err((Failure::Lost(reason), None))
        }
        Err(_) => {
            drop(conn);
            inner.pool.purge(target.address);
            hold.finish(Finish::Broken);
            Err((Failure::Lost("no answer in time".to_owned()), None))
        }
    }
}

/// Returns whether the end of a body can be told from a connection that broke.
pub(super) fn has_length(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .contains_key(http::header::CONTENT_LENGTH)
        || response
            .headers()
            .contains_key(http::header::TRANSFER_ENCODING)
        || response.body().is_end_stream()
}
