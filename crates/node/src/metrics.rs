//! Metrics by `cadence`, in the StatsD format over UDP.
//!
//! `docs/OPERATIONS.md` lists each metric. Sending never blocks a decision: lines are queued in
//! memory up to a limit and dropped beyond it.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use model::id::DaemonId;

/// Capacity of the queue of lines that wait for the socket.
const QUEUE_LINES: usize = 4096;
/// Prefix of every metric name.
const PREFIX: &str = "fireflynotch";

/// Creates the metrics client; it discards everything if no address is given.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn client(daemon: &DaemonId, statsd: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = statsd else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let unspecified = match address {
        SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
        SocketAddr::V6(_) => SocketAddr::from(([0_u16; 8], 0)),
    };
    let socket = UdpSocket::bind(unspecified)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
    Ok(StatsdClient::builder(PREFIX, queue)
        .with_tag("daemon", daemon.as_str())
        .build())
}
