use node::console::Console;

use super::browser::Browser;
use super::browser::PageReply;
use crate::world::DOCUMENT;
use crate::world::World;

/// The fields of the form for the upstream `planning`, with the values of the document.
const PLANNING: [(&str, &str); 7] = [
    ("name", "planning"),
    ("half", "noord"),
    ("routes", "/plan"),
    ("slots", ""),
    ("connections", ""),
    ("deadline_ms", ""),
    ("weight", "2"),
];

async fn save(browser: &mut Browser, key: &str, value: &str) -> PageReply {
    let fields = PLANNING.map(|(name, current)| (name, if name == key { value } else { current }));
    browser.get("/console/edit/upstreams?name=planning").await;
    let reply = browser.post("/console/edit/upstreams", &fields).await;
    assert_eq!(reply.location(), "/console/edit/upstreams?name=planning");
    let to = reply.location().to_owned();
    browser.get(&to).await
}

#[tokio::test(start_paused = true)]
async fn saving_a_form_keeps_comments_and_what_was_not_changed() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let cases = [
        ("weight", "2", DOCUMENT.to_owned()),
        (
            "weight",
            "7",
            DOCUMENT.replace("\"weight\": 2", "\"weight\": 7"),
        ),
        (
            "half",
            "zuid",
            DOCUMENT.replacen("{ \"half\": \"noord\" /*", "{ \"half\": \"zuid\" /*", 1),
        ),
        ("routes", "/plan\r\n", DOCUMENT.to_owned()),
    ];
    for (key, value, text) in cases {
        let mut browser = Browser::logged_in(&console, "ann").await;
        save(&mut browser, key, value).await;
        assert_eq!(
            browser.get("/console/text").await.textarea("f-text"),
            text,
            "{key}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_form_of_each_part_changes_what_was_entered_and_nothing_else() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let cases = [
        (
            "halves",
            "name=zuid&title=&share_percent=30",
            "halves zuid share_percent: 40 becomes 30",
        ),
        (
            "regions",
            "name=vlaanderen&data_centres=limburg%0D%0A%0D%0A+namur+",
            "regions vlaanderen data_centres: [&quot;limburg&quot;] becomes \
             [&quot;limburg&quot;,&quot;namur&quot;]",
        ),
        (
            "teams",
            "name=fleet&half=noord&quota/cpu_millis=2000&quota/memory_mib=64\
             &quota/accelerators=&weight=",
            "teams fleet quota cpu_millis: 1000 becomes 2000",
        ),
        (
            "classes",
            "name=check&kind=batch&half=noord&regions=&data_centres=&p99_target_us=&max_per_rack=4",
            "classes check max_per_rack: null becomes 4",
        ),
        (
            "sharing",
            "batch_percent=70&tail_weight=&throughput_weight=&evictions_weight=3",
            "sharing evictions_weight: 1 becomes 3",
        ),
    ];
    for (section, entered, change) in cases {
        let mut browser = Browser::logged_in(&console, "ann").await;
        let to = format!("/console/edit/{section}");
        browser.get(&to).await;
        let fields: Vec<(String, String)> = form_urlencoded::parse(entered.as_bytes())
            .into_owned()
            .collect();
        let fields: Vec<(&str, &str)> = fields.iter().map(|(k, v)| (&**k, &**v)).collect();
        let saved = browser.post(&to, &fields).await;
        assert_eq!(saved.status, 303, "{section}");
        let draft = browser.get("/console/draft").await;
        draft
            .assert_has(&format!("<li>{change}"))
            .assert_lacks("Findings");
        let changes = draft.html.matches("<li>").count() - draft.html.matches("<li><a ").count();
        assert_eq!(changes, 1, "{section}");
        let text = browser.get("/console/text").await.textarea("f-text");
        let comments = [
            "// The two halves.",
            "/* until May */",
            "// agreed in March",
        ];
        assert!(
            comments.iter().all(|comment| text.contains(comment)),
            "{text}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn each_finding_appears_at_its_field_and_in_the_summary() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let cases = [
        ("half", "oost", "there is no half `oost`"),
        ("routes", "plan", "`plan` is no path prefix"),
        ("slots", "0", "0 is not between 1 and 4096"),
        ("slots", "many", "a whole number is needed here, not a text"),
        (
            "connections",
            "4",
            "an executor with 8 slots cannot fill them over 4 connections",
        ),
        (
            "deadline_ms",
            "-1",
            "a whole number is needed here, not a text",
        ),
        ("weight", "1001", "1001 is not between 1 and 1000"),
    ];
    for (key, value, message) in cases {
        let mut browser = Browser::logged_in(&console, "ann").await;
        let reply = save(&mut browser, key, value).await;
        let at_field = format!("<div id=\"f-{key}-finding\"><p class=\"finding\">Error: {message}");
        reply
            .assert_has(&at_field)
            .assert_has("aria-invalid=\"true\"")
            .assert_has(value);
        let link =
            format!("<a href=\"/console/edit/upstreams?name=planning#f-{key}\">Error: {message}");
        reply.assert_has("Findings: 1").assert_has(&link);
        let draft = browser.get("/console/draft").await;
        draft
            .assert_has(&link)
            .assert_has("A draft with errors is not sent");
    }
}

#[tokio::test(start_paused = true)]
async fn entries_are_added_filled_in_and_removed() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    let cases = [
        ("halves", "midden"),
        ("regions", "wallonie"),
        ("upstreams", "parts"),
        ("callers", "app"),
        ("teams", "routes"),
        ("classes", "plan"),
    ];
    for (section, name) in cases {
        let to = format!("/console/edit/{section}?name={name}");
        let list = format!("/console/edit/{section}");
        browser
            .get(&list)
            .await
            .assert_lacks(&format!("href=\"{to}\""));
        let add = format!("/console/add/{section}");
        let added = browser.post(&add, &[("name", name)]).await;
        assert_eq!(added.location(), to);
        browser
            .get(&to)
            .await
            .assert_has(&format!("<legend>{name}</legend>"));
        let twice = browser.post(&add, &[("name", name)]).await;
        assert_eq!(twice.status, 400, "{section}");
        browser
            .get(&list)
            .await
            .assert_has(&format!("href=\"{to}\""));
    }
    let draft = browser.get("/console/draft").await;
    draft
        .assert_has("<li>teams routes: added</li>")
        .assert_has("<li>callers app: added</li>");
    for (section, name) in cases {
        browser.get("/console/draft").await;
        let remove = format!("/console/remove/{section}");
        let removed = browser.post(&remove, &[("name", name)]).await;
        assert_eq!(removed.status, 303);
        let removed_page = format!("/console/edit/{section}?name={name}");
        assert_eq!(browser.get(&removed_page).await.status, 404, "{section}");
    }
    browser
        .get("/console/draft")
        .await
        .assert_has("No differences.");
}

