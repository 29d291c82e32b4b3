//! Servers and clients that misbehave, one pattern each, on a paused clock.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use link::gate::Gate;
use link::gate::Port;
use link::limits::LimitReason;
use link::server::IncomingRequest;
use link::server::Listener;
use link::server::OutgoingResponse;
use link::server::ServerLimits;
use link::server::serve_port;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 100,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    max_header_bytes: 16 << 10,
};
const MAX_BODY_BYTES: usize = 256 << 10;
/// Capacity of a connection in each direction, in bytes.
const PIPE_BYTES: usize = 16 << 10;
const LARGE_RESPONSE: usize = 1 << 20;
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Connections in memory, so that the paused clock does not run ahead of a network.
struct Accepted(mpsc::UnboundedReceiver<DuplexStream>);

impl Listener for Accepted {
    type Stream = DuplexStream;

    async fn accept(&mut self) -> std::io::Result<DuplexStream> {
        match self.0.recv().await {
            Some(stream) => Ok(stream),
            None => std::future::pending().await,
        }
    }
}

/// A server that reads bodies, and answers `/large` with a large response.
struct Server {
    connect: mpsc::UnboundedSender<DuplexStream>,
    gate: Gate,
    port: Port,
    limits: Rc<Cell<ServerLimits>>,
    handled: Rc<Cell<usize>>,
}

impl Server {
    fn start(memory: usize, limits: ServerLimits) -> Self {
        let (connect, accept) = mpsc::unbounded_channel();
        let gate = Gate::default();
        let port = gate.port("callers", memory);
        let limits = Rc::new(Cell::new(limits));
        let handled = Rc::new(Cell::new(0));
        let (current, count) = (limits.clone(), handled.clone());
        let handler = move |req| {
            count.set(count.get() + 1);
            handle(req)
        };
        let stop = CancellationToken::new();
        let limits_now = move || current.get();
        tokio::task::spawn_local(serve_port(
            Accepted(accept),
            port.clone(),
            limits_now,
            stop,
            handler,
        ));
        Self {
            connect,
            gate,
            port,
            limits,
            handled,
        }
    }

    fn connect(&self) -> DuplexStream {
        let (client, server) = tokio::io::duplex(PIPE_BYTES);
        self.connect.send(server).expect("a server");
        client
    }

    async fn send(&self, bytes: &[u8]) -> DuplexStream {
        let mut stream = self.connect();
        stream.write_all(bytes).await.expect("send");
        stream
    }

    fn count(&self, reason: LimitReason) -> u64 {
        self.gate.stats()[0]
            .counts
            .get(&reason)
            .copied()
            .unwrap_or(0)
    }

    /// Waits until no connection is open, and checks that everything was released.
    async fn wait_until_empty(&self) {
        while self.port.usage().connections > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(self.port.usage().memory, 0);
    }
}

async fn handle(req: IncomingRequest) -> OutgoingResponse {
    if req.uri().path() == "/large" {
        return Response::new(Full::new(Bytes::from(vec![b'x'; LARGE_RESPONSE])));
    }
    if req.uri().path() == "/unread" {
        return status(StatusCode::NOT_FOUND);
    }
    match req.into_body().read(MAX_BODY_BYTES).await {
        Ok(body) => Response::new(Full::new(Bytes::from(body.len().to_string()))),
        Err(error) => status(error.status()),
    }
}

fn status(status: StatusCode) -> OutgoingResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn post(length: usize, sent: usize) -> Vec<u8> {
    let mut bytes = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    bytes.push_str(&"x".repeat(sent));
    bytes.into_bytes()
}

/// Reads until the server closes; a reset counts as closed.
async fn read_to_end(stream: &mut DuplexStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0_u8; 4_096];
    while let Ok(read @ 1..) = stream.read(&mut buf).await {
        bytes.extend_from_slice(&buf[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one response with a short body.
async fn read_response(stream: &mut DuplexStream) -> String {
    let mut buf = [0_u8; 4_096];
    let read = stream.read(&mut buf).await.expect("a response");
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against heads that never end, and checks that the time counts from their first byte.
#[tokio::test(start_paused = true)]
async fn a_head_that_does_not_end_closes_its_connection_after_the_header_timeout() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let mut stream = server.connect();
        tokio::time::sleep(Duration::from_secs(10)).await;
        let started = Instant::now();
        stream.write_all(b"GET / HT").await.expect("send");
        assert_eq!(read_to_end(&mut stream).await, "");
        let elapsed = started.elapsed();
        assert!(elapsed >= LIMITS.header_timeout, "{elapsed:?}");
        assert!(elapsed <= LIMITS.header_timeout * 2, "{elapsed:?}");
        assert_eq!(server.count(LimitReason::HeadTimeout), 1);
        server.wait_until_empty().await;
    })
    .await;
}

/// Guards against a limit that well-behaved clients notice: they keep connections idle for seconds.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_kept_for_the_idle_timeout_of_the_moment() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let mut stream = server.send(GET).await;
        assert!(read_response(&mut stream).await.contains("200 OK"));
        tokio::time::sleep(Duration::from_secs(14)).await;
        stream.write_all(GET).await.expect("send");
        assert!(read_response(&mut stream).await.contains("200 OK"));
        let shorter = Duration::from_secs(5);
        server.limits.set(ServerLimits {
            idle_timeout: shorter,
            ..LIMITS
        });
        let started = Instant::now();
        assert_eq!(read_to_end(&mut stream).await, "");
        assert!(started.elapsed() <= shorter * 2, "{:?}", started.elapsed());
        assert_eq!(server.count(LimitReason::Idle), 1);
        server.wait_until_empty().await;
    })
    .await;
}

