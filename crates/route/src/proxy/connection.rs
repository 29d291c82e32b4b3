//! Connections to executors and peers, and the pool of idle ones.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use model::Map;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::body::RequestBody;
use super::config::ProxyLimits;

/// How long to wait until a connection that has just served a request is ready for the next one.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Number of unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Size of the read buffer, which also limits the size of a response head, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A stream that counts the bytes written to it, which shows whether any part of a request can have
/// reached the other side, and the bytes that cross between regions.
struct CountingStream {
    stream: TcpStream,
    written: Arc<AtomicU64>,
    cross_region_bytes: Option<Arc<AtomicU64>>,
}

impl CountingStream {
    fn count_cross_region(&self, bytes: usize) {
        if let Some(cross_region_bytes) = &self.cross_region_bytes {
            cross_region_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.fetch_add(*bytes as u64, Ordering::Release);
            self.count_cross_region(*bytes);
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count_cross_region(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An HTTP/1 connection, which is closed when it is dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    written: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection. If this fails, no request has been sent on it.
    pub(super) async fn open(
        address: SocketAddr,
        cross_region_bytes: Option<Arc<AtomicU64>>,
        limits: &ProxyLimits,
    ) -> io::Result<Self> {
        let stream =
            tokio::time::timeout(limits.connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(limits.tcp_keepalive_time)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(limits.tcp_user_timeout))?;
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountingStream {
            stream,
            written: Arc::clone(&written),
            cross_region_bytes,
        });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error is also returned to the exchange in progress, if there is one.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            written,
            task,
        })
    }

    /// Returns the total number of bytes written to the connection.
    pub(super) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct IdleConnection {
    conn: Connection,
    since: Instant,
}

/// Idle connections, bounded in number and age.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<Map<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection to an address, unless it has been idle
    /// for longer than `max_idle`.
    pub(super) async fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        loop {
            let idle = self.pop(address)?;
            if idle.since.elapsed() > max_idle {
                return None;
            }
            let mut conn = idle.conn;
            if conn.sender.is_ready() {
                return Some(conn);
            }
            let ready = tokio::time::timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(conn);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.lock().get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool for the next request.
    pub(super) fn put(&self, address: SocketAddr, conn: Connection, max_idle: usize) {
        if conn.sender.is_closed() {
            return;
        }
        let mut pools = self.lock();
        let pool = pools.entry(address).or_default();
        if pool.len() >= max_idle {
            pool.remove(0);
        }
        pool.push(IdleConnection {
            conn,
            since: Instant::now(),
        });
    }

    /// Closes all idle connections to an address after a fault of another connection to it.
    pub(super) fn close_all(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that have been idle for longer than `max_idle`.
    pub(super) fn expire(&self, max_idle: Duration) {
        self.lock().retain(|_, pool| {
            pool.retain(|idle| idle.since.elapsed() <= max_idle && !idle.conn.sender.is_closed());
            !pool.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
