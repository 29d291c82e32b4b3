//! A server loop that ends without breaking off requests.

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

/// How long to wait after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The most connections that are open at once; further ones wait to be accepted.
    pub max_connections: usize,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Duration,
    /// The largest head of a request, in bytes.
    pub max_header_bytes: usize,
}

/// A request as it arrives.
pub type IncomingRequest = Request<Incoming>;
/// An answer as it is sent.
pub type OutgoingResponse = Response<Full<Bytes>>;

/// Serves requests until `stop` is cancelled; connections that are idle then are closed, and others
/// after the answer that is under way. Ends when all connections have ended.
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
            closed.notified().await;
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
    // Without it small answers wait for each other; a socket that refuses the option still works.
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
    // What breaks a connection is seen by the caller; there is nobody else to tell.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// The smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

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
