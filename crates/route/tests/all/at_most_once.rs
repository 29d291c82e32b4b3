use std::time::Duration;

use route::proxy::Bounds;

use crate::support::Act;
use crate::support::Daemon;
use crate::support::Executor;
use crate::support::Store;
use crate::support::caller;
use crate::support::table;
use crate::support::told;
use crate::world::nowhere;

async fn order(daemon: &Daemon, id: &str) -> (u16, String) {
    let answer = caller()
        .post(daemon.url())
        .header("ff-request-id", id)
        .header("ff-caller", "planner")
        .body("one battery")
        .send()
        .await
        .expect("an answer");
    let outcome = told(&answer, "ff-outcome").to_owned();
    (answer.status().as_u16(), outcome)
}

#[tokio::test]
async fn same_id_through_three_daemons_at_once_is_sent_once() {
    let executor = Executor::start(&[Act::EchoAfter(Duration::from_millis(50))]).await;
    let table = table(Store::Up);
    let names = ["entry-1", "entry-2", "entry-3"];
    let members = names.map(|name| (name, "rsh", nowhere()));
    let mut daemons = Vec::new();
    for name in names {
        let daemon = Daemon::start(name, "rsh", table.clone(), Bounds::default()).await;
        daemon.inform(&[&executor], &members);
        daemons.push(daemon);
    }
    for round in 0..10 {
        let id = format!("order-{round}");
        let (first, second, third) = tokio::join!(
            order(&daemons[0], &id),
            order(&daemons[1], &id),
            order(&daemons[2], &id)
        );
        let all = [first, second, third];
        let answered = all.iter().filter(|(status, _)| *status == 200).count();
        let told_off = all.iter().filter(|(status, _)| *status == 409).count();
        assert_eq!((answered, told_off), (1, 2), "{all:?}");
        assert_eq!(executor.seen(), round + 1);
    }
}

#[tokio::test]
async fn repeated_id_is_told_its_recorded_outcome() {
    let cases: [(Act, (u16, &str), &str); 2] = [
        (Act::Echo, (200, "answered"), "answered"),
        (Act::Close, (502, "unknown"), "unknown"),
    ];
    for (act, first, recorded) in cases {
        let executor = Executor::start(&[act]).await;
        let daemon = Daemon::alone(&[&executor], table(Store::Up), Bounds::default()).await;
        let told = order(&daemon, "order-1").await;
        assert_eq!((told.0, told.1.as_str()), first);
        daemon.idle().await;
        let again = order(&daemon, "order-1").await;
        assert_eq!(again, (409, recorded.to_owned()));
        assert_eq!(executor.seen(), 1);
    }
}

#[tokio::test]
async fn store_away_refuses_as_not_run_and_other_requests_go_on() {
    for store in [Store::Refusing, Store::Away] {
        let executor = Executor::start(&[Act::Echo]).await;
        let bounds = Bounds {
            intent: Duration::from_millis(100),
            ..Bounds::default()
        };
        let daemon = Daemon::alone(&[&executor], table(store), bounds).await;
        for id in ["order-1", "order-1", "order-2"] {
            assert_eq!(order(&daemon, id).await, (503, "not-run".to_owned()));
        }
        assert_eq!(executor.seen(), 0);
        for method in [reqwest::Method::GET, reqwest::Method::POST] {
            let answer = caller().request(method, daemon.url()).send().await;
            let answer = answer.expect("an answer");
            assert_eq!(told(&answer, "ff-outcome"), "answered", "{store:?}");
        }
        daemon.idle().await;
    }
}

#[tokio::test]
async fn lost_answer_of_the_intent_write_neither_loses_nor_doubles_the_request() {
    let executor = Executor::start(&[Act::Echo]).await;
    let daemon = Daemon::alone(
        &[&executor],
        table(Store::LosesFirstAnswer),
        Bounds::default(),
    )
    .await;
    let told = order(&daemon, "order-1").await;
    assert_eq!(told, (200, "answered".to_owned()));
    assert_eq!(order(&daemon, "order-1").await.0, 409);
    assert_eq!(executor.seen(), 1);
}

#[tokio::test]
async fn request_that_was_not_run_may_be_sent_again_under_its_id() {
    let refusing = Executor::start(&[Act::Refuse, Act::Refuse, Act::Refuse, Act::Echo]).await;
    let daemon = Daemon::alone(&[&refusing], table(Store::Up), Bounds::default()).await;
    let told = order(&daemon, "order-1").await;
    assert_eq!(told, (503, "not-run".to_owned()));
    daemon.idle().await;
    let again = order(&daemon, "order-1").await;
    assert_eq!(again, (200, "answered".to_owned()));
    assert_eq!(refusing.seen(), 4);
}
