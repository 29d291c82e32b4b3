use std::time::Duration;

use http::header::SET_COOKIE;
use model::Mono;
use node::console::Console;
use node::console::session::MAX_AGE;
use node::console::session::MAX_IDLE;
use node::console::session::MAX_SESSIONS;
use node::console::session::Secrets;
use node::console::session::Sessions;
use reqwest::redirect::Policy;

use super::browser::Browser;
use crate::world::DOCUMENT;
use crate::world::TOKEN;
use crate::world::World;

#[tokio::test(start_paused = true)]
async fn only_the_right_token_logs_in_and_the_cookie_does_not_contain_it() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let long = format!("{TOKEN}x");
    let name = "x".repeat(65);
    let cases = [
        ("ann", "", 403),
        ("ann", &TOKEN[1..], 403),
        ("ann", long.as_str(), 403),
        (" ", TOKEN, 400),
        (name.as_str(), TOKEN, 400),
    ];
    for (by, token, status) in cases {
        let mut browser = Browser::new(&console);
        let reply = browser.log_in(by, token).await;
        assert_eq!(reply.status, status, "{by} {token}");
        assert!(reply.headers.get(SET_COOKIE).is_none(), "{by} {token}");
        reply
            .assert_has("role=\"alert\"")
            .assert_has("Not logged in");
        assert_eq!(
            browser.get("/console/draft").await.location(),
            "/console/login"
        );
    }
    let mut browser = Browser::new(&console);
    let reply = browser.log_in("ann", TOKEN).await;
    let cookie = reply.headers[SET_COOKIE].to_str().unwrap();
    assert!(cookie.contains("; HttpOnly; SameSite=Strict"), "{cookie}");
    assert!(!cookie.contains(TOKEN), "{cookie}");
    browser.get("/console").await.assert_has("Logged in as ann");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_shown_or_done_without_a_session() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    for cookie in [
        None,
        Some("fireflynotch_session="),
        Some("fireflynotch_session=00"),
        Some("a=b"),
    ] {
        let mut browser = Browser::new(&console);
        browser.cookie = cookie.map(str::to_owned);
        for path in ["/console", "/console/look/hosts", "/console/text"] {
            let reply = browser.get(path).await;
            assert_eq!((reply.status, reply.location()), (303, "/console/login"));
        }
        assert_eq!(browser.post("/console/send", &[]).await.status, 403);
    }
}

#[tokio::test(start_paused = true)]
async fn a_form_of_another_site_or_of_an_earlier_draft_changes_nothing() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut other = Browser::logged_in(&console, "bram").await;
    other.get("/console/text").await;
    let mut browser = Browser::logged_in(&console, "ann").await;
    browser.get("/console/text").await;
    let (own_token, revision) = (browser.anti_forgery.clone(), browser.revision.clone());
    let cases = [
        ("", revision.as_str(), 403),
        (other.anti_forgery.as_str(), revision.as_str(), 403),
        (own_token.as_str(), "", 409),
        (own_token.as_str(), "99", 409),
    ];
    for (anti_forgery, revision, status) in cases {
        browser.anti_forgery = anti_forgery.to_owned();
        browser.revision = revision.to_owned();
        for path in ["/console/text", "/console/discard", "/console/logout"] {
            let reply = browser.post(path, &[("text", "{}")]).await;
            assert_eq!(reply.status, status, "{path}");
        }
    }
    assert_eq!(
        browser.get("/console/text").await.textarea("f-text"),
        DOCUMENT
    );
}

#[tokio::test(start_paused = true)]
async fn a_session_ends_when_it_is_idle_or_logged_out() {
    let world = World::start(None, |table| table).await;
    let console = Console::new(world.cx().clone());
    let mut idle = Browser::logged_in(&console, "ann").await;
    tokio::time::sleep(MAX_IDLE - Duration::from_secs(1)).await;
    assert_eq!(idle.get("/console").await.status, 200);
    tokio::time::sleep(MAX_IDLE).await;
    assert_eq!(idle.get("/console").await.location(), "/console/login");
    let mut logged_out = Browser::logged_in(&console, "ann").await;
    let cookie = logged_out.cookie.clone();
    assert_eq!(logged_out.post("/console/logout", &[]).await.status, 303);
    logged_out.cookie = cookie;
    assert_eq!(
        logged_out.get("/console").await.location(),
        "/console/login"
    );
}

fn secrets(id: usize) -> Secrets {
    Secrets {
        id: format!("s{id}"),
        anti_forgery: String::new(),
        op_prefix: String::new(),
    }
}

#[test]
fn sessions_are_bounded_in_age_and_number() {
    let mut sessions = Sessions::default();
    let used_every = MAX_IDLE / 2;
    sessions.open(secrets(0), "ann".into(), Mono::ZERO);
    let mut now = Mono::ZERO;
    while now.after(used_every) < Mono::ZERO.after(MAX_AGE) {
        now = now.after(used_every);
        assert!(sessions.get("s0", now).is_some(), "{now}");
    }
    assert!(sessions.get("s0", Mono::ZERO.after(MAX_AGE)).is_none());

    for id in 0..MAX_SESSIONS {
        sessions.open(secrets(id), "ann".into(), Mono(id as u64));
    }
    let now = Mono(MAX_SESSIONS as u64);
    assert!(sessions.get("s0", now).is_some());
    sessions.open(secrets(MAX_SESSIONS), "ann".into(), now);
    assert!(sessions.get("s0", now).is_some());
    assert!(
        sessions.get("s1", now).is_none(),
        "it was used least recently"
    );
}

#[tokio::test]
async fn the_daemon_serves_the_console_beside_the_api() {
    let world = World::start(None, |table| table).await;
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(Policy::none());
    let http = http.build().unwrap();
    let at = format!("http://{}", world.daemon.operators);
    let res = http.get(format!("{at}/console")).send().await.unwrap();
    assert_eq!(
        (res.status().as_u16(), &res.headers()["location"]),
        (303, &"/console/login".parse().unwrap())
    );
    let form = super::browser::encode(&[("by", "ann"), ("token", TOKEN)]);
    let req = http.post(format!("{at}/console/login"));
    let req = req.header("content-type", "application/x-www-form-urlencoded");
    let res = req.body(form).send().await.unwrap();
    let cookie = res.headers()[SET_COOKIE].clone();
    let overview = http
        .get(format!("{at}/console"))
        .header("cookie", cookie.clone());
    let overview = overview.send().await.unwrap().text().await.unwrap();
    assert!(overview.contains("<h1>Overview</h1>"), "{overview}");
    let api = http.get(format!("{at}/v1/status")).header("cookie", cookie);
    assert_eq!(api.send().await.unwrap().status().as_u16(), 401);
    let api = http.get(format!("{at}/v1/status")).bearer_auth(TOKEN);
    assert_eq!(api.send().await.unwrap().status().as_u16(), 200);
}
