use std::time::Duration;

use route::proxy::ProxyLimits;

use crate::fixture::unused_address;
use crate::support::Behavior;
use crate::support::Daemon;
use crate::support::Executor;
use crate::support::Store;
use crate::support::caller;
use crate::support::response_header;
use crate::support::table;

async fn submit(daemon: &Daemon, id: &str) -> (u16, String) {
    let response = caller()
        .post(daemon.url())
        .header("ff-request-id", id)
        .header("ff-caller", "planner")
        .body("one battery")
        .send()
        .await
        .expect("a response");
    let outcome = response_header(&response, "ff-outcome").to_owned();
    (response.status().as_u16(), outcome)
}

#[tokio::test]
async fn same_id_through_three_daemons_at_once_is_sent_once() {
    let executor = Executor::start(&[Behavior::EchoAfter(Duration::from_millis(50))]).await;
    let table = table(Store::Available);
    let names = ["entry-1", "entry-2", "entry-3"];
    let members = names.map(|name| (name, "rsh", unused_address()));
    let mut daemons = Vec::new();
    for name in names {
        let daemon = Daemon::start(name, "rsh", table.clone(), ProxyLimits::default()).await;
        daemon.update_tables(&[&executor], &members);
        daemons.push(daemon);
    }
    for round in 0..10 {
        let id = format!("order-{round}");
        let (first, second, third) = tokio::join!(
            submit(&daemons[0], &id),
            submit(&daemons[1], &id),
            submit(&daemons[2], &id)
        );
        let all = [first, second, third];
        let answered = all.iter().filter(|(status, _)| *status == 200).count();
        let conflicting = all.iter().filter(|(status, _)| *status == 409).count();
        assert_eq!((answered, conflicting), (1, 2), "{all:?}");
        assert_eq!(executor.received(), round + 1);
    }
}

#[tokio::test]
async fn repeated_id_gets_the_recorded_outcome() {
    let cases: [(Behavior, (u16, &str), &str); 2] = [
        (Behavior::Echo, (200, "answered"), "answered"),
        (Behavior::Close, (502, "unknown"), "unknown"),
    ];
    for (behavior, expected, recorded) in cases {
        let executor = Executor::start(&[behavior]).await;
        let daemon = Daemon::single(&[&executor]).await;
        let first = submit(&daemon, "order-1").await;
        assert_eq!((first.0, first.1.as_str()), expected);
        daemon.idle().await;
        let second = submit(&daemon, "order-1").await;
        assert_eq!(second, (409, recorded.to_owned()));
        assert_eq!(executor.received(), 1);
    }
}

#[tokio::test]
async fn unavailable_store_refuses_as_not_run_and_other_requests_are_served() {
    for store in [Store::Refusing, Store::Unresponsive] {
        let executor = Executor::start(&[Behavior::Echo]).await;
        let limits = ProxyLimits {
            intent_write_timeout: Duration::from_millis(100),
            ..ProxyLimits::default()
        };
        let daemon = Daemon::single_with(&[&executor], table(store), limits).await;
        for id in ["order-1", "order-1", "order-2"] {
            assert_eq!(submit(&daemon, id).await, (503, "not-run".to_owned()));
        }
        assert_eq!(executor.received(), 0);
        for method in [reqwest::Method::GET, reqwest::Method::POST] {
            let response = caller().request(method, daemon.url()).send().await;
            let response = response.expect("a response");
            assert_eq!(
                response_header(&response, "ff-outcome"),
                "answered",
                "{store:?}"
            );
        }
        daemon.idle().await;
    }
}

#[tokio::test]
async fn lost_reply_to_the_intent_write_neither_loses_nor_repeats_the_request() {
    let executor = Executor::start(&[Behavior::Echo]).await;
    let daemon = Daemon::single_with(
        &[&executor],
        table(Store::LosesFirstReply),
        ProxyLimits::default(),
    )
    .await;
    let first = submit(&daemon, "order-1").await;
    assert_eq!(first, (200, "answered".to_owned()));
    assert_eq!(submit(&daemon, "order-1").await.0, 409);
    assert_eq!(executor.received(), 1);
}

#[tokio::test]
async fn request_that_was_not_run_may_be_sent_again_under_its_id() {
    let refusing = Executor::start(&[
        Behavior::Refuse,
        Behavior::Refuse,
        Behavior::Refuse,
        Behavior::Echo,
    ])
    .await;
    let daemon = Daemon::single(&[&refusing]).await;
    let first = submit(&daemon, "order-1").await;
    assert_eq!(first, (503, "not-run".to_owned()));
    daemon.idle().await;
    let second = submit(&daemon, "order-1").await;
    assert_eq!(second, (200, "answered".to_owned()));
    assert_eq!(refusing.received(), 4);
}
