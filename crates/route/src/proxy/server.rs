//! The server towards callers, with bounds on slow and broken ones.

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

/// How long a caller may take to send the head of a request, on a fresh or an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may pause while it sends a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take no bytes of its answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The most bytes of the head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The most requests that one connection may have under way.
const MAX_STREAMS: u32 = 128;
/// How often a quiet HTTP/2 connection is probed, and how long the probe may take.
const PING_INTERVAL: Duration = Duration::from_secs(15);
/// How long a probe of an HTTP/2 connection may take.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds an address and returns it with the server to run there; port 0 takes a free one.
///
/// # Errors
///
/// Returns the error of the system if the address cannot be bound.
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

/// Sets the bounds on slow, silent and oversized callers.
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
