use std::net::SocketAddr;

use conf::api::Done;
use conf::api::Problem;
use fireflynotch::exit::Exit;
use model::outcome::Outcome;
use tokio::net::TcpListener;

use crate::daemon::answer;
use crate::daemon::ask;
use crate::daemon::client;
use crate::daemon::serve;

fn problem(outcome: Outcome) -> Problem {
    Problem {
        outcome,
        reason: "the table is away".to_owned(),
        retry_after_ms: Some(700),
        findings: Vec::new(),
    }
}

fn done() -> String {
    let message = "cancelled".to_owned();
    answer(200, &Done { message })
}

async fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn outcomes_are_told_apart_by_the_exit_code() {
    let cut_short = "HTTP/1.1 200 -\r\nContent-Length: 90\r\nConnection: close\r\n\r\n{";
    let cases = [
        ("answered", done(), Exit::Done, Exit::Unreachable),
        (
            "not run",
            answer(503, &problem(Outcome::NotRun)),
            Exit::NotDone,
            Exit::NotDone,
        ),
        (
            "unknown",
            answer(504, &problem(Outcome::Unknown)),
            Exit::Unknown,
            Exit::Unknown,
        ),
        (
            "bad token",
            answer(401, &problem(Outcome::NotRun)),
            Exit::BadInput,
            Exit::BadInput,
        ),
        ("closed", String::new(), Exit::Unknown, Exit::Unreachable),
        (
            "cut short",
            cut_short.to_owned(),
            Exit::Unknown,
            Exit::Unreachable,
        ),
        (
            "no JSON",
            cut_short.replace("90", "1"),
            Exit::Unknown,
            Exit::Unreachable,
        ),
        (
            "a proxy's error",
            answer(502, &"bad gateway"),
            Exit::Unknown,
            Exit::Unreachable,
        ),
    ];
    for (case, answer, of_write, of_read) in cases {
        let (written, _) = ask(answer.clone(), "cancel t1").await;
        assert_eq!(written.exit, of_write, "{case}: {written:?}");
        let (read, _) = ask(answer, "status").await;
        assert_eq!(read.exit, of_read, "{case}: {read:?}");
    }
}

#[tokio::test]
async fn the_next_address_is_asked_where_the_first_is_silent() {
    let (second, served) = serve(vec![done()]).await;
    let ran = client(&[nobody().await, second], "cancel t1").await;
    assert_eq!((ran.exit, ran.stdout.as_str()), (Exit::Done, "cancelled\n"));
    let requests = served.await.unwrap();
    assert!(
        requests[0].starts_with("POST /v1/tasks/t1/cancel "),
        "{requests:?}"
    );
    let ran = client(&[nobody().await, nobody().await], "cancel t1").await;
    assert_eq!(ran.exit, Exit::Unreachable);
}

#[tokio::test]
async fn a_refusal_elsewhere_does_not_settle_a_lost_answer() {
    let cases = [
        (
            "refused",
            answer(503, &problem(Outcome::NotRun)),
            Exit::Unknown,
        ),
        ("found out", done(), Exit::Done),
    ];
    for (case, second, exit) in cases {
        let (first, _served) = serve(vec![String::new()]).await;
        let (second, _also) = serve(vec![second]).await;
        let ran = client(&[first, second], "cancel t1").await;
        assert_eq!(ran.exit, exit, "{case}: {ran:?}");
    }
}

#[tokio::test]
async fn machines_read_the_outcome_and_when_to_come_back() {
    let refused = answer(503, &problem(Outcome::NotRun));
    let (ran, _) = ask(refused, "--json cancel t1").await;
    let read: Problem = serde_json::from_str(&ran.stdout).unwrap();
    assert_eq!(read, problem(Outcome::NotRun));
    assert!(ran.stderr.contains("700 ms"), "{ran:?}");
}

#[tokio::test]
async fn wrong_arguments_reach_no_daemon() {
    let lines = [
        "",
        "fly",
        "cancel",
        "cancel a/b",
        "cancel ..",
        "worker",
        "apply none.jsonc",
        "tasks --state flying",
        "submit t1 --class ice",
        "--token-file none status",
    ];
    for line in lines {
        let ran = client(&[nobody().await], line).await;
        assert_eq!(ran.exit, Exit::BadInput, "{line}: {ran:?}");
        assert!(!ran.stderr.is_empty(), "{line}");
    }
}
