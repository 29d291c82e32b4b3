//! Carries one operator's change through, on behalf of the daemon that received it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::change::Proposal;
use conf::accept::explain;
use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Member;
use conf::accept::row::Current;
use conf::accept::row::key as doc_key;
use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::check;
use conf::check::Context;
use conf::check::Inventory;
use conf::doc::Document;
use conf::finding::Finding;
use lease::record::MemberRow;
use lease::record::key as lease_key;
use model::id::DaemonId;
use model::id::DocVersion;
use peer::rpc::DocumentRequest;
use plat::table::scan_all;
use tokio::sync::mpsc;
use tokio::time::interval;

use crate::cx::Cx;
use crate::document::follow;
use crate::document::rows;
use crate::shards::calls::peer_address;

/// How often the change is told that time has passed.
const TICK: Duration = Duration::from_millis(250);

/// How a change ended without an answer of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// It was certainly not accepted and will not be.
    NotRun(String),
    /// It may have been accepted.
    Unknown,
}

/// Carries a change through.
///
/// # Errors
///
/// Returns what is known when the change was neither accepted nor refused for a reason of its own.
pub async fn propose(cx: &Arc<Cx>, req: ApplyRequest) -> Result<ApplyReply, Unanswered> {
    let proposal = Proposal {
        op: req.op.clone(),
        text: Arc::from(req.text.as_str()),
        by: req.by.clone(),
        base: req.base,
        without: req.without.iter().cloned().collect(),
    };
    let before = document_of(cx);
    let daemon = cx.settings.daemon.clone();
    let bounds = cx.follower().bounds;
    let (mut proposer, actions) = Proposer::start(daemon, proposal, bounds, cx.clock.now());
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut ticks = interval(TICK);
    let mut queue: VecDeque<Action> = actions.into();
    loop {
        while let Some(action) = queue.pop_front() {
            match action {
                Action::End(outcome) => return conclude(cx, &req, outcome, &before).await,
                Action::Accepted { version } if !req.wait => {
                    spread(cx.clone(), proposer, queue, tx, rx);
                    return accepted(&req, version, &before);
                }
                Action::Validate(in_force) => {
                    let found = findings(cx, &req.text, in_force.as_ref());
                    queue.extend(proposer.handle(Event::Validated(found), cx.clock.now()));
                }
                action => carry_out(cx, action, &tx),
            }
        }
        let event = tokio::select! {
            Some(event) = rx.recv() => event,
            _ = ticks.tick() => Event::Tick,
        };
        queue.extend(proposer.handle(event, cx.clock.now()));
    }
}

/// Goes on making an accepted change known after the operator has been told.
fn spread(
    cx: Arc<Cx>,
    mut proposer: Proposer,
    mut queue: VecDeque<Action>,
    tx: mpsc::UnboundedSender<Event>,
    mut rx: mpsc::UnboundedReceiver<Event>,
) {
    tokio::spawn(async move {
        let mut ticks = interval(TICK);
        while !proposer.ended() {
            for action in queue.drain(..) {
                carry_out(&cx, action, &tx);
            }
            let event = tokio::select! {
                Some(event) = rx.recv() => event,
                _ = ticks.tick() => Event::Tick,
            };
            queue.extend(proposer.handle(event, cx.clock.now()));
        }
    });
}

/// Carries out one action in the background; what becomes of it comes back as an event.
fn carry_out(cx: &Arc<Cx>, action: Action, tx: &mpsc::UnboundedSender<Event>) {
    let cx = cx.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        for event in perform(&cx, action).await {
            // The change may have ended meanwhile.
            let _ = tx.send(event);
        }
    });
}

async fn perform(cx: &Arc<Cx>, action: Action) -> Vec<Event> {
    let answer = match action {
        Action::Read => {
            let sent = cx.clock.now();
            let view = rows::read(&cx.outside.table).await;
            Some(Event::Read { sent, view })
        }
        Action::ReadMembers => return members(cx).await,
        Action::Write(write) => Some(Event::Written(rows::write(cx, &write).await)),
        Action::Push { to, news } => tell(cx, &to, DocumentRequest::Push { news }).await,
        Action::Committed { to, ballot } => {
            tell(cx, &to, DocumentRequest::Committed { ballot }).await
        }
        Action::Abandoned { to, ballot } => {
            tell(cx, &to, DocumentRequest::Abandoned { ballot }).await
        }
        Action::Validate(_) | Action::Accepted { .. } | Action::End(_) => None,
    };
    answer.into_iter().collect()
}

async fn tell(cx: &Arc<Cx>, to: &DaemonId, call: DocumentRequest) -> Option<Event> {
    if *to == cx.settings.daemon {
        return Some(Event::Acked(take_in(cx, call)));
    }
    let address = cx.view().members.get(to).and_then(peer_address)?;
    cx.links
        .document(address, call)
        .await
        .ok()
        .map(Event::Acked)
}

