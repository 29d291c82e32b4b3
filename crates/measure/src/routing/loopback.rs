//! Latency that the data path adds to a request, measured on the loopback interface.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use conf::doc::Document;
use conf::doc::Upstream;
use hdrhistogram::Histogram;
use model::Clock;
use model::id::DocVersion;
use plat::call::call;
use plat::error::CallError;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostState;
use plat::table::Table;
use plat::table::TableError;
use route::Proxy;
use route::RouteUpdate;
use route::RouterConfig;
use route::config::Limits;
use route::proxy::ProxyConfig;
use route::proxy::server::bind;
use route::update::ActiveDocument;
use route::update::Member;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::SEED;
use super::policy::place;
use crate::figure::Figure;

/// Maximum latency that the daemon may add to the 99th percentile, in milliseconds.
const ADDED_P99_MS: f64 = 1.0;
/// Maximum latency that the daemon may add to the 99.9th percentile, in milliseconds.
const ADDED_P999_MS: f64 = 3.0;
const EXECUTORS: usize = 4;
const CALLERS: usize = 4;
const REQUESTS: usize = 4_000;
/// Rounds, each first directly and then through the daemon. The minimum of each percentile is used,
/// because other work on the machine can only increase it.
const ROUNDS: usize = 5;
const WARM_UP: usize = 500;
const BODY: &[u8] = &[b'x'; 1_000];
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies of one round in microseconds.
type Latencies = Histogram<u64>;

/// Compares the latency through the daemon with that of a direct connection.
///
/// # Panics
///
/// Panics if the loopback interface cannot be used.
pub(super) fn figures() -> Vec<Figure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    let rounds = runtime
        .block_on(run_rounds())
        .expect("loopback sockets work");
    let least = |percentile, pick: fn(&(Latencies, Latencies)) -> &Latencies| {
        rounds
            .iter()
            .map(|round| percentile_ms(pick(round), percentile))
            .fold(f64::INFINITY, f64::min)
    };
    let mut figures = Vec::new();
    for (name, percentile, target) in [("p99", 99.0, ADDED_P99_MS), ("p99.9", 99.9, ADDED_P999_MS)]
    {
        let direct = least(percentile, |round| &round.0);
        let via_daemon = least(percentile, |round| &round.1);
        let name = format!("loopback-{name}");
        figures.push(Figure::at_most(name, via_daemon, "ms", direct + target).baseline(direct));
    }
    figures
}

fn percentile_ms(latencies: &Latencies, percentile: f64) -> f64 {
    let us = u32::try_from(latencies.value_at_percentile(percentile)).unwrap_or(u32::MAX);
    f64::from(us) / 1e3
}

/// Returns the latencies of each round, directly and through the daemon.
async fn run_rounds() -> io::Result<Vec<(Latencies, Latencies)>> {
    let mut executors = Vec::new();
    for _ in 0..EXECUTORS {
        executors.push(start_executor().await?);
    }
    let daemon = start_daemon(&executors).await?;
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        rounds.push((run_load(executors[0]).await?, run_load(daemon).await?));
    }
    Ok(rounds)
}

/// Starts an executor that answers immediately with a body of 1,000 bytes.
async fn start_executor() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut response =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", BODY.len()).into_bytes();
    response.extend_from_slice(BODY);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        while !bytes.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        stream.write_all(&response).await?;
    }
}

async fn start_daemon(executors: &[SocketAddr]) -> io::Result<SocketAddr> {
    let cfg = RouterConfig::new("entry-0".into(), "rsh".into(), place(0, 1)).limits(Limits {
        settle_delay: std::time::Duration::ZERO,
        ..Limits::default()
    });
    let cfg = ProxyConfig::new(cfg, || 0);
    let proxy = Proxy::new(cfg, refusing_table(), Clock::start(), SEED);
    let (address, server) = bind(&proxy, ([127, 0, 0, 1], 0).into()).await?;
    tokio::spawn(server);
    tokio::spawn(proxy.clone().run());
    let entry = |(at, address): (usize, &SocketAddr)| ExecutorEntry {
        id: format!("plan-{at}").into(),
        upstream: "plan".into(),
        address: *address,
        place: place(0, 1),
        state: HostState::Live,
    };
    let executors: Vec<ExecutorEntry> = executors.iter().enumerate().map(entry).collect();
    tokio::spawn(async move {
        loop {
            proxy.update(RouteUpdate {
                document: Some(document()),
                executors: Some(executors.clone()),
                members: Some(vec![Member {
                    id: "entry-0".into(),
                    half: "rsh".into(),
                    place: place(0, 1),
                    caller_address: address,
                }]),
                released: Vec::new(),
            });
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        }
    });
    Ok(address)
}

fn document() -> ActiveDocument {
    let mut document = Document::default();
    let upstream = Upstream {
        half: "rsh".into(),
        routes: vec!["/plan".to_owned()],
        slots: 8,
        connections: 64,
        deadline_ms: 10_000,
        weight: 1,
    };
    document.upstreams.insert("plan".into(), upstream);
    ActiveDocument {
        version: DocVersion(1),
        document: Arc::new(document),
    }
}

/// Returns a table that refuses every call. Idempotent requests do not use it.
fn refusing_table() -> Table {
    let refused = || TableError::Call(CallError::Refused("no table".to_owned()));
    Table {
        commit: call(move |_| async move { Err(refused()) }),
        read: call(move |_| async move { Err(refused()) }),
        scan: call(move |_| async move { Err(refused()) }),
    }
}

/// Sends requests on several connections, one at a time on each, and returns their latencies in
/// microseconds.
async fn run_load(address: SocketAddr) -> io::Result<Latencies> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(run_caller(address)))
        .collect();
    let mut all = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)?;
    for caller in callers {
        for us in caller.await.map_err(io::Error::other)?? {
            all.saturating_record(us);
        }
    }
    Ok(all)
}

async fn run_caller(address: SocketAddr) -> io::Result<Vec<u64>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut latencies_us = Vec::with_capacity(REQUESTS);
    let mut bytes = Vec::new();
    for at in 0..WARM_UP + REQUESTS {
        let started = Instant::now();
        stream
            .write_all(b"GET /plan HTTP/1.1\r\nhost: daemon\r\n\r\n")
            .await?;
        bytes.clear();
        while !is_whole(&bytes) {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        if !bytes.starts_with(b"HTTP/1.1 200") {
            return Err(io::Error::other("the response status is not 200"));
        }
        if at >= WARM_UP {
            let us = started.elapsed().as_micros();
            latencies_us.push(u64::try_from(us).unwrap_or(u64::MAX));
        }
    }
    Ok(latencies_us)
}

fn is_whole(bytes: &[u8]) -> bool {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    end.is_some_and(|end| bytes.len() >= end + 4 + BODY.len())
}
