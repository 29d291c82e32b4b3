use std::time::Duration;

use reqwest::Method;
use route::proxy::ProxyLimits;

use crate::support::Behavior;
use crate::support::Daemon;
use crate::support::Executor;
use crate::support::Store;
use crate::support::caller;
use crate::support::response_header;
use crate::support::table;

/// A fault of an executor and its expected effect on the caller.
struct Case {
    script: &'static [Behavior],
    method: Method,
    status: u16,
    outcome: &'static str,
    /// Expected number of requests that the executor receives.
    sent: usize,
}

const fn case(
    script: &'static [Behavior],
    method: Method,
    status: u16,
    outcome: &'static str,
    sent: usize,
) -> Case {
    Case {
        script,
        method,
        status,
        outcome,
        sent,
    }
}

const CASES: [Case; 16] = [
    case(&[Behavior::Echo], Method::GET, 200, "answered", 1),
    case(&[Behavior::Redirect], Method::POST, 307, "answered", 1),
    case(&[Behavior::Redirect], Method::GET, 307, "answered", 1),
    case(&[Behavior::Error], Method::GET, 500, "answered", 1),
    case(
        &[Behavior::Close, Behavior::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
    case(
        &[Behavior::Close, Behavior::Echo],
        Method::POST,
        502,
        "unknown",
        1,
    ),
    case(
        &[Behavior::CloseInHead, Behavior::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
    case(
        &[Behavior::CloseInHead, Behavior::Echo],
        Method::POST,
        502,
        "unknown",
        1,
    ),
    case(
        &[Behavior::WrongId, Behavior::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
    case(
        &[Behavior::WrongId, Behavior::Echo],
        Method::POST,
        502,
        "unknown",
        1,
    ),
    case(&[Behavior::NoLength], Method::POST, 502, "unknown", 1),
    case(
        &[Behavior::Refuse, Behavior::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
    case(
        &[Behavior::Refuse, Behavior::Echo],
        Method::POST,
        200,
        "answered",
        2,
    ),
    case(&[Behavior::Refuse], Method::POST, 503, "not-run", 3),
    case(&[Behavior::Close], Method::GET, 502, "unknown", 3),
    case(
        &[Behavior::Silent, Behavior::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
];

#[tokio::test]
async fn executor_faults_are_reported_with_the_right_outcome() {
    for (at, case) in CASES.iter().enumerate() {
        let executor = Executor::start(case.script).await;
        let daemon = Daemon::single(&[&executor]).await;
        let response = caller()
            .request(case.method.clone(), daemon.url())
            .header("ff-deadline-ms", "2000")
            .body("payload")
            .send()
            .await
            .expect("a response");
        let result = (
            response.status().as_u16(),
            response_header(&response, "ff-outcome").to_owned(),
        );
        assert_eq!(result, (case.status, case.outcome.to_owned()), "case {at}");
        let id = response_header(&response, "ff-request-id").to_owned();
        assert!(!id.is_empty(), "case {at}");
        let body = response.text().await.expect("a complete response");
        assert!(
            !body.contains("secret"),
            "case {at}: the response to another request"
        );
        if case.status == 200 {
            assert_eq!(body, id, "case {at}");
        }
        assert_eq!(executor.received(), case.sent, "case {at}");
    }
}

#[tokio::test]
async fn truncated_response_reaches_the_caller_as_an_error() {
    for behavior in [Behavior::Truncate, Behavior::TruncateChunked] {
        for method in [Method::GET, Method::POST] {
            let executor = Executor::start(&[behavior]).await;
            let daemon = Daemon::single(&[&executor]).await;
            let response = caller().request(method, daemon.url()).send().await;
            let body = response.expect("a response head").bytes().await;
            assert!(body.is_err(), "{behavior:?} resulted in {body:?}");
            assert_eq!(executor.received(), 1);
            daemon.idle().await;
        }
    }
}

#[tokio::test]
async fn refused_connection_is_not_run_and_other_executors_serve() {
    let good = Executor::start(&[Behavior::Echo]).await;
    let closed = Executor::at(crate::fixture::unused_address());
    let daemon = Daemon::single(&[&closed]).await;
    let response = daemon.post().await;
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response_header(&response, "ff-outcome"), "not-run");
    assert!(!response_header(&response, "retry-after").is_empty());

    let daemon = Daemon::single(&[&closed, &good]).await;
    for _ in 0..20 {
        let response = daemon.post().await;
        assert_eq!(response_header(&response, "ff-outcome"), "answered");
    }
    assert_eq!(good.received(), 20);
}

#[tokio::test]
async fn late_response_never_reaches_another_request() {
    let late = Behavior::EchoAfter(Duration::from_millis(400));
    let executor = Executor::start(&[late, late, Behavior::Echo]).await;
    let daemon = Daemon::single(&[&executor]).await;
    for _ in 0..2 {
        let response = caller()
            .post(daemon.url())
            .header("ff-deadline-ms", "100")
            .send()
            .await
            .expect("a response");
        assert_eq!(response.status().as_u16(), 504);
        assert_eq!(response_header(&response, "ff-outcome"), "unknown");
    }
    for _ in 0..20 {
        let response = daemon.post().await;
        let id = response_header(&response, "ff-request-id").to_owned();
        assert_eq!(response.text().await.expect("a complete response"), id);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    daemon.idle().await;
}

#[tokio::test]
async fn one_silent_connection_does_not_eject_its_executor() {
    let executor = Executor::start(&[Behavior::Silent, Behavior::Echo]).await;
    let limits = ProxyLimits {
        linger_timeout: Duration::from_millis(100),
        ..ProxyLimits::default()
    };
    let daemon = Daemon::single_with(&[&executor], table(Store::Available), limits).await;
    let silent = caller()
        .post(daemon.url())
        .header("ff-deadline-ms", "100")
        .send()
        .await
        .expect("a response");
    assert_eq!(response_header(&silent, "ff-outcome"), "unknown");
    for _ in 0..10 {
        let response = daemon.post().await;
        assert_eq!(response_header(&response, "ff-outcome"), "answered");
    }
    assert!(daemon.proxy.report().upstreams["plan"].ejected.is_empty());
    daemon.idle().await;
}

#[tokio::test]
async fn response_body_without_data_for_too_long_is_aborted() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123";
        let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, head).await;
        std::future::pending::<()>().await;
    });
    let executor = Executor::at(address);
    let limits = ProxyLimits {
        body_idle_timeout: Duration::from_millis(100),
        ..ProxyLimits::default()
    };
    let daemon = Daemon::single_with(&[&executor], table(Store::Available), limits).await;
    let response = caller()
        .get(daemon.url())
        .send()
        .await
        .expect("a response head");
    assert!(response.bytes().await.is_err());
    daemon.idle().await;
}
