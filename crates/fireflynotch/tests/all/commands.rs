use std::path::Path;

use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::api::DocumentView;
use conf::api::HandoverView;
use conf::api::MemberView;
use conf::api::StatusView;
use conf::api::Submission;
use conf::api::TaskPage;
use conf::api::TaskState;
use conf::api::TaskView;
use conf::api::UpstreamView;
use conf::diff::Change;
use conf::diff::ChangeKind;
use conf::diff::Conflict;
use fireflynotch::exit::ExitStatus;
use model::id::Attempt;
use model::id::DocVersion;
use model::id::Incarnation;
use model::place::Place;
use serde_json::Value;

use crate::mock_daemon::TOKEN;
use crate::mock_daemon::response;
use crate::mock_daemon::run_against;
use crate::mock_daemon::run_client;

fn example(name: &str) -> String {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    examples.join(name).display().to_string()
}

fn body<T: serde::de::DeserializeOwned>(request: &str) -> T {
    serde_json::from_str(request.split_once("\r\n\r\n").unwrap().1).unwrap()
}

fn change(summary: &str) -> Change {
    Change {
        pointer: "/sharing/batch_percent".to_owned(),
        kind: ChangeKind::Set,
        before: Value::from(70),
        after: Value::from(60),
        summary: summary.to_owned(),
    }
}

fn accepted(pending: &[&str]) -> ApplyReply {
    ApplyReply::Accepted {
        version: DocVersion(8),
        changes: vec![change("sharing batch_percent: 70 becomes 60")],
        in_force: vec!["limburg-1".into()],
        pending: pending.iter().map(|name| (*name).into()).collect(),
        passed_over: Vec::new(),
    }
}

#[tokio::test]
async fn apply_reports_every_outcome_of_a_change() {
    let overtaken = ApplyReply::Overtaken {
        version: DocVersion(8),
        by: "els".to_owned(),
        theirs: vec![change("sharing batch_percent: 70 becomes 60")],
        conflicts: vec![Conflict {
            pointer: "/sharing/batch_percent".to_owned(),
            ours: change("ours"),
            theirs: change("theirs"),
        }],
    };
    let unreachable = ApplyReply::Unreachable {
        daemons: vec!["namur-1".into(), "namur-2".into()],
    };
    let cases = [
        (
            accepted(&[]),
            "--wait",
            ExitStatus::Done,
            "Accepted as version 8.",
        ),
        (
            accepted(&["namur-1"]),
            "--wait",
            ExitStatus::NotDone,
            "Not yet known to be in force on namur-1",
        ),
        (
            accepted(&["namur-1"]),
            "",
            ExitStatus::Done,
            "In force on limburg-1",
        ),
        (
            overtaken,
            "--base 7",
            ExitStatus::NotDone,
            "yours: ours; theirs: theirs",
        ),
        (
            unreachable,
            "",
            ExitStatus::NotDone,
            "namur-1, namur-2 may be serving",
        ),
    ];
    let file = example("rsh.document.jsonc");
    for (reply, options, exit, text) in cases {
        let line = format!("apply {options} --without antwerpen-1 {file}");
        let (output, request) = run_against(response(200, &reply), &line).await;
        assert_eq!(output.exit, exit, "{output:?}");
        assert!(output.stdout.contains(text), "{output:?}");
        assert!(request.starts_with("POST /v1/apply "), "{request}");
        assert!(request.contains(&format!("Bearer {TOKEN}")), "{request}");
        let sent: ApplyRequest = body(&request);
        assert_eq!((sent.op.as_str(), sent.by.as_str()), ("op-1", "an"));
        assert_eq!(sent.base.is_some(), options.contains("base"));
        assert_eq!(sent.without, ["antwerpen-1".into()]);
    }
}

#[tokio::test]
async fn a_change_with_an_unknown_outcome_is_resent_under_its_id() {
    let line = format!("apply {}", example("rsh.document.jsonc"));
    let (output, _) = run_against(String::new(), &line).await;
    assert_eq!(output.exit, ExitStatus::Unknown);
    assert!(output.stderr.contains("apply --id op-1"), "{output:?}");
    let line = format!("apply --id op-0 {}", example("rsh.document.jsonc"));
    let (_, request) = run_against(response(200, &accepted(&[])), &line).await;
    assert_eq!(body::<ApplyRequest>(&request).op.as_str(), "op-0");
}

#[tokio::test]
async fn an_invalid_document_is_reported_with_all_findings_and_not_sent() {
    // A settings file is not a document: its keys are unknown and the required ones are missing.
    let file = example("rsh.limburg-1.settings.jsonc");
    for command in ["apply", "check --offline"] {
        let output = run_client(&[], &format!("{command} {file}")).await;
        assert_eq!(output.exit, ExitStatus::BadInput, "{command}");
        for text in [
            "there is no key `daemon` here",
            "the key `upstreams` is missing",
        ] {
            assert!(output.stderr.contains(text), "{command}: {}", output.stderr);
        }
    }
    let output = run_client(
        &[],
        &format!("check --offline {}", example("aqse.document.jsonc")),
    )
    .await;
    assert_eq!(
        (output.exit, output.stderr.as_str()),
        (ExitStatus::Done, "")
    );
}

