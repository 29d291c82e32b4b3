use std::time::Duration;

use route::RouteUpdate;
use route::proxy::ProxyLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::document;
use crate::support::Behavior;
use crate::support::Daemon;
use crate::support::Executor;
use crate::support::Store;
use crate::support::caller;
use crate::support::header;
use crate::support::response_header;
use crate::support::table;

#[tokio::test]
async fn malformed_and_oversized_requests_are_refused_as_not_run() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let daemon = Daemon::single(&[&executor]).await;
    let large = "x".repeat(40_000);
    let long = "x".repeat(200);
    let cases: [(&str, &str, &str, u16); 9] = [
        ("/plan", "ff-idempotent", "perhaps", 400),
        ("/plan", "ff-deadline-ms", "soon", 400),
        ("/plan", "ff-deadline-ms", "0", 400),
        ("/plan", "ff-request-id", "a/b", 400),
        ("/plan", "ff-request-id", &long, 400),
        ("/plan", "ff-caller", "a b", 400),
        ("/plan", "x-large", &large, 431),
        ("/planner", "x-none", "", 404),
        ("/", "x-none", "", 404),
    ];
    for (path, name, value, status) in cases {
        let url = format!("http://{}{path}", daemon.address);
        let request = caller().post(url).header(name, value);
        let response = request.send().await.expect("a response");
        assert_eq!(response.status().as_u16(), status, "{name}: {value:.20}");
        assert_eq!(response_header(&response, "ff-outcome"), "not-run");
        assert!(response.text().await.expect("a body").contains("reason"));
    }
    assert_eq!(executor.received(), 0);
}

#[tokio::test]
async fn body_over_the_limit_is_refused_with_or_without_a_content_length() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let limits = ProxyLimits {
        max_body_bytes: 1_000,
        max_replay_bytes: 100,
        ..ProxyLimits::default()
    };
    let daemon = Daemon::single_with(&[&executor], table(Store::Available), limits).await;
    let known_length = caller().post(daemon.url()).body(vec![0; 1_001]);
    let response = known_length.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 413);
    assert_eq!(response_header(&response, "ff-outcome"), "not-run");

    let mut stream = TcpStream::connect(daemon.address).await.expect("a daemon");
    let head = "POST /plan HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("7d0\r\n{}\r\n0\r\n\r\n", "x".repeat(2_000));
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(chunk.as_bytes()).await.expect("sent");
    let mut response = vec![0; 4_096];
    let size = stream.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..size]).into_owned();
    assert!(response.contains("ff-outcome: unknown"), "{response}");
    assert_eq!(
        executor.received(),
        0,
        "no complete request reached the executor"
    );
    daemon.idle().await;
}

#[tokio::test]
async fn caller_that_sends_its_body_too_slowly_is_refused_and_occupies_no_slot() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let limits = ProxyLimits {
        body_read_timeout: Duration::from_millis(50),
        ..ProxyLimits::default()
    };
    let daemon = Daemon::single_with(&[&executor], table(Store::Available), limits).await;
    let mut stream = TcpStream::connect(daemon.address).await.expect("a daemon");
    let head = "POST /plan HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nslow";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut response = vec![0; 4_096];
    let size = stream.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..size]).into_owned();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("ff-outcome: not-run"), "{response}");
    assert_eq!(executor.received(), 0);
    daemon.idle().await;
}

#[tokio::test]
async fn request_without_a_slot_is_forwarded_or_queued_locally_if_no_peer_is_reachable() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(30))]).await;
    let first = Daemon::start(
        "entry-1",
        "rsh",
        table(Store::Available),
        ProxyLimits::default(),
    )
    .await;
    let second = Daemon::start(
        "entry-2",
        "rsh",
        table(Store::Available),
        ProxyLimits::default(),
    )
    .await;
    for peer in [second.address, crate::fixture::unused_address()] {
        let members = [("entry-1", "rsh", first.address), ("entry-2", "rsh", peer)];
        first.update_tables(&[&executor], &members);
        second.update_tables(&[&executor], &members);
        let one = || async {
            let response = first.post().await;
            response_header(&response, "ff-outcome").to_owned()
        };
        let all = futures::future::join_all((0..12).map(|_| one())).await;
        assert!(all.iter().all(|outcome| outcome == "answered"), "{all:?}");
        let forwarded = second.proxy.report().upstreams["plan"].sends;
        assert!((1..=8).contains(&forwarded), "{forwarded} were forwarded");
        first.idle().await;
        second.idle().await;
    }
    assert_eq!(executor.received(), 24);
    assert!(
        executor.max_concurrent() <= 8,
        "{} concurrent requests",
        executor.max_concurrent()
    );
}

