//! Tests that the operators' API answers every request, valid or not, and keeps running.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::api;
use conf::api::Problem;
use http::Method;
use model::outcome::Outcome;
use node::context::DaemonContext;
use node::operators::Operators;
use reqwest::Client;
use reqwest::Response;
use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::drive::World;

const TOKEN: &str = "Bearer only-for-this-machine";
/// One byte more than the maximum size of a request body.
const OVERSIZED_BYTES: usize = (4 << 20) + 1;

/// Serves only the operators' API, on a free port.
async fn serve(cx: &Arc<DaemonContext>, drain: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let operators = Operators::new(cx.clone(), drain.clone());
    let router = Router::with_path("{**path}").goal(operators);
    let acceptor = TcpAcceptor::try_from(listener).expect("the listener is bound");
    tokio::spawn(salvo::Server::new(acceptor).serve(router));
    address
}

async fn start() -> (SocketAddr, CancellationToken) {
    let world = World::new(&[], Duration::ZERO);
    let drain = CancellationToken::new();
    let cx = world.cx("d1").await;
    (serve(&cx, &drain).await, drain)
}

async fn send(to: SocketAddr, method: Method, path: &str, token: &str, body: Vec<u8>) -> Response {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("the client is valid");
    let mut req = client.request(method, format!("http://{to}{path}"));
    if !token.is_empty() {
        req = req.header("authorization", token);
    }
    req.body(body).send().await.expect("the daemon answers")
}

async fn assert_answers(to: SocketAddr) {
    let answer = send(to, Method::GET, api::DOCUMENT, TOKEN, Vec::new()).await;
    assert_eq!(answer.status(), 200, "the API still answers");
}

#[tokio::test]
async fn every_path_but_readiness_requires_the_exact_token() {
    let (to, drain) = start().await;
    let tokens = [
        "",
        "Bearer ",
        "Bearer only-for-this-machin",
        "Bearer only-for-this-machine-too",
        "bearer only-for-this-machine",
        "Basic only-for-this-machine",
        "only-for-this-machine",
    ];
    for token in tokens {
        for (method, path) in [
            (Method::GET, api::DUMP),
            (Method::GET, "/v1/nothing"),
            (Method::POST, api::DRAIN),
        ] {
            let answer = send(to, method, path, token, b"{}".to_vec()).await;
            assert_eq!(answer.status(), 401, "{token:?} at {path}");
            let problem: Problem = answer.json().await.expect("a problem");
            assert_eq!(problem.outcome, Outcome::NotRun);
        }
    }
    assert!(
        !drain.is_cancelled(),
        "no request with a valid token asked to drain"
    );
    let ready = send(to, Method::GET, api::READY, "", Vec::new()).await;
    assert_ne!(ready.status(), 401, "readiness needs no token");
    assert_answers(to).await;
}

#[tokio::test]
async fn invalid_requests_are_answered_with_a_problem_and_not_run() {
    let (to, drain) = start().await;
    let no_task = br#"{"task":"a/b","team":"fleet","class":"fleet-check","size":{}}"#;
    let long = format!("/v1/tasks/{}/cancel", "x".repeat(300));
    let cases: Vec<(Method, &str, Vec<u8>, u16)> = vec![
        (Method::POST, api::TASKS, vec![b' '; OVERSIZED_BYTES], 400),
        (Method::POST, api::CHECK, vec![b'['; 100_000], 400),
        (Method::POST, api::CHECK, b"{\"text\":".to_vec(), 400),
        (Method::POST, api::APPLY, vec![0xff; 16], 400),
        (Method::POST, api::APPLY, Vec::new(), 400),
        (Method::POST, api::DRAIN, b"\"now\"".to_vec(), 400),
        (Method::POST, api::TASKS, no_task.to_vec(), 400),
        (Method::GET, "/v1/tasks?limit=many", Vec::new(), 400),
        (Method::GET, "/v1/nothing", Vec::new(), 404),
        (Method::GET, "/", Vec::new(), 404),
        (Method::DELETE, api::DOCUMENT, Vec::new(), 404),
        (Method::POST, api::STATUS, Vec::new(), 404),
        (Method::GET, api::APPLY, Vec::new(), 404),
        (Method::POST, "/v1/tasks/a/b/cancel", Vec::new(), 404),
        (Method::POST, "/v1/tasks//cancel", Vec::new(), 404),
        (Method::POST, "/v1/tasks/../cancel", Vec::new(), 404),
        (Method::POST, "/v1/tasks/nobody/cancel", Vec::new(), 404),
        (Method::POST, "/v1/workers/nobody/lost", Vec::new(), 404),
        (Method::POST, &long, Vec::new(), 404),
    ];
    for (method, path, body, status) in cases {
        let bytes = body.len();
        let answer = send(to, method.clone(), path, TOKEN, body).await;
        let received = answer.status();
        let problem: Problem = answer.json().await.expect("a problem");
        let case = format!("{method} {path} with {bytes} bytes: {problem:?}");
        assert_eq!(received, status, "{case}");
        assert_eq!(problem.outcome, Outcome::NotRun, "{case}");
        assert!(!problem.reason.is_empty(), "{case}");
        assert_answers(to).await;
    }
    assert!(!drain.is_cancelled());
}

/// Covers input that is not HTTP and bodies that end before their declared length.
#[tokio::test]
async fn broken_connections_do_not_affect_other_requests() {
    let (to, _drain) = start().await;
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: d1\r\nauthorization: {TOKEN}\r\n",
        api::CHECK
    );
    let texts = [
        "\u{0}\u{1}\u{2}\r\n\r\n".to_owned(),
        "GET / HTTP/9.9\r\n\r\n".to_owned(),
        format!("{head}content-length: 100\r\n\r\n{{"),
        format!("{head}content-length: -1\r\n\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"),
    ];
    for text in texts {
        let mut stream = TcpStream::connect(to)
            .await
            .expect("the daemon accepts connections");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the bytes are sent");
        stream.shutdown().await.expect("the connection is open");
        let mut buf = Vec::new();
        // The daemon may answer or close the connection; either ends the read.
        let _ = stream.read_to_end(&mut buf).await;
        assert!(!buf.starts_with(b"HTTP/1.1 200"), "{text:?}");
        assert_answers(to).await;
    }
}