#[tokio::test]
async fn show_prints_the_document_text_unchanged() {
    let text = "{ // comments stay\n}\n".to_owned();
    let view = DocumentView {
        version: DocVersion(7),
        text: text.clone(),
        by: "els".to_owned(),
        op: "op-7".into(),
    };
    let (output, _) = run_against(response(200, &view), "show").await;
    assert_eq!((output.exit, output.stdout), (ExitStatus::Done, text));
    assert_eq!(output.stderr, "Version 7 by els.\n");
    let (output, _) = run_against(response(200, &view), "--json show").await;
    assert_eq!(
        serde_json::from_str::<DocumentView>(&output.stdout).unwrap(),
        view
    );
}

#[tokio::test]
async fn status_shows_the_progress_of_a_handover() {
    let status = StatusView {
        daemon: "limburg-1".into(),
        incarnation: Incarnation(3),
        ready: true,
        draining: false,
        version: DocVersion(8),
        store_silent_ms: Some(40),
        members: vec![MemberView {
            daemon: "namur-1".into(),
            half: "wallonie".into(),
            place: Place::new("wallonie", "namur"),
            state: "silent".to_owned(),
            version: DocVersion(7),
            silent_ms: 5_000,
        }],
        upstreams: vec![UpstreamView {
            upstream: "planning".into(),
            half: "wallonie".into(),
            handover: Some(HandoverView {
                from: "vlaanderen".into(),
                to: "wallonie".into(),
                step: "releasing".to_owned(),
                waiting_for: vec!["namur-1".into()],
            }),
            executors: 65,
            slots: 520,
            busy: 12,
        }],
        shards: Vec::new(),
        tasks: [("queued".to_owned(), 4)].into(),
    };
    let (output, _) = run_against(response(200, &status), "status").await;
    for text in [
        "limburg-1 is ready, with version 8 of the document; the table answered 40 ms ago.",
        "namur-1  wallonie  wallonie/namur  silent  7        5000 ms",
        "planning  wallonie  65         12/520  vlaanderen to wallonie, releasing, waiting for namur-1",
        "4 queued",
    ] {
        assert!(output.stdout.contains(text), "{text}\n{}", output.stdout);
    }
}

#[tokio::test]
async fn tasks_are_filtered_and_listed_by_page() {
    let view = TaskView {
        task: "ice-1".into(),
        team: "transport".into(),
        class: "ice-jam".into(),
        state: TaskState::Queued,
        attempt: Attempt(2),
        shard: "rack-1".into(),
        worker: None,
        evictions: 1,
        failures: 0,
        reason: Some("no worker has room".to_owned()),
    };
    let page = TaskPage {
        tasks: vec![view.clone()],
        next: Some("rack-1/ice-1".to_owned()),
    };
    let line = "tasks --state queued --team transport --limit 1 --after rack-1/ice-0";
    let (output, request) = run_against(response(200, &page), line).await;
    assert!(
        output
            .stdout
            .contains("ice-1  queued  transport  ice-jam  -       2"),
        "{}",
        output.stdout
    );
    assert!(
        output.stderr.contains("tasks --after rack-1/ice-1"),
        "{}",
        output.stderr
    );
    let query = "GET /v1/tasks?state=queued&team=transport&after=rack-1%2Fice-0&limit=1 ";
    assert!(request.starts_with(query), "{request}");
    let line = "submit ice-1 --team transport --class ice-jam --cpu-millis 4000 --urgent";
    let (output, request) = run_against(response(200, &view), line).await;
    assert_eq!(output.stdout, "ice-1 is queued at rack-1.\n");
    let sent: Submission = body(&request);
    assert_eq!((sent.size.cpu_millis, sent.run_ms), (4_000, None));
}

#[tokio::test]
async fn help_names_every_command_and_the_exit_codes() {
    let output = run_client(&[], "--help").await;
    assert_eq!(output.exit, ExitStatus::Done);
    let commands = [
        "check", "apply", "show", "status", "submit", "cancel", "tasks", "drain", "dump", "worker",
    ];
    for text in commands
        .iter()
        .chain(&["Exit codes", "Examples", "--token-file"])
    {
        assert!(output.stdout.contains(text), "{text}: {}", output.stdout);
        let output = run_client(&[], &format!("{text} --help")).await;
        let known = output.exit == ExitStatus::Done && output.stdout.contains("Usage:");
        assert_eq!(known, commands.contains(text), "{text}: {output:?}");
    }
}