#[tokio::test]
async fn hop_by_hop_headers_are_removed_and_the_others_are_forwarded() {
    let executor = Executor::start(&[Behavior::Reflect]).await;
    let daemon = Daemon::single(&[&executor]).await;
    let response = caller()
        .put(daemon.url())
        .header("connection", "x-secret, keep-alive")
        .header("x-secret", "1")
        .header("te", "trailers")
        .header("expect", "100-continue")
        .header("x-kept", "2")
        .header("host", "plan.example")
        .header("ff-request-id", "visit-1")
        .header("ff-deadline-ms", "5000")
        .header("ff-hops", "1")
        .send()
        .await
        .expect("a response");
    assert_eq!(response_header(&response, "keep-alive"), "");
    assert_eq!(response_header(&response, "ff-request-id"), "visit-1");
    let head = response.text().await.expect("a complete response");
    for absent in ["connection", "x-secret", "te", "expect", "ff-hops"] {
        assert_eq!(header(&head, absent), None, "{absent}");
    }
    for (name, value) in [
        ("x-kept", "2"),
        ("host", "plan.example"),
        ("ff-request-id", "visit-1"),
    ] {
        assert_eq!(header(&head, name).as_deref(), Some(value), "{name}");
    }
    let left = header(&head, "ff-deadline-ms").and_then(|ms| ms.parse().ok());
    assert!(matches!(left, Some(1..=5_000)), "{left:?}");
}

#[tokio::test]
async fn streamed_body_arrives_complete_over_http1_and_http2() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let daemon = Daemon::single(&[&executor]).await;
    let http2 = reqwest::Client::builder()
        .no_proxy()
        .http2_prior_knowledge()
        .build()
        .expect("a client");
    for client in [caller(), http2] {
        let response = client
            .post(daemon.url())
            .body(vec![7; 300_000])
            .send()
            .await;
        let response = response.expect("a response");
        assert_eq!(response_header(&response, "ff-outcome"), "answered");
        let id = response_header(&response, "ff-request-id").to_owned();
        assert_eq!(response.text().await.expect("a complete response"), id);
    }
    assert_eq!(executor.received(), 2);
}

#[tokio::test]
async fn burst_of_cancellations_leaks_no_slot_and_exceeds_no_limit() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(20))]).await;
    let daemon = Daemon::single(&[&executor]).await;
    let mut streams = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(daemon.address).await.expect("a daemon");
        let head = b"GET /plan HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).await.expect("sent");
        streams.push(stream);
    }
    while daemon.proxy.in_flight(&"plan".into()) < 8 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(streams);
    daemon.idle().await;
    assert!(
        executor.max_concurrent() <= 8,
        "{} concurrent requests",
        executor.max_concurrent()
    );
    let response = caller().get(daemon.url()).send().await.expect("a response");
    assert_eq!(response_header(&response, "ff-outcome"), "answered");
}

#[tokio::test]
async fn caller_that_disconnects_within_its_body_leaks_no_slot() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let daemon = Daemon::single(&[&executor]).await;
    for _ in 0..10 {
        let mut stream = TcpStream::connect(daemon.address).await.expect("a daemon");
        let head = b"POST /plan HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\npart";
        stream.write_all(head).await.expect("sent");
        while daemon.proxy.in_flight(&"plan".into()) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(stream);
        daemon.idle().await;
    }
    assert_eq!(executor.received(), 0, "no complete request arrived");
    assert!(daemon.proxy.report().upstreams["plan"].ejected.is_empty());
}

