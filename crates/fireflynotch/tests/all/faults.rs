use std::net::SocketAddr;

use conf::api::Done;
use conf::api::Problem;
use fireflynotch::exit::ExitStatus;
use model::outcome::Outcome;
use tokio::net::TcpListener;

use crate::mock_daemon::response;
use crate::mock_daemon::run_against;
use crate::mock_daemon::run_client;
use crate::mock_daemon::serve;

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
    response(200, &Done { message })
}

async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn the_exit_code_reflects_the_outcome() {
    let truncated = "HTTP/1.1 200 -\r\nContent-Length: 90\r\nConnection: close\r\n\r\n{";
    let cases = [
        (
            "answered",
            done(),
            ExitStatus::Done,
            ExitStatus::Unreachable,
        ),
        (
            "not run",
            response(503, &problem(Outcome::NotRun)),
            ExitStatus::NotDone,
            ExitStatus::NotDone,
        ),
        (
            "unknown",
            response(504, &problem(Outcome::Unknown)),
            ExitStatus::Unknown,
            ExitStatus::Unknown,
        ),
        (
            "bad token",
            response(401, &problem(Outcome::NotRun)),
            ExitStatus::BadInput,
            ExitStatus::BadInput,
        ),
        (
            "closed",
            String::new(),
            ExitStatus::Unknown,
            ExitStatus::Unreachable,
        ),
        (
            "cut short",
            truncated.to_owned(),
            ExitStatus::Unknown,
            ExitStatus::Unreachable,
        ),
        (
            "no JSON",
            truncated.replace("90", "1"),
            ExitStatus::Unknown,
            ExitStatus::Unreachable,
        ),
        (
            "a proxy's error",
            response(502, &"bad gateway"),
            ExitStatus::Unknown,
            ExitStatus::Unreachable,
        ),
    ];
    for (case, http_response, write_exit, read_exit) in cases {
        let (written, _) = run_against(http_response.clone(), "cancel t1").await;
        assert_eq!(written.exit, write_exit, "{case}: {written:?}");
        let (read, _) = run_against(http_response, "status").await;
        assert_eq!(read.exit, read_exit, "{case}: {read:?}");
    }
}

#[tokio::test]
async fn the_next_address_is_tried_if_the_first_is_unreachable() {
    let (second, server) = serve(vec![done()]).await;
    let output = run_client(&[unused_address().await, second], "cancel t1").await;
    assert_eq!(
        (output.exit, output.stdout.as_str()),
        (ExitStatus::Done, "cancelled\n")
    );
    let requests = server.await.unwrap();
    assert!(
        requests[0].starts_with("POST /v1/tasks/t1/cancel "),
        "{requests:?}"
    );
    let output = run_client(
        &[unused_address().await, unused_address().await],
        "cancel t1",
    )
    .await;
    assert_eq!(output.exit, ExitStatus::Unreachable);
}

#[tokio::test]
async fn a_refusal_by_another_daemon_leaves_a_lost_response_unknown() {
    let cases = [
        (
            "refused",
            response(503, &problem(Outcome::NotRun)),
            ExitStatus::Unknown,
        ),
        ("found out", done(), ExitStatus::Done),
    ];
    for (case, second, exit) in cases {
        let (first, _first_server) = serve(vec![String::new()]).await;
        let (second, _second_server) = serve(vec![second]).await;
        let output = run_client(&[first, second], "cancel t1").await;
        assert_eq!(output.exit, exit, "{case}: {output:?}");
    }
}

#[tokio::test]
async fn json_output_contains_the_outcome_and_the_retry_delay() {
    let refused = response(503, &problem(Outcome::NotRun));
    let (output, _) = run_against(refused, "--json cancel t1").await;
    let read: Problem = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(read, problem(Outcome::NotRun));
    assert!(output.stderr.contains("700 ms"), "{output:?}");
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
        let output = run_client(&[unused_address().await], line).await;
        assert_eq!(output.exit, ExitStatus::BadInput, "{line}: {output:?}");
        assert!(!output.stderr.is_empty(), "{line}");
    }
}
