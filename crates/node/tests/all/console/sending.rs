use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use conf::accept::row::key::CURRENT;
use node::console::Console;
use plat::call::call;
use plat::error::CallError;
use plat::table::Scan;
use plat::table::Table;
use plat::table::TableError;
use plat::table::Txn;

use super::browser::Browser;
use super::browser::PageReply;
use crate::world::DOCUMENT;
use crate::world::World;

/// Saves the document with another weight as the draft and submits it.
async fn send_weight(browser: &mut Browser, weight: &str) -> PageReply {
    let text = DOCUMENT.replace("\"weight\": 2", &format!("\"weight\": {weight}"));
    browser.get("/console/text").await;
    browser.post("/console/text", &[("text", &text)]).await;
    let draft = browser.get("/console/draft").await;
    draft.assert_has(&format!(
        "<li>upstreams planning weight: 2 becomes {weight}</li>"
    ));
    browser.post("/console/send", &[("without", "")]).await
}

#[tokio::test(start_paused = true)]
async fn an_accepted_draft_is_in_force_and_its_form_cannot_be_sent_again() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    browser.get("/console/text").await;
    let sent = send_weight(&mut browser, "3").await;
    assert_eq!(sent.status, 200);
    sent.assert_has("Accepted as version 2")
        .assert_has("In force at: d1.")
        .assert_has("No differences.");
    let doc = world.cx().doc.borrow().clone().unwrap();
    assert_eq!((doc.version.0, doc.by.as_str()), (2, "ann"));
    assert_eq!(
        *doc.text,
        DOCUMENT.replace("\"weight\": 2", "\"weight\": 3")
    );
    browser.revision = "1".into();
    let again = browser.post("/console/send", &[("without", "")]).await;
    assert_eq!(again.status, 409);
    assert_eq!(world.cx().follower().version().0, 2);
}

#[tokio::test(start_paused = true)]
async fn of_two_operators_the_second_sees_the_conflicting_places() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut ann = Browser::logged_in(&console, "ann").await;
    let mut bea = Browser::logged_in(&console, "bea").await;
    let text = DOCUMENT
        .replace("\"weight\": 2", "\"weight\": 9")
        .replace("70", "50");
    bea.get("/console/text").await;
    bea.post("/console/text", &[("text", &text)]).await;
    bea.get("/console/draft").await;
    assert_eq!(send_weight(&mut ann, "3").await.status, 200);
    let sent = bea.post("/console/send", &[("without", "")]).await;
    assert_eq!(sent.status, 409);
    sent.assert_has("Overtaken: ann came first with version 2");
    sent.assert_has(
        "<th scope=\"row\">/upstreams/planning/weight</th>\
         <td>upstreams planning weight: 2 becomes 9</td>\
         <td>upstreams planning weight: 2 becomes 3</td>",
    );
    sent.assert_lacks("<th scope=\"row\">/sharing");
    assert_eq!(world.cx().follower().version().0, 2);
    assert_eq!(bea.post("/console/rebase", &[]).await.status, 303);
    let draft = bea.get("/console/draft").await;
    draft.assert_has("<li>upstreams planning weight: 3 becomes 9</li>");
    draft
        .assert_has("<li>sharing batch_percent: 70 becomes 50</li>")
        .assert_has("agreed in March");
    let sent = bea.post("/console/send", &[("without", "")]).await;
    sent.assert_has("Accepted as version 3");
}

#[tokio::test(start_paused = true)]
async fn unreachable_daemons_are_named_and_passed_over_at_the_operators_request() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    world.add_silent_daemon("d2");
    world.add_silent_daemon("d3");
    let sent = send_weight(&mut browser, "3").await;
    assert_eq!(sent.status, 503);
    sent.assert_has("daemons that may be serving did not answer")
        .assert_has("Not reached: d2, d3.");
    assert_eq!(world.cx().follower().version().0, 1);
    let sent = browser
        .post("/console/send", &[("without", "d2\r\nd3")])
        .await;
    sent.assert_has("Accepted as version 2")
        .assert_has("they cannot be serving: d2, d3.");
}

/// Loses the answer to the next write that puts a document into force after `armed` is set, and all
/// later calls until `lost` is cleared.
fn fail_after_accept(table: Table, armed: Arc<AtomicBool>, lost: Arc<AtomicBool>) -> Table {
    let unanswered = || TableError::Call(CallError::Unknown("lost".into()));
    let lost_answer = move |lost: &AtomicBool| lost.load(Ordering::SeqCst).then(unanswered);
    let [commits, reads, scans] = [lost.clone(), lost.clone(), lost];
    let Table { commit, read, scan } = table;
    Table {
        commit: call(move |txn: Txn| {
            let accepts = txn.writes.iter().any(|write| write.key == CURRENT);
            let before = lost_answer(&commits);
            if accepts && armed.swap(false, Ordering::SeqCst) {
                commits.store(true, Ordering::SeqCst);
            }
            let after = lost_answer(&commits);
            let answer = commit(txn);
            async move {
                match (before, after) {
                    (Some(error), _) => Err(error),
                    (None, Some(error)) => answer.await.and(Err(error)),
                    (None, None) => answer.await,
                }
            }
        }),
        read: call(move |key: String| {
            let (error, answer) = (lost_answer(&reads), read(key));
            async move { error.map_or(answer.await, Err) }
        }),
        scan: call(move |all: Scan| {
            let (error, answer) = (lost_answer(&scans), scan(all));
            async move { error.map_or(answer.await, Err) }
        }),
    }
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_reported_and_resent_under_the_same_id() {
    let armed = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicBool::new(false));
    let (arm, cut) = (armed.clone(), lost.clone());
    let world = World::start(None, move |table| fail_after_accept(table, arm, cut)).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    armed.store(true, Ordering::SeqCst);
    let sent = send_weight(&mut browser, "3").await;
    assert_eq!(sent.status, 502);
    sent.assert_has("Outcome unknown")
        .assert_has(">Ask again</button>");
    lost.store(false, Ordering::SeqCst);
    let again = browser.post("/console/send", &[("without", "")]).await;
    assert_eq!(again.status, 200);
    again.assert_has("Accepted as version 2");
    let history = world.table.rows().read("doc/history/000000000002");
    let current = world.table.rows().read(CURRENT).unwrap();
    assert_eq!(current.value["version"], 2, "{history:?}");
}