#[tokio::test]
async fn overload_refuses_early_with_retry_after() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(100))]).await;
    let daemon = Daemon::single(&[&executor]).await;
    let one = || async {
        let request = caller().get(daemon.url()).header("ff-deadline-ms", "400");
        let response = request.send().await.expect("a response");
        let refused = !response_header(&response, "retry-after").is_empty();
        (response_header(&response, "ff-outcome").to_owned(), refused)
    };
    for _ in 0..3 {
        assert_eq!(one().await.0, "answered");
    }
    let all = futures::future::join_all((0..200).map(|_| one())).await;
    let answered = all
        .iter()
        .filter(|(outcome, _)| outcome == "answered")
        .count();
    let refused = all
        .iter()
        .filter(|one| **one == ("not-run".to_owned(), true))
        .count();
    assert!(answered >= 8, "{answered}");
    assert!(refused >= 100, "{refused}");
    assert_eq!(answered + refused, 200, "no outcome is unknown");
    assert!(executor.max_concurrent() <= 8);
}

#[tokio::test]
async fn request_for_the_other_half_is_forwarded_without_the_store() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let [_owner, other] = Daemon::pair(["rsh", "aqse"], Store::Refusing, &[&executor]).await;
    let response = caller().post(other.url()).body("order").send().await;
    let response = response.expect("a response");
    assert_eq!(response_header(&response, "ff-outcome"), "answered");
    assert_eq!(response_header(&response, "ff-executor"), "plan-0");
    let id = response_header(&response, "ff-request-id").to_owned();
    assert_eq!(response.text().await.expect("a complete response"), id);
    other.idle().await;
}

#[tokio::test]
async fn handover_refuses_no_request() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(5))]).await;
    let [old, new] = Daemon::pair(["rsh", "aqse"], Store::Available, &[&executor]).await;
    let load = |daemon: &Daemon| {
        let url = daemon.url();
        tokio::spawn(async move {
            let mut outcomes = Vec::new();
            for _ in 0..60 {
                let response = caller().post(&url).send().await.expect("a response");
                outcomes.push(response_header(&response, "ff-outcome").to_owned());
            }
            outcomes
        })
    };
    let (first, second) = (load(&old), load(&new));
    while executor.received() < 20 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let change = |daemon: &Daemon, released| {
        daemon.proxy.update(RouteUpdate {
            document: Some(document(2, "aqse")),
            released,
            ..RouteUpdate::default()
        });
    };
    change(&old, Vec::new());
    tokio::time::sleep(Duration::from_millis(50)).await;
    change(&new, Vec::new());
    assert_eq!(old.proxy.released(), ["plan".into()]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    change(&new, vec!["plan".into()]);
    for outcomes in [first.await, second.await] {
        let outcomes = outcomes.expect("no panic");
        assert!(
            outcomes.iter().all(|outcome| outcome == "answered"),
            "{outcomes:?}"
        );
    }
    assert_eq!(executor.received(), 120);
}

#[tokio::test]
async fn drained_daemon_finishes_its_requests_and_forwards_new_ones() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(100))]).await;
    let [first, _second] = Daemon::pair(["rsh", "rsh"], Store::Available, &[&executor]).await;
    let url = first.url();
    let running = tokio::spawn(async move { caller().post(&url).send().await });
    while first.proxy.in_flight(&"plan".into()) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    first.proxy.drain();
    let response = first.post().await;
    assert_eq!(response_header(&response, "ff-outcome"), "answered");
    first.idle().await;
    let response = running.await.expect("no panic").expect("a response");
    assert_eq!(response_header(&response, "ff-outcome"), "answered");
}

#[tokio::test]
async fn isolated_daemon_refuses_as_not_run() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let daemon = Daemon::single(&[&executor]).await;
    daemon.proxy.set_serving(false);
    let response = caller().get(daemon.url()).send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response_header(&response, "ff-outcome"), "not-run");
    assert_eq!(executor.received(), 0);
}
