use std::time::Duration;

use reqwest::Method;
use route::proxy::Bounds;

use crate::support::Act;
use crate::support::Daemon;
use crate::support::Executor;
use crate::support::Store;
use crate::support::caller;
use crate::support::table;
use crate::support::told;

/// One fault of an executor and what the caller is told of it.
struct Case {
    script: &'static [Act],
    method: Method,
    status: u16,
    outcome: &'static str,
    /// How often executors were sent the request.
    sent: usize,
}

const fn case(
    script: &'static [Act],
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
    case(&[Act::Echo], Method::GET, 200, "answered", 1),
    case(&[Act::Redirect], Method::POST, 307, "answered", 1),
    case(&[Act::Redirect], Method::GET, 307, "answered", 1),
    case(&[Act::Error], Method::GET, 500, "answered", 1),
    case(&[Act::Close, Act::Echo], Method::GET, 200, "answered", 2),
    case(&[Act::Close, Act::Echo], Method::POST, 502, "unknown", 1),
    case(
        &[Act::CloseInHead, Act::Echo],
        Method::GET,
        200,
        "answered",
        2,
    ),
    case(
        &[Act::CloseInHead, Act::Echo],
        Method::POST,
        502,
        "unknown",
        1,
    ),
    case(&[Act::Foreign, Act::Echo], Method::GET, 200, "answered", 2),
    case(&[Act::Foreign, Act::Echo], Method::POST, 502, "unknown", 1),
    case(&[Act::NoLength], Method::POST, 502, "unknown", 1),
    case(&[Act::Refuse, Act::Echo], Method::GET, 200, "answered", 2),
    case(&[Act::Refuse, Act::Echo], Method::POST, 200, "answered", 2),
    case(&[Act::Refuse], Method::POST, 503, "not-run", 3),
    case(&[Act::Close], Method::GET, 502, "unknown", 3),
    case(&[Act::Silent, Act::Echo], Method::GET, 200, "answered", 2),
];

#[tokio::test]
async fn faults_of_executors_end_in_the_right_outcome() {
    for (at, case) in CASES.iter().enumerate() {
        let executor = Executor::start(case.script).await;
        let daemon = Daemon::alone(&[&executor], table(Store::Up), Bounds::default()).await;
        let answer = caller()
            .request(case.method.clone(), daemon.url())
            .header("ff-deadline-ms", "2000")
            .body("payload")
            .send()
            .await
            .expect("an answer");
        let seen = (
            answer.status().as_u16(),
            told(&answer, "ff-outcome").to_owned(),
        );
        assert_eq!(seen, (case.status, case.outcome.to_owned()), "case {at}");
        let id = told(&answer, "ff-request-id").to_owned();
        assert!(!id.is_empty(), "case {at}");
        let body = answer.text().await.expect("a whole answer");
        assert!(!body.contains("secret"), "case {at}: another's answer");
        if case.status == 200 {
            assert_eq!(body, id, "case {at}");
        }
        assert_eq!(executor.seen(), case.sent, "case {at}");
    }
}

#[tokio::test]
async fn answer_cut_in_the_middle_arrives_broken_and_never_whole() {
    for act in [Act::Cut, Act::CutChunked] {
        for method in [Method::GET, Method::POST] {
            let executor = Executor::start(&[act]).await;
            let daemon = Daemon::alone(&[&executor], table(Store::Up), Bounds::default()).await;
            let answer = caller().request(method, daemon.url()).send().await;
            let body = answer.expect("a head").bytes().await;
            assert!(body.is_err(), "{act:?} gave {body:?}");
            assert_eq!(executor.seen(), 1);
            daemon.idle().await;
        }
    }
}

#[tokio::test]
async fn refused_connection_is_not_run_and_other_executors_serve() {
    let good = Executor::start(&[Act::Echo]).await;
    let closed = Executor::at(crate::world::nowhere());
    let daemon = Daemon::alone(&[&closed], table(Store::Up), Bounds::default()).await;
    let answer = caller().post(daemon.url()).send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(told(&answer, "ff-outcome"), "not-run");
    assert!(!told(&answer, "retry-after").is_empty());

    let daemon = Daemon::alone(&[&closed, &good], table(Store::Up), Bounds::default()).await;
    for _ in 0..20 {
        let answer = caller().post(daemon.url()).send().await.expect("an answer");
        assert_eq!(told(&answer, "ff-outcome"), "answered");
    }
    assert_eq!(good.seen(), 20);
}

#[tokio::test]
async fn late_answer_never_reaches_another_request() {
    let late = Act::EchoAfter(Duration::from_millis(400));
    let executor = Executor::start(&[late, late, Act::Echo]).await;
    let daemon = Daemon::alone(&[&executor], table(Store::Up), Bounds::default()).await;
    for _ in 0..2 {
        let answer = caller()
            .post(daemon.url())
            .header("ff-deadline-ms", "100")
            .send()
            .await
            .expect("an answer");
        assert_eq!(answer.status().as_u16(), 504);
        assert_eq!(told(&answer, "ff-outcome"), "unknown");
    }
    for _ in 0..20 {
        let answer = caller().post(daemon.url()).send().await.expect("an answer");
        let id = told(&answer, "ff-request-id").to_owned();
        assert_eq!(answer.text().await.expect("a whole answer"), id);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    daemon.idle().await;
}

#[tokio::test]
async fn silent_connection_leaves_its_executor_in_service() {
    let executor = Executor::start(&[Act::Silent, Act::Echo]).await;
    let bounds = Bounds {
        linger: Duration::from_millis(100),
        ..Bounds::default()
    };
    let daemon = Daemon::alone(&[&executor], table(Store::Up), bounds).await;
    let silent = caller()
        .post(daemon.url())
        .header("ff-deadline-ms", "100")
        .send()
        .await
        .expect("an answer");
    assert_eq!(told(&silent, "ff-outcome"), "unknown");
    for _ in 0..10 {
        let answer = caller().post(daemon.url()).send().await.expect("an answer");
        assert_eq!(told(&answer, "ff-outcome"), "answered");
    }
    assert!(daemon.proxy.report().upstreams["plan"].ejected.is_empty());
    daemon.idle().await;
}

#[tokio::test]
async fn answer_that_falls_silent_between_chunks_is_broken_off() {
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
    let bounds = Bounds {
        chunk_silence: Duration::from_millis(100),
        ..Bounds::default()
    };
    let daemon = Daemon::alone(&[&executor], table(Store::Up), bounds).await;
    let answer = caller().get(daemon.url()).send().await.expect("a head");
    assert!(answer.bytes().await.is_err());
    daemon.idle().await;
}
