//! Follows the document in force and carries operators' changes through.
//!
//! The decisions are [`conf::accept`]'s; this reads and writes the rows and talks to the other
//! daemons. See `docs/CONFIGURATION.md`.

pub mod propose;
pub mod rows;

use std::sync::Arc;
use std::time::Duration;

use conf::accept::follower::Action;
use conf::accept::follower::Event;
use conf::accept::follower::ServingMode;
use conf::accept::row::AcceptedDocument;
use conf::accept::row::StagedDocument;
use conf::accept::row::Write;
use conf::check;
use conf::diff;
use conf::doc::Document;
use model::Mono;
use route::RouteUpdate;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::cx::Cx;
use crate::cx::InForce;
use crate::cx::Served;
use crate::cx::Stage;
use crate::supervisor::PartResult;

/// How often the permission to serve is looked at again.
const TICK: Duration = Duration::from_millis(250);

/// Keeps the permission to serve up to date until `token` asks for the end.
///
/// # Errors
///
/// None at present; the signature is that of a part.
pub async fn run(cx: Arc<Cx>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(TICK);
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        follow(&cx, Event::Tick);
    }
}

/// Reads the document's rows; `sent` is the time before this daemon's own heartbeat was written.
pub async fn poll(cx: &Arc<Cx>, sent: Mono) {
    if let Some(view) = rows::read(&cx.outside.table).await {
        cx.store_answered(sent);
        follow(cx, Event::Polled { sent, view });
    }
}

/// Gives an event to the follower, carries out what it wants and tells the data path what follows.
pub fn follow(cx: &Arc<Cx>, event: Event) {
    let actions = cx.follower().handle(event, cx.clock.now());
    for action in actions {
        match action {
            Action::Apply(current) => apply(cx, &current),
            Action::Clear { ballot } => {
                let cx = cx.clone();
                tokio::spawn(async move {
                    rows::write(&cx, &Write::Clear { ballot }).await;
                });
            }
        }
    }
    publish(cx);
}

fn apply(cx: &Arc<Cx>, current: &AcceptedDocument) {
    let version = current.version;
    let document = match check::read(&current.text) {
        Ok(document) => Arc::new(document),
        Err(invalid) => {
            let findings = invalid.findings.len();
            log::error!(version = version.0, findings; "cannot read the accepted document");
            return;
        }
    };
    let in_force = InForce {
        version,
        text: current.text.clone(),
        by: current.by.clone(),
        op: current.op.clone(),
        document,
    };
    // Another task may have put a later document into force since the follower decided.
    let newer = cx.doc.send_if_modified(|doc| {
        let newer = doc.as_ref().is_none_or(|doc| doc.version < version);
        if newer {
            *doc = Some(Arc::new(in_force));
        }
        newer
    });
    if newer {
        log::info!(version = version.0, by = current.by.as_str(); "the document is in force");
    }
    cx.stage.send_if_modified(|stage| {
        let first = *stage == Stage::Starting;
        if first {
            *stage = Stage::Serving;
        }
        first
    });
}

/// Tells the data path whether this daemon may serve, and by what, if that has changed.
fn publish(cx: &Arc<Cx>) {
    let mut published = cx.published();
    let (serve, staged, ballot) = {
        let follower = cx.follower();
        (
            follower.serving_mode(cx.clock.now()),
            follower.staged.clone(),
            follower.ballot,
        )
    };
    let doc = cx.doc.borrow().clone();
    let Some(doc) = doc else {
        return;
    };
    let served = Served {
        serve,
        version: doc.version,
        ballot,
    };
    if *published == Some(served) {
        return;
    }
    let document = match serve {
        ServingMode::Common => Arc::new(common(&doc.document, staged.as_ref())),
        _ => doc.document.clone(),
    };
    let document = route::update::ActiveDocument {
        version: doc.version,
        document,
    };
    cx.proxy.update(RouteUpdate {
        document: Some(document),
        ..RouteUpdate::default()
    });
    cx.proxy.set_serving(serve != ServingMode::Nothing);
    if published.is_none_or(|before| before.serve != serve) {
        log::info!(version = doc.version.0; "serves by {serve:?}");
    }
    *published = Some(served);
}

/// What the document in force and the staged one have in common; a staged text that cannot be read
/// has nothing in common with anything.
fn common(in_force: &Document, staged: Option<&StagedDocument>) -> Document {
    let staged = staged.map(|staged| check::read(&staged.text));
    match staged {
        None => in_force.clone(),
        Some(Ok(staged)) => diff::intersection(in_force, &staged),
        Some(Err(_)) => Document::default(),
    }
}