#[tokio::test(start_paused = true)]
async fn a_draft_without_changes_follows_the_document_in_force_and_an_open_form_does_not() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut browser = Browser::logged_in(&console, "ann").await;
    browser.get("/console/edit/upstreams?name=planning").await;
    world
        .apply(&DOCUMENT.replace("\"weight\": 2", "\"weight\": 5"))
        .await;
    let fields =
        PLANNING.map(|(name, current)| (name, if name == "slots" { "4" } else { current }));
    let saved = browser.post("/console/edit/upstreams", &fields).await;
    assert_eq!(saved.status, 303);
    let draft = browser.get("/console/draft").await;
    draft.assert_has("The draft was started from version 1; version 2 is in force since.");
    browser.post("/console/discard", &[]).await;
    let form = browser.get("/console/edit/upstreams?name=planning").await;
    form.assert_has("name=\"weight\"").assert_has("value=\"5\"");
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_text_is_kept_and_reported() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let deep = "[".repeat(100_000);
    for text in ["", "{", "{ \"halves\": [} // why", deep.as_str()] {
        let mut browser = Browser::logged_in(&console, "ann").await;
        browser.get("/console/text").await;
        let saved = browser.post("/console/text", &[("text", text)]).await;
        assert_eq!(saved.location(), "/console/draft");
        let page = browser.get("/console/text").await;
        assert_eq!(page.textarea("f-text"), text);
        page.assert_has("Findings: 1")
            .assert_has("<a href=\"/console/text#f-text\">Error: ");
        let form = browser.get("/console/edit/upstreams").await;
        form.assert_has("Mend the text, which cannot be read");
        let added = browser.post("/console/add/halves", &[("name", "x")]).await;
        assert_eq!(added.status, 400);
    }
}
