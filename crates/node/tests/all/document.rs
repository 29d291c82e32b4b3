//! Which document a daemon serves while a change is in progress.

use std::sync::Arc;
use std::time::Duration;

use conf::accept::change::WriteResult;
use conf::accept::follower::Event;
use conf::accept::message::DocumentDelta;
use conf::accept::row::AcceptedDocument;
use conf::accept::row::StagedDocument;
use conf::accept::row::View;
use conf::accept::row::Write;
use fake::faults::Fault;
use model::id::DocVersion;
use model::id::RowVersion;
use model::place::Place;
use node::context::DaemonContext;
use node::document;
use node::document::handle_event;
use node::document::rows;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostState;
use route::RouteUpdate;
use route::update::Member;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::drive::World;

/// Longer than the cooldown after slots are gained.
const SLOT_COOLDOWN: Duration = Duration::from_secs(30);
/// Longer than the time after which a staged document may be in force elsewhere, shorter than the
/// time after which a daemon counts as isolated.
const IN_DOUBT: Duration = Duration::from_secs(5);
/// Longer than the interval at which the permission to serve is evaluated.
const SERVE_CHECK: Duration = Duration::from_millis(600);

fn text(half: &str) -> Arc<str> {
    format!(
        r#"{{
            "halves": {{ "noord": {{ "share_percent": 50 }}, "zuid": {{ "share_percent": 50 }} }},
            "regions": {{ "vlaanderen": {{ "data_centres": ["limburg"] }} }},
            "upstreams": {{ "planning": {{ "half": "{half}", "routes": ["/plan"] }} }}
        }}"#
    )
    .into()
}

fn current(version: u64, half: &str) -> AcceptedDocument {
    AcceptedDocument {
        version: DocVersion(version),
        text: text(half),
        by: "ann".into(),
        op: "op".into(),
        recent: Vec::new(),
    }
}

/// The rows with a document in force and no change in progress.
fn polled(cx: &DaemonContext, ballot: u64, version: u64, half: &str) -> Event {
    let view = View {
        ballot: RowVersion(ballot),
        staged: None,
        current_row: RowVersion(version),
        current: Some(current(version, half)),
    };
    Event::Polled {
        sent: cx.clock.now(),
        view,
    }
}

fn pushed(ballot: u64, version: u64, half: &str) -> Event {
    let staged = StagedDocument {
        version: DocVersion(version),
        text: text(half),
        by: "bram".into(),
        op: "other".into(),
        proposer: "d2".into(),
    };
    let delta = DocumentDelta {
        ballot: RowVersion(ballot),
        pending: true,
        staged: Some(staged),
        version: DocVersion(version - 1),
        current: None,
        age: Duration::ZERO,
        serving: true,
    };
    Event::Pushed { delta }
}

fn slots(cx: &DaemonContext) -> u32 {
    cx.proxy
        .report()
        .upstreams
        .get("planning")
        .map_or(0, |upstream| upstream.slots)
}

async fn start() -> Arc<DaemonContext> {
    let world = World::new(&[], Duration::ZERO);
    let cx = world.cx("d1").await;
    let place = Place::new("vlaanderen", "limburg");
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let executor = ExecutorEntry {
        id: "planning-1".into(),
        upstream: "planning".into(),
        address: nowhere,
        place: place.clone(),
        state: HostState::Live,
    };
    let half = cx.settings.half.clone();
    let me = Member {
        id: "d1".into(),
        half,
        place,
        caller_address: nowhere,
    };
    cx.proxy.update(RouteUpdate {
        executors: Some(vec![executor]),
        members: Some(vec![me]),
        ..RouteUpdate::default()
    });
    sleep(SLOT_COOLDOWN).await;
    tokio::spawn(document::run(cx.clone(), CancellationToken::new()));
    cx
}

#[tokio::test(start_paused = true)]
async fn while_the_document_in_force_is_in_doubt_the_intersection_is_served() {
    let cx = start().await;
    let own = cx.settings.half.to_string();
    handle_event(&cx, polled(&cx, 8, 5, &own));
    assert_eq!(slots(&cx), 8);
    handle_event(&cx, pushed(9, 6, "zuid"));
    sleep(SERVE_CHECK).await;
    assert_eq!(slots(&cx), 8, "the staged document cannot be in force yet");
    sleep(IN_DOUBT).await;
    assert_eq!(slots(&cx), 0, "the other half may own the upstream by now");
    handle_event(
        &cx,
        Event::Abandoned {
            ballot: RowVersion(9),
        },
    );
    sleep(SERVE_CHECK).await;
    assert_eq!(slots(&cx), 8);
}

#[tokio::test(start_paused = true)]
async fn a_newly_accepted_document_is_not_served_whole_while_its_successor_is_in_doubt() {
    let cx = start().await;
    let own = cx.settings.half.to_string();
    handle_event(&cx, polled(&cx, 8, 5, "zuid"));
    assert_eq!(slots(&cx), 0);
    handle_event(&cx, pushed(9, 6, &own));
    sleep(IN_DOUBT + SERVE_CHECK).await;
    handle_event(
        &cx,
        Event::Committed {
            ballot: RowVersion(9),
        },
    );
    assert_eq!(
        cx.doc.borrow().as_ref().map(|doc| doc.version),
        Some(DocVersion(6))
    );
    handle_event(&cx, pushed(11, 7, "zuid"));
    sleep(SERVE_CHECK).await;
    assert_eq!(
        slots(&cx),
        0,
        "that version 6 is the latest was confirmed too long ago"
    );
}

#[tokio::test(start_paused = true)]
async fn a_lower_version_never_replaces_a_higher_one() {
    let cx = start().await;
    let own = cx.settings.half.to_string();
    handle_event(&cx, polled(&cx, 8, 5, &own));
    handle_event(&cx, polled(&cx, 6, 4, "zuid"));
    assert_eq!(
        cx.doc.borrow().as_ref().map(|doc| doc.version),
        Some(DocVersion(5))
    );
    assert_eq!(slots(&cx), 8);
}

#[tokio::test(start_paused = true)]
async fn a_staged_change_of_the_same_daemon_is_not_mistaken_for_another_one() {
    let world = World::new(&[], Duration::ZERO);
    let cx = world.cx("d1").await;
    let stage = |by: &str| Write::Stage {
        ballot: RowVersion(0),
        current_row: RowVersion(0),
        staged: StagedDocument {
            version: DocVersion(1),
            text: text("noord"),
            by: by.to_owned(),
            op: by.into(),
            proposer: "d1".into(),
        },
    };
    assert_eq!(rows::write(&cx, &stage("ann")).await, WriteResult::Done);
    world
        .table
        .faults()
        .set_next_for("commit", Fault::LostBefore, 1);
    assert_eq!(
        rows::write(&cx, &stage("bram")).await,
        WriteResult::Conflict
    );
}
