//! An HTTP/1.1 server with limits on its clients and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

pub use crate::body::BodyError;
pub use crate::body::IncomingRequest;
pub use crate::body::ReceivedBody;
pub use crate::body::RequestBody;
use crate::budget::Phase;
use crate::gate::Connection;
use crate::gate::Gate;
use crate::gate::Port;
use crate::limits::LimitReason;
pub use crate::limits::ServerLimits;
use crate::stream::MeteredStream;

/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often slow connections are looked for while there is no room for another one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);
/// How often the limits on time are checked while connections are open.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a request that was sent before the response to the one before was read. A client that does
/// not wait for responses would otherwise be served as fast as the processor allows.
const PIPELINE_DELAY: Duration = Duration::from_millis(20);
/// Responses up to this size, in bytes, are part of the memory of a connection and are never refused,
/// so that the client always learns the outcome of a request that was carried out.
const SMALL_RESPONSE_BYTES: usize = 1 << 10;
/// Value of the `Retry-After` header of a refusal, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// A response whose complete body is in memory.
pub type OutgoingResponse = Response<Full<Bytes>>;

/// Accepts connections.
pub trait Listener {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Waits for the next connection. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns why none could be accepted; a later call may succeed.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>>;
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = Self::accept(self).await?;
        // Without `TCP_NODELAY` Nagle's algorithm delays small responses. The connection also works
        // if the option cannot be set.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Serves requests until `stop` is cancelled, without a limit on memory. See [`serve_port`].
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(IncomingRequest) -> F + 'static,
    F: Future<Output = OutgoingResponse> + 'static,
{
    let port = Gate::default().port("", usize::MAX);
    serve_port(listener, port, move || limits, stop, handler).await;
}

/// Serves requests until `stop` is cancelled, then shuts down gracefully.
///
/// `limits` is read again for each connection and each check, so that the limits may change. The
/// requests of a connection are handled one at a time, and none is handled while a response is unread.
/// A handler whose response can exceed 1 KiB must not change anything, because such a response is
/// replaced by a refusal (503) if there is no memory for it.
///
/// On shutdown idle connections are closed at once and the others after the response in progress.
/// The future completes when all connections are closed. Each connection is served by a task
/// started with [`tokio::task::spawn_local`].
pub async fn serve_port<L, H, F>(
    mut listener: L,
    port: Port,
    limits: impl Fn() -> ServerLimits + 'static,
    stop: CancellationToken,
    handler: H,
) where
    L: Listener,
    H: Fn(IncomingRequest) -> F + 'static,
    F: Future<Output = OutgoingResponse> + 'static,
{
    let limits: Rc<dyn Fn() -> ServerLimits> = Rc::new(limits);
    let handler = Rc::new(handler);
    let opened = Rc::new(tokio::sync::Notify::new());
    let sweep = sweep(port.clone(), limits.clone(), opened.clone());
    let _sweep = AbortOnDrop(tokio::task::spawn_local(sweep).abort_handle());
    loop {
        while port.make_room(&limits()).is_some() && !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => break,
                () = port.closed() => {}
                () = tokio::time::sleep(EVICTION_INTERVAL) => {}
            }
        }
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok(stream) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The memory may have been taken since there was room; the connection is closed then.
        let Some(connection) = port.open(&limits()) else {
            port.count(LimitReason::Connections);
            continue;
        };
        opened.notify_one();
        let serve = serve_connection(
            stream,
            connection,
            limits.clone(),
            stop.clone(),
            handler.clone(),
        );
        tokio::task::spawn_local(serve);
    }
    drop(listener);
    while port.usage().connections > 0 {
        port.closed().await;
    }
}

/// Ends a task when it is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Closes connections that have exceeded a limit on time. Nothing is checked while none is open.
///
/// After a pause of the process, what has arrived meanwhile is read before anything is closed, because the
/// runtime wakes tasks for their sockets before those for timers.
async fn sweep(port: Port, limits: Rc<dyn Fn() -> ServerLimits>, opened: Rc<tokio::sync::Notify>) {
    loop {
        if port.usage().connections == 0 {
            opened.notified().await;
        }
        tokio::time::sleep(SWEEP_INTERVAL).await;
        port.close_overdue(&limits());
    }
}

async fn serve_connection<S, H, F>(
    stream: S,
    connection: Connection,
    limits: Rc<dyn Fn() -> ServerLimits>,
    stop: CancellationToken,
    handler: Rc<H>,
) where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    H: Fn(IncomingRequest) -> F + 'static,
    F: Future<Output = OutgoingResponse> + 'static,
{
    let opened_with = limits();
    let state = connection.clone();
    let service = service_fn(move |req| {
        let current = limits();
        let mut response = respond(&state, &current, &*handler, req);
        let state = state.clone();
        // A buffer cannot be resized, so that a connection ends when the limit has changed.
        let is_outdated = current.max_header_bytes != opened_with.max_header_bytes;
        async move {
            let response = response.as_mut().await;
            Ok::<_, Infallible>(finish(&state, response, is_outdated))
        }
    });
    let http = http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        // The sweep closes connections whose head does not arrive, and tells idle ones from them.
        .header_read_timeout(None)
        .max_buf_size(opened_with.buffer_bytes())
        .serve_connection(
            TokioIo::new(MeteredStream::new(stream, connection.clone())),
            service,
        );
    let mut http = pin!(http);
    // Connection errors are ignored: the client sees them, and nothing here depends on them.
    tokio::select! {
        biased;
        () = connection.aborted() => return,
        _ = http.as_mut() => return,
        () = stop.cancelled() => http.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = connection.aborted() => {}
        _ = http => {}
    }
}

/// Starts to handle a request.
fn respond<H, F>(
    connection: &Connection,
    limits: &ServerLimits,
    handler: &H,
    req: Request<Incoming>,
) -> std::pin::Pin<Box<dyn Future<Output = OutgoingResponse>>>
where
    H: Fn(IncomingRequest) -> F,
    F: Future<Output = OutgoingResponse> + 'static,
{
    let is_pipelined = connection.phase() == Some(Phase::Idle);
    connection.enter(Phase::Handler);
    let too_large = head_bytes(&req) > limits.max_header_bytes;
    let req = req.map(|incoming| RequestBody::new(incoming, connection.clone()));
    if too_large {
        connection.count(LimitReason::HeadTooLarge);
        drop(req);
        let refusal = empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        return Box::pin(std::future::ready(refusal));
    }
    let response = handler(req);
    if is_pipelined {
        return Box::pin(async {
            tokio::time::sleep(PIPELINE_DELAY).await;
            response.await
        });
    }
    Box::pin(response)
}

/// Returns the size of the head of a request, in bytes.
fn head_bytes(req: &Request<Incoming>) -> usize {
    let uri = req.uri();
    let line = req.method().as_str().len()
        + uri.path().len()
        + uri.query().map_or(0, str::len)
        + uri
            .authority()
            .map_or(0, |authority| authority.as_str().len());
    let headers = req.headers().iter();
    let fields = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>()
}

/// Prepares a response for its client.
fn finish(
    connection: &Connection,
    mut response: OutgoingResponse,
    is_last: bool,
) -> OutgoingResponse {
    let exact = response.body().size_hint().exact().unwrap_or(0);
    let bytes = usize::try_from(exact).unwrap_or(usize::MAX);
    if bytes > SMALL_RESPONSE_BYTES && !connection.reserve_response(bytes) {
        response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = HeaderValue::from(RETRY_AFTER_S);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, retry_after);
    }
    if is_last || connection.is_last_response() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    connection.begin_response();
    response
}

fn empty_response(status: StatusCode) -> OutgoingResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
