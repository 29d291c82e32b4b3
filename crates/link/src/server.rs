//! An HTTP/1.1 server with graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones wait in the backlog of the listener.
    pub max_connections: usize,
    /// Maximum time for a client to send the head of a request.
    pub header_timeout: Duration,
    /// Maximum size of the head of a request, in bytes. Values below 8 KiB are raised to 8 KiB.
    pub max_header_bytes: usize,
}

/// A request whose body is still being received.
pub type IncomingRequest = Request<Incoming>;
/// A response whose complete body is in memory.
pub type OutgoingResponse = Response<Full<Bytes>>;

/// Serves requests until `stop` is cancelled, then shuts down gracefully.
///
/// On shutdown idle connections are closed at once and the others after the response in progress.
/// The future completes when all connections are closed. Each connection is served by a task
/// started with [`tokio::task::spawn_local`].
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(IncomingRequest) -> F + Clone + 'static,
    F: Future<Output = OutgoingResponse> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    let closed = Rc::new(tokio::sync::Notify::new());
    loop {
        while open.get() >= limits.max_connections && !stop.is_cancelled() {
            tokio::select! {
                () = stop.cancelled() => break,
                () = closed.notified() => {}
            }
        }
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let guard = ConnectionGuard::new(open.clone(), closed.clone());
        let connection = serve_connection(stream, limits, stop.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    }
    drop(listener);
    while open.get() > 0 {
        closed.notified().await;
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(IncomingRequest) -> F + 'static,
    F: Future<Output = OutgoingResponse> + 'static,
{
    // Without `TCP_NODELAY` Nagle's algorithm delays small responses. The connection also works
    // if the option cannot be set.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Connection errors are ignored: the client sees them, and nothing here depends on them.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Minimum buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Counts an open connection and notifies the accept loop when it is dropped.
struct ConnectionGuard {
    open: Rc<Cell<usize>>,
    closed: Rc<tokio::sync::Notify>,
}

impl ConnectionGuard {
    fn new(open: Rc<Cell<usize>>, closed: Rc<tokio::sync::Notify>) -> Self {
        open.set(open.get() + 1);
        Self { open, closed }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.closed.notify_one();
    }
}