/// Takes in what a proposer tells, and answers it.
pub fn take_in(cx: &Arc<Cx>, call: DocumentRequest) -> Ack {
    follow(
        cx,
        match call {
            DocumentRequest::Push { news } => conf::accept::follower::Event::Pushed { news },
            DocumentRequest::Committed { ballot } => {
                conf::accept::follower::Event::Committed { ballot }
            }
            DocumentRequest::Abandoned { ballot } => {
                conf::accept::follower::Event::Abandoned { ballot }
            }
        },
    );
    let digest = cx.follower().digest();
    Ack {
        digest,
        heard: cx.heard(),
    }
}

/// Reads the heartbeat rows, with how long each has stood still before this daemon's eyes, and what
/// each daemon says there of the document: one that reaches the table alone acknowledges that way.
async fn members(cx: &Arc<Cx>) -> Vec<Event> {
    let Ok(rows) = scan_all(&cx.outside.table, lease_key::MEMBERS).await else {
        return Vec::new();
    };
    let now = cx.clock.now();
    let hosts = cx.hosts.borrow().clone();
    let listed: model::Set<&DaemonId> = hosts.daemons.iter().map(|entry| &entry.id).collect();
    let mut view = cx.view();
    let mut members = Vec::new();
    let mut seen = Vec::new();
    for row in rows {
        let Ok(told) = serde_json::from_value::<MemberRow>(row.value) else {
            continue;
        };
        seen.push(Event::Seen(Digest {
            daemon: told.daemon.clone(),
            incarnation: told.incarnation,
            ballot: told.ballot,
            version: told.in_force,
        }));
        members.push(Member {
            listed: listed.is_empty() || listed.contains(&told.daemon),
            still_for: view.still_for(&told.daemon, row.version, now),
            daemon: told.daemon,
            incarnation: told.incarnation,
            key: row.key,
            row: row.version,
        });
    }
    let mut events = vec![Event::Members(members)];
    events.append(&mut seen);
    events
}

fn document_of(cx: &Cx) -> Document {
    cx.doc
        .borrow()
        .as_ref()
        .map_or_else(Document::default, |doc| (*doc.document).clone())
}

/// Checks a text against the document in force and the workers that are listed.
pub fn findings(cx: &Cx, text: &str, in_force: Option<&Current>) -> Vec<Finding> {
    let in_force = in_force.and_then(|current| check::read(&current.text).ok());
    let inventory = inventory(cx);
    let context = Context {
        inventory: inventory.as_ref(),
        running: None,
        in_force: in_force.as_ref(),
    };
    check::check(text, &context).findings
}

/// What the workers of each data centre have; `None` before any is listed.
fn inventory(cx: &Cx) -> Option<Inventory> {
    let hosts = cx.hosts.borrow().clone();
    let mut capacity: BTreeMap<_, model::Size> = BTreeMap::new();
    for worker in &hosts.workers {
        *capacity
            .entry(worker.place.data_centre.clone())
            .or_default() += worker.capacity;
    }
    (!capacity.is_empty()).then_some(Inventory { capacity })
}

/// The answer to an operator who does not wait for all daemons.
fn accepted(
    req: &ApplyRequest,
    version: DocVersion,
    before: &Document,
) -> Result<ApplyReply, Unanswered> {
    let outcome = Outcome::Accepted {
        version,
        in_force: BTreeSet::new(),
        pending: BTreeSet::new(),
        passed_over: BTreeSet::new(),
    };
    explained(outcome, before, req, None)
}

async fn conclude(
    cx: &Arc<Cx>,
    req: &ApplyRequest,
    outcome: Outcome,
    before: &Document,
) -> Result<ApplyReply, Unanswered> {
    let Outcome::Overtaken(current) = &outcome else {
        return explained(outcome, before, req, None);
    };
    let theirs = current
        .as_ref()
        .and_then(|current| check::read(&current.text).ok());
    let base = base_document(cx, req.base).await;
    explained(outcome, base.as_ref().unwrap_or(before), req, theirs)
}

/// Explains an outcome by the document that the operator started from and the one in force.
fn explained(
    outcome: Outcome,
    base: &Document,
    req: &ApplyRequest,
    theirs: Option<Document>,
) -> Result<ApplyReply, Unanswered> {
    let ours = check::read(&req.text).unwrap_or_default();
    let theirs = theirs.unwrap_or_default();
    let three = explain::Three {
        base,
        ours: &ours,
        theirs: &theirs,
    };
    explain::reply(outcome, three).map_err(|problem| match problem.outcome {
        model::outcome::Outcome::Unknown => Unanswered::Unknown,
        _ => Unanswered::NotRun(problem.reason),
    })
}

/// Reads the document that an operator started from, if the table still has it.
async fn base_document(cx: &Cx, base: Option<DocVersion>) -> Option<Document> {
    let row = (cx.outside.table.read)(doc_key::history(base?))
        .await
        .ok()??;
    let current: Current = serde_json::from_value(row.value).ok()?;
    check::read(&current.text).ok()
}
