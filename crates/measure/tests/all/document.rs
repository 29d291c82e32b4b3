use std::time::Duration;

use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::api::DocumentView;
use measure::system::client;
use measure::system::wait_until;
use model::id::DocVersion;
use model::id::OpId;

use crate::fixture::SEED;
use crate::fixture::WAIT_TIMEOUT;
use crate::fixture::apply_until_accepted;
use crate::fixture::daemons;
use crate::fixture::document;
use crate::fixture::start;

fn request(op: &str, text: &str) -> ApplyRequest {
    ApplyRequest {
        op: OpId::from(op),
        text: text.to_owned(),
        by: op.to_owned(),
        base: Some(DocVersion(1)),
        without: Vec::new(),
        wait: false,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_one_is_accepted_and_the_other_learns_what_changed() {
    let system = start(Duration::from_secs(1)).await;
    let [left, right] = [
        document("zuid"),
        document("noord").replace("/parts", "/spares"),
    ];
    let (left, right) = (request("left", &left), request("right", &right));
    let path = conf::api::APPLY;
    let (left, right) = tokio::join!(
        client::post::<_, ApplyReply>(system.daemons[0].operators, path, &left),
        client::post::<_, ApplyReply>(system.daemons[1].operators, path, &right),
    );
    let replies = [
        left.expect("the daemon answers"),
        right.expect("the daemon answers"),
    ];
    let accepted = replies
        .iter()
        .filter(|reply| matches!(reply, ApplyReply::Accepted { .. }))
        .count();
    assert_eq!(accepted, 1, "{replies:?}");
    let has_overtaken = replies.iter().any(|reply| {
        matches!(reply, ApplyReply::Overtaken { version: DocVersion(2), theirs, .. } if !theirs.is_empty())
    });
    assert!(has_overtaken, "{replies:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_sent_again_under_its_id_is_accepted_once() {
    let system = start(Duration::from_secs(1)).await;
    let text = document("zuid");
    for daemon in &system.daemons {
        apply_until_accepted(daemon.operators, "same", &text).await;
    }
    let status = client::status(system.daemons[0].operators)
        .await
        .expect("the daemon answers");
    assert_eq!(status.version, DocVersion(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_accepted_without_a_daemon_that_left_and_one_that_died() {
    let mut system = start(Duration::from_secs(1)).await;
    system
        .remove("antwerpen-1")
        .stop()
        .await
        .expect("the daemon drains without error");
    system.remove("limburg-1").kill();
    let operators = system.daemons[0].operators;
    apply_until_accepted(operators, "without", &document("zuid")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_daemon_is_not_ready_before_it_has_the_document_in_force() {
    let mut system = start(Duration::from_secs(1)).await;
    let operators = system.daemons[0].operators;
    apply_until_accepted(operators, "second", &document("zuid")).await;
    system.remove("antwerpen-1").kill();
    system
        .add(&daemons()[1], SEED + 9)
        .await
        .expect("the daemon starts");
    let new = system
        .daemons
        .last()
        .expect("the new daemon is in the list")
        .operators;
    let ready = async || {
        let status = client::status(new).await.expect("the daemon answers");
        assert!(
            !status.ready || status.version == DocVersion(2),
            "the daemon is ready with an older document"
        );
        status.ready
    };
    assert!(wait_until(WAIT_TIMEOUT, ready).await);
    let url = format!("http://{new}{}", conf::api::DOCUMENT);
    let shown: DocumentView = client::get(&url).await.expect("the daemon answers");
    assert!(
        shown.text.contains("// Two halves"),
        "the comments of the document are preserved"
    );
}
