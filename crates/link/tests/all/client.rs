//! Calls of a client to servers that misbehave.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::client::CallError;
use link::client::Client;
use link::client::ExpectedProcess;
use link::client::ProcessAnswer;
use link::client::TimeLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;

/// The number of idle connections that a client keeps to an address.
const MAX_IDLE: usize = 4;
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// How often the runtime looks for events before a test relies on those that have happened.
const TURNS: usize = 50;
/// More than the buffers of a connection on loopback take.
const BODY_BYTES: usize = 32 << 20;

/// A call that was given up must not be delivered later, for example once a cut has healed: what it asks for
/// may have been done another way meanwhile.
#[tokio::test]
async fn what_is_left_of_a_call_that_was_given_up_is_not_sent_any_more() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            let address: Arc<str> = address.into();
            let body = Full::new(Bytes::from(vec![0; BODY_BYTES]));
            let request = Request::post("/").body(body).expect("a valid request");
            let limits = TimeLimits::total(Duration::from_millis(200));

            let client = Client::new();
            let call = client.call(&address, request, limits);
            let (accepted, result) = tokio::join!(listener.accept(), call);
            assert!(matches!(result, Err(CallError::Unanswered)), "{result:?}");

            let (mut stream, _) = accepted.expect("a connection");
            let mut received = Vec::new();
            let read =
                tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut received));
            let read = read.await.expect("the connection ends");
            assert!(read.is_err(), "{} bytes and no reset", received.len());
        })
        .await;
}

/// Accepts connections on loopback and answers each request, and counts the connections that are open.
async fn counting_server() -> (Arc<str>, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let open = Rc::new(Cell::new(0));
    let counted = open.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = counted.clone();
            open.set(open.get() + 1);
            tokio::task::spawn_local(async move {
                let mut buf = [0_u8; 1_024];
                while let Ok(1..) = stream.read(&mut buf).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    if stream.write_all(OK).await.is_err() {
                        break;
                    }
                }
                open.set(open.get() - 1);
            });
        }
    });
    (address.into(), open)
}

/// Machines that lose power leave their idle connections open at the server, so that their number is limited.
#[tokio::test]
async fn a_client_keeps_no_more_idle_connections_than_its_limit() {
    LocalSet::new()
        .run_until(async {
            let (address, open) = counting_server().await;
            let client = Client::new();
            let limits = TimeLimits::total(Duration::from_secs(5));
            let request = || {
                Request::get("/")
                    .body(Full::default())
                    .expect("a valid request")
            };
            for _ in 0..2 {
                let call = || client.call(&address, request(), limits);
                let answers = tokio::join!(call(), call(), call(), call(), call(), call());
                let (first, second, third, fourth, fifth, sixth) = answers;
                for answer in [first, second, third, fourth, fifth, sixth] {
                    assert!(answer.is_ok(), "{answer:?}");
                }
            }
            for _ in 0..TURNS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(open.get(), MAX_IDLE);
        })
        .await;
}

/// Accepts connections on loopback and answers requests once it is released. Returns the number of connections.
async fn gated_server(gate: Rc<Semaphore>) -> (Arc<str>, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let accepted = Rc::new(Cell::new(0));
    let counted = accepted.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            let gate = gate.clone();
            tokio::task::spawn_local(async move {
                let mut buf = [0_u8; 1_024];
                while let Ok(1..) = stream.read(&mut buf).await {
                    let _released = gate.acquire().await;
                    if stream.write_all(OK).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address.into(), accepted)
}

/// A path on which the identity of a process does not arrive within the time of a call must not keep all calls
/// from it: the next one uses the connection on which it has arrived meanwhile.
#[tokio::test]
async fn a_call_is_sent_once_a_slow_process_has_stated_its_identity_to_an_earlier_one() {
    LocalSet::new()
        .run_until(async {
            let gate = Rc::new(Semaphore::new(0));
            let (address, accepted) = gated_server(gate.clone()).await;
            let client = Client::new();
            let request = || {
                Request::get("/")
                    .body(Full::default())
                    .expect("a valid request")
            };
            let process = ExpectedProcess {
                identity: 7,
                greeting: &|| Ok(request()),
                identify: |_| Some(7),
            };
            let call = |limit| {
                let limits = TimeLimits::total(Duration::from_millis(limit));
                client.call_process(&address, process, request(), limits)
            };
            assert_eq!(call(50).await.err(), Some(CallError::NotSent));
            gate.add_permits(1);
            for _ in 0..TURNS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let answer = call(5_000).await;
            assert!(
                matches!(answer, Ok(ProcessAnswer::Answered(_))),
                "{answer:?}"
            );
            assert_eq!(accepted.get(), 1, "connections");
        })
        .await;
}