/// Guards against bodies that stop just short of their end, in one piece or in chunks.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_is_refused_after_some_seconds() {
    let chunked = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for request in [post(1_000, 999), chunked.to_vec()] {
        run(async {
            let server = Server::start(usize::MAX, LIMITS);
            let started = Instant::now();
            let mut stream = server.send(&request).await;
            let answer = read_to_end(&mut stream).await;
            assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
            assert!(answer.contains("connection: close"), "{answer}");
            assert!(started.elapsed() < LIMITS.idle_timeout);
            assert_eq!(server.count(LimitReason::BodySlow), 1);
            drop(stream);
            server.wait_until_empty().await;
        })
        .await;
    }
}

/// Guards against parts that keep the parser's buffers alive: 2,000 parts of a byte each would hold
/// several MB.
#[tokio::test(start_paused = true)]
async fn a_body_in_tiny_parts_takes_the_memory_of_its_bytes() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let mut stream = server.connect();
        let head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await.expect("send");
        for _ in 0..2_000 {
            stream.write_all(b"1\r\nx\r\n").await.expect("send");
            tokio::task::yield_now().await;
        }
        let base = LIMITS.connection_bytes();
        while server.port.usage().memory == base {
            tokio::task::yield_now().await;
        }
        stream.write_all(b"0\r\n\r\n").await.expect("send");
        let answer = read_response(&mut stream).await;
        assert!(answer.ends_with("\r\n\r\n2000"), "{answer}");
        assert_eq!(server.port.usage().memory, base);
        assert!(server.port.usage().peak_memory <= base + 8_192);
    })
    .await;
}

/// Guards against refusals that cut off their own answer, and against clients that go on sending.
#[tokio::test(start_paused = true)]
async fn a_refused_body_gets_its_answer_and_the_connection_closes_although_the_client_sends_on() {
    for (request, expected) in [
        (post(MAX_BODY_BYTES + 1, 10), "413"),
        (
            b"POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n".to_vec(),
            "404",
        ),
    ] {
        run(async {
            let server = Server::start(usize::MAX, LIMITS);
            let mut stream = server.send(&request).await;
            let answer = read_response(&mut stream).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {expected}")),
                "{answer}"
            );
            let started = Instant::now();
            while stream.write_all(&[b'x'; 100]).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(10)).await;
                assert!(
                    started.elapsed() < Duration::from_secs(2),
                    "still open: {expected} {answer}"
                );
            }
            drop(stream);
            server.wait_until_empty().await;
        })
        .await;
    }
}

/// Guards against chunked bodies without an end, whose size is not announced.
#[tokio::test(start_paused = true)]
async fn a_chunked_body_is_refused_when_it_exceeds_the_limit() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let mut stream = server.connect();
        let head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).await.expect("send");
        let mut chunk = b"1000\r\n".to_vec();
        chunk.extend_from_slice(&[b'x'; 4_096]);
        chunk.extend_from_slice(b"\r\n");
        for _ in 0..65 {
            if stream.write_all(&chunk).await.is_err() {
                break;
            }
        }
        let answer = read_response(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert_eq!(server.count(LimitReason::BodyTooLarge), 1);
    })
    .await;
}

