//! Follows the document in force and runs operators' changes to it.
//!
//! [`conf::accept`] makes the decisions; this module reads and writes the rows and calls the other
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

use crate::context::ActiveDocument;
use crate::context::DaemonContext;
use crate::context::PublishedState;
use crate::context::Stage;
use crate::supervisor::PartResult;

/// Interval at which the permission to serve is evaluated.
const SERVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the permission to serve up to date until `token` is cancelled.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(SERVE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        handle_event(&cx, Event::Tick);
    }
}

/// Reads the document's rows. `sent` is a time before this daemon's own heartbeat was written.
pub async fn poll(cx: &Arc<DaemonContext>, sent: Mono) {
    if let Some(view) = rows::read(&cx.platform.table).await {
        cx.record_store_response(sent);
        handle_event(cx, Event::Polled { sent, view });
    }
}

/// Passes an event to the follower, executes the resulting actions and updates the data path.
pub fn handle_event(cx: &Arc<DaemonContext>, event: Event) {
    let actions = cx.follower().handle(event, cx.clock.now());
    for action in actions {
        match action {
            Action::Apply(current) => activate(cx, &current),
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

fn activate(cx: &Arc<DaemonContext>, current: &AcceptedDocument) {
    let version = current.version;
    let document = match check::read(&current.text) {
        Ok(document) => Arc::new(document),
        Err(invalid) => {
            let findings = invalid.findings.len();
            log::error!(version = version.0, findings; "cannot read the accepted document");
            return;
        }
    };
    let in_force = ActiveDocument {
        version,
        text: current.text.clone(),
        by: current.by.clone(),
        op: current.op.clone(),
        document,
    };
    // Another task may have activated a later document since the follower decided.
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

/// Publishes to the data path whether this daemon may serve and by which document, if that has
/// changed.
fn publish(cx: &Arc<DaemonContext>) {
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
    let served = PublishedState {
        serve,
        version: doc.version,
        ballot,
    };
    if *published == Some(served) {
        return;
    }
    let document = match serve {
        ServingMode::Common => Arc::new(common_document(&doc.document, staged.as_ref())),
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

/// Returns the intersection of the document in force and the staged one. A staged text that cannot
/// be read has nothing in common with any document.
fn common_document(in_force: &Document, staged: Option<&StagedDocument>) -> Document {
    let staged = staged.map(|staged| check::read(&staged.text));
    match staged {
        None => in_force.clone(),
        Some(Ok(staged)) => diff::intersection(in_force, &staged),
        Some(Err(_)) => Document::default(),
    }
}
