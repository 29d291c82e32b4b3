//! The HTTP server for callers, with limits on slow and faulty ones.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::Listener;
use salvo::Server;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::fuse::FuseConfig;
use salvo::rt::tokio::TokioTimer;

use super::Proxy;

/// Timeout for receiving the head of a request, on a new or an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum pause of a caller while it sends a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time in which a caller reads no data of its response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 128;
/// Interval between probes of an idle HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(15);
/// Timeout for the response to a probe of an HTTP/2 connection.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds `address` and returns the bound address and the server to run; port 0 selects a free port.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn bind(
    proxy: &Proxy,
    address: SocketAddr,
) -> io::Result<(SocketAddr, impl Future<Output = ()> + Send + use<>)> {
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(io::Error::other)?;
    let bound = acceptor.inner().local_addr()?;
    let server = harden(Server::new(acceptor));
    Ok((bound, server.serve(proxy.service())))
}

/// Sets the limits on slow, silent and oversized requests.
#[must_use]
pub fn harden<A: Acceptor + Send>(server: Server<A>) -> Server<A> {
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(HEAD_TIMEOUT)
        .with_request_body_timeout(BODY_TIMEOUT)
        .with_write_stall_timeout(WRITE_STALL_TIMEOUT);
    let mut server = server.fuse_config(fuse);
    server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
    server
        .http2_mut()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    server
}