/// Guards against pipelined requests that pile up: the second one is handled only when the response to
/// the first has been read, and what is unread counts as the client's memory.
#[tokio::test(start_paused = true)]
async fn no_request_is_handled_while_a_response_is_unread_and_a_reader_that_stops_is_closed() {
    run(async {
        let memory = 2 * LARGE_RESPONSE;
        let server = Server::start(memory, LIMITS);
        let request = b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n".repeat(20);
        let mut stream = server.send(&request).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(server.handled.get(), 1);
        assert!(server.port.usage().memory > LARGE_RESPONSE);
        // There is no memory for a second such response, but a small one is served.
        let mut other = server.send(&request[..request.len() / 20]).await;
        let answer = read_response(&mut other).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: 1"), "{answer}");
        other.write_all(GET).await.expect("send");
        assert!(read_response(&mut other).await.contains("200 OK"));
        drop(other);
        read_to_end_or_give_up(&mut stream).await;
        server.wait_until_empty().await;
    })
    .await;
}

/// Waits, without reading, for longer than the server does.
async fn read_to_end_or_give_up(stream: &mut DuplexStream) {
    tokio::time::sleep(Duration::from_secs(8)).await;
    let answer = read_to_end(stream).await;
    assert!(answer.len() < LARGE_RESPONSE, "the response was cut off");
}

/// Guards against requests that wait for memory: they are refused at once, and the clients that stalled
/// for the longest time make room for later ones.
#[tokio::test(start_paused = true)]
async fn without_memory_a_request_is_refused_and_stalled_clients_are_closed_for_later_ones() {
    run(async {
        let base = LIMITS.connection_bytes();
        let server = Server::start(4 * base + MAX_BODY_BYTES * 3 / 2, LIMITS);
        let mut stalled = server.send(&post(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)).await;
        while server.port.usage().memory < base + MAX_BODY_BYTES {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let started = Instant::now();
        let mut refused = server.send(&post(MAX_BODY_BYTES, MAX_BODY_BYTES)).await;
        let answer = read_to_end(&mut refused).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(started.elapsed() < Duration::from_secs(1));
        let answer = read_to_end(&mut stalled).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(started.elapsed() < Duration::from_secs(1));
        assert_eq!(server.count(LimitReason::EvictedForMemory), 1);
        drop((refused, stalled));
        let mut served = server.send(&post(MAX_BODY_BYTES, MAX_BODY_BYTES)).await;
        let answer = read_response(&mut served).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        drop(served);
        server.wait_until_empty().await;
    })
    .await;
}

/// Guards against silent connections that keep others out.
#[tokio::test(start_paused = true)]
async fn with_all_connections_taken_the_longest_silent_one_makes_room() {
    run(async {
        let limits = ServerLimits {
            max_connections: 2,
            ..LIMITS
        };
        let server = Server::start(usize::MAX, limits);
        let mut silent = server.connect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let later = server.connect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let started = Instant::now();
        let mut stream = server.send(GET).await;
        assert!(read_response(&mut stream).await.contains("200 OK"));
        assert!(started.elapsed() < Duration::from_secs(1));
        assert_eq!(read_to_end(&mut silent).await, "");
        drop(later);
    })
    .await;
}

/// Guards against heads beyond the document's limit, also on connections that were opened before it
/// changed.
#[tokio::test(start_paused = true)]
async fn the_limit_on_heads_is_that_of_the_moment() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let padding = "x".repeat(9_000);
        let request = format!("GET / HTTP/1.1\r\nhost: h\r\np: {padding}\r\n\r\n");
        let mut stream = server.send(request.as_bytes()).await;
        assert!(read_response(&mut stream).await.contains("200 OK"));
        server.limits.set(ServerLimits {
            max_header_bytes: 8 << 10,
            ..LIMITS
        });
        stream.write_all(request.as_bytes()).await.expect("send");
        let answer = read_to_end(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        let mut fresh = server.send(request.as_bytes()).await;
        let answer = read_to_end(&mut fresh).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    })
    .await;
}

/// Guards against clients that are always active and keep all connections to themselves.
#[tokio::test(start_paused = true)]
async fn with_all_connections_taken_active_clients_take_turns() {
    run(async {
        let limits = ServerLimits {
            max_connections: 1,
            ..LIMITS
        };
        let server = Server::start(usize::MAX, limits);
        let mut active = server.send(&GET.repeat(100)).await;
        let mut waiting = server.send(GET).await;
        let answer = read_response(&mut waiting).await;
        assert!(answer.contains("200 OK"), "{answer}");
        assert_eq!(server.handled.get(), 2);
        assert!(read_to_end(&mut active).await.contains("connection: close"));
    })
    .await;
}

/// Guards against refusals of requests that arrived in time at a process that was paused.
#[tokio::test(start_paused = true)]
async fn a_body_that_arrived_during_a_pause_of_the_process_is_read() {
    run(async {
        let server = Server::start(usize::MAX, LIMITS);
        let mut stream = server.send(&post(10, 5)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        stream.write_all(b"xxxxx").await.expect("send");
        tokio::time::advance(Duration::from_secs(10)).await;
        let answer = read_response(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    })
    .await;
}
