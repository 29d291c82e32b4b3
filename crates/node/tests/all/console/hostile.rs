use std::time::Duration;

use http::Method;
use model::Size;
use node::console::Console;
use node::console::form::MAX_FORM_BYTES;
use node::console::session::MAX_DRAFT_BYTES;

use super::browser::Browser;
use super::browser::encode;
use crate::world::DOCUMENT;
use crate::world::World;

const NAME: &str = "<script>alert('1')</script>\"&/~";

#[tokio::test(start_paused = true)]
async fn names_cannot_break_out_of_the_page() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, NAME).await;
    browser.get("/console/edit/halves").await;
    let added = browser.post("/console/add/halves", &[("name", NAME)]).await;
    let entry = added.location().to_owned();
    let fields = [
        ("name", NAME),
        ("title", "</textarea><script>"),
        ("share_percent", "\"><script>"),
    ];
    browser
        .get(&entry)
        .await
        .assert_has("cannot be used as a name");
    assert_eq!(
        browser
            .post("/console/edit/halves", &fields)
            .await
            .location(),
        entry
    );
    for path in [
        entry.as_str(),
        "/console/edit/halves",
        "/console/draft",
        "/console/text",
        "/console",
    ] {
        let reply = browser.get(path).await;
        assert_eq!(reply.status, 200, "{path}");
        reply
            .assert_lacks("<script")
            .assert_has("&lt;script&gt;alert(&#39;1&#39;)");
    }
    let reply = browser.get("/console/look/tasks?state=%3Cscript%3E").await;
    reply.assert_lacks("<script>");
    browser.get("/console/edit/halves").await;
    browser
        .post("/console/remove/halves", &[("name", NAME)])
        .await;
    let draft = browser.get("/console/draft").await;
    draft
        .assert_has("No differences.")
        .assert_has("// agreed in March");
}

#[tokio::test(start_paused = true)]
async fn names_of_tasks_cannot_break_out_of_the_page() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    world.submit("<script>1&", Size::new(100, 64, 0)).await;
    world.submit("<script>2&", Size::new(500, 999, 0)).await;
    // Leaves time to read the row of the shard again and to run the scheduler.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let tasks = browser.get("/console/look/tasks").await;
    tasks.assert_lacks("<script").assert_has("&lt;script&gt;1");
    tasks
        .assert_has("the document allows its class on none of the workers")
        .assert_has("the quota of its team is");
    let queues = browser.get("/console/look/shards").await;
    queues
        .assert_lacks("<script")
        .assert_has("<th scope=\"row\">r1</th><td>d1</td>");
    queues.assert_has("<th scope=\"row\">fleet</th><td>0</td>");
    // The only worker does not answer, so there is no place for the first task.
    queues.assert_has("&lt;script&gt;1&amp;</th><td>no-place</td>");
    queues.assert_has("&lt;script&gt;2&amp;</th><td>over-quota</td>");
    let dump = browser.get("/console/look/dump").await;
    dump.assert_lacks("<script").assert_has("&lt;script&gt;2");
}

#[tokio::test(start_paused = true)]
async fn oversized_and_malformed_requests_are_rejected_and_change_nothing() {
    const FORM: &str = "application/x-www-form-urlencoded";
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    browser.get("/console/text").await;
    let hidden = [
        ("anti_forgery", browser.anti_forgery.clone()),
        ("revision", browser.revision.clone()),
    ];
    let hidden = hidden
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    let with =
        |name: &str, value: &str| encode(&[hidden[0], hidden[1], (name, value)]).into_bytes();
    let long = "x".repeat(MAX_DRAFT_BYTES + 1);
    let cases: [(&str, &str, &str, Vec<u8>, u16); 12] = [
        (
            "too large",
            "text",
            FORM,
            vec![b'a'; MAX_FORM_BYTES + 1],
            400,
        ),
        ("draft too long", "text", FORM, with("text", &long), 400),
        ("no form", "text", "application/json", b"{}".to_vec(), 400),
        ("no type", "text", "", with("text", "{}"), 400),
        (
            "no text",
            "text",
            FORM,
            [with("text", ""), b"%ff%fe".to_vec()].concat(),
            400,
        ),
        ("bytes", "text", FORM, vec![0xff, 0xfe, b'=', 0x80], 400),
        ("many fields", "text", FORM, b"a=b&".repeat(65), 400),
        ("empty", "text", FORM, Vec::new(), 400),
        (
            "field missing",
            "edit/upstreams",
            FORM,
            with("name", "planning"),
            400,
        ),
        ("name missing", "add/halves", FORM, with("name", "  "), 400),
        ("no section", "edit/nothing", FORM, with("name", "x"), 404),
        ("no page", "nothing", FORM, with("name", "x"), 404),
    ];
    for (case, path, kind, body, status) in cases {
        let path = format!("/console/{path}");
        let reply = browser.send(Method::POST, &path, kind, body).await;
        assert_eq!(reply.status, status, "{case}");
        reply
            .assert_has("Nothing was done: ")
            .assert_has("role=\"alert\"");
    }
    for (path, status) in [
        ("/console/edit/nothing", 404),
        ("/console/look/nothing", 404),
        ("/console/edit/halves?name=nobody", 404),
        ("/console/edit/halves?name=%ff", 400),
        ("/console/a/b/c/d", 404),
    ] {
        assert_eq!(browser.get(path).await.status, status, "{path}");
    }
    let put = browser.send(Method::PUT, "/console/text", FORM, Vec::new());
    assert_eq!(put.await.status, 404);
    assert_eq!(
        browser.get("/console/text").await.textarea("f-text"),
        DOCUMENT
    );
}
