use node::console::Console;

use super::browser::Browser;
use super::browser::PageReply;
use crate::world::DOCUMENT;
use crate::world::World;

const PATHS: [&str; 21] = [
    "/console/login",
    "/console",
    "/console/look/members",
    "/console/look/upstreams",
    "/console/look/hosts",
    "/console/look/shards",
    "/console/look/tasks?state=failed",
    "/console/look/parts",
    "/console/look/dump",
    "/console/draft",
    "/console/text",
    "/console/edit/halves",
    "/console/edit/halves?name=noord",
    "/console/edit/regions?name=vlaanderen",
    "/console/edit/upstreams?name=planning",
    "/console/edit/callers",
    "/console/edit/teams?name=fleet",
    "/console/edit/classes?name=check",
    "/console/edit/sharing",
    "/console/style.css",
    "/console/edit/upstreams",
];

/// Returns the start tags of all elements with this name, without the name.
fn tags<'a>(html: &'a str, tag: &str) -> Vec<&'a str> {
    let starts = html.split('<').filter_map(|rest| rest.strip_prefix(tag));
    let starts = starts.filter(|rest| rest.starts_with([' ', '>']));
    starts.map(|rest| rest.split('>').next().unwrap()).collect()
}

fn attribute<'a>(tag: &'a str, name: &str) -> Option<&'a str> {
    let rest = tag.split(&format!(" {name}=\"")).nth(1)?;
    rest.split('"').next()
}

fn assert_controls_are_labelled(reply: &PageReply, path: &str) {
    let html = &reply.html;
    let labels: Vec<&str> = tags(html, "label")
        .into_iter()
        .filter_map(|label| attribute(label, "for"))
        .collect();
    let ids: Vec<&str> = html
        .split(" id=\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .collect();
    for tag in ["input", "select", "textarea"] {
        for control in tags(html, tag) {
            if attribute(control, "type") == Some("hidden") {
                continue;
            }
            let id = attribute(control, "id").expect("a control has an id");
            let count = labels.iter().filter(|label| **label == id).count();
            assert_eq!(count, 1, "labels of {id} at {path}");
            let described = attribute(control, "aria-describedby").unwrap_or_default();
            for hint in described.split_whitespace() {
                assert!(ids.contains(&hint), "{hint} at {path}");
            }
        }
    }
    for id in &ids {
        let count = ids.iter().filter(|other| *other == id).count();
        assert_eq!(count, 1, "{id} at {path}");
    }
}

#[tokio::test(start_paused = true)]
async fn pages_work_by_keyboard_and_without_scripts() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    for path in PATHS {
        let reply = browser.get(path).await;
        assert_eq!(reply.status, 200, "{path}");
        assert_eq!(reply.headers["cache-control"], "no-store", "{path}");
        let policy = reply.headers["content-security-policy"].to_str().unwrap();
        assert!(policy.starts_with("default-src 'none'"), "{policy}");
        if path == "/console/style.css" {
            reply.assert_has("focus-visible { outline: 3px");
            continue;
        }
        reply
            .assert_lacks("<script")
            .assert_lacks(" onclick=")
            .assert_lacks("javascript:");
        reply
            .assert_has("<html lang=\"en\">")
            .assert_has("href=\"#content\"")
            .assert_has("<main id=\"content\"");
        assert_eq!(tags(&reply.html, "h1").len(), 1, "{path}");
        for form in tags(&reply.html, "form") {
            let to = attribute(form, "action").unwrap();
            assert!(to.starts_with("/console/"), "{to}");
        }
        assert_controls_are_labelled(&reply, path);
    }
}

#[tokio::test(start_paused = true)]
async fn the_state_is_shown_as_the_api_reports_it() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    let cases = [
        ("/console", "<dd>d1 takes requests</dd>"),
        ("/console", "<dd>version 1 bram</dd>"),
        ("/console", "Handovers in progress: none."),
        (
            "/console/look/members",
            "<th scope=\"row\">d1</th><td>noord</td><td>vlaanderen, limburg</td><td>live</td>",
        ),
        (
            "/console/look/upstreams",
            "<th scope=\"row\">planning</th><td>noord</td><td>0</td>",
        ),
        (
            "/console/look/hosts",
            "<th scope=\"row\">d3</th><td>live</td>",
        ),
        (
            "/console/look/parts",
            "<th scope=\"row\">daemon/observe</th><td>running</td>",
        ),
    ];
    for (path, text) in cases {
        browser.get(path).await.assert_has(text);
    }
    let handed_over = DOCUMENT.replacen("{ \"half\": \"noord\" /*", "{ \"half\": \"zuid\" /*", 1);
    world.apply(&handed_over).await;
    let row = "<th scope=\"row\">planning</th><td>noord</td><td>zuid</td><td>taken</td>";
    for path in ["/console", "/console/look/upstreams"] {
        browser
            .get(path)
            .await
            .assert_has("Handovers in progress")
            .assert_has(row);
    }
    world
        .table
        .faults()
        .set_for("scan", fake::faults::Fault::Refused);
    let tasks = browser.get("/console/look/tasks").await;
    assert_eq!(tasks.status, 503);
    tasks.assert_has("the table does not answer");
}
