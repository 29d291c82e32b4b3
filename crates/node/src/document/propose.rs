//! Runs one operator's change on behalf of the daemon that received it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::change::Proposal;
use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Member;
use conf::accept::reply;
use conf::accept::row::AcceptedDocument;
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

use crate::context::DaemonContext;
use crate::document::handle_event;
use crate::document::rows;
use crate::shards::requests::peer_address;

/// Interval at which the proposer receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// A change that ended without a result of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// It was certainly not accepted and will not be, for this reason.
    NotRun(String),
    /// It may have been accepted.
    Unknown,
}

/// Runs a change until its outcome is known, or only until it is accepted if the request does not
/// wait.
///
/// # Errors
///
/// Returns an error if the change was neither accepted nor refused by the protocol.
pub async fn propose(
    cx: &Arc<DaemonContext>,
    req: ApplyRequest,
) -> Result<ApplyReply, ProposeError> {
    let proposal = Proposal {
        op: req.op.clone(),
        text: Arc::from(req.text.as_str()),
        by: req.by.clone(),
        base: req.base,
        without: req.without.iter().cloned().collect(),
    };
    let before = current_document(cx);
    let daemon = cx.settings.daemon.clone();
    let timeouts = cx.follower().timeouts;
    let (mut proposer, actions) = Proposer::start(daemon, proposal, timeouts, cx.clock.now());
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut ticks = interval(TICK_INTERVAL);
    let mut queue: VecDeque<Action> = actions.into();
    loop {
        while let Some(action) = queue.pop_front() {
            match action {
                Action::End(outcome) => return final_reply(cx, &req, outcome, &before).await,
                Action::Accepted { version } if !req.wait => {
                    propagate(cx.clone(), proposer, queue, tx, rx);
                    return accepted_reply(&req, version, &before);
                }
                Action::Validate(in_force) => {
                    let found = findings(cx, &req.text, in_force.as_ref());
                    queue.extend(proposer.handle(Event::Validated(found), cx.clock.now()));
                }
                action => spawn_action(cx, action, &tx),
            }
        }
        let event = tokio::select! {
            Some(event) = rx.recv() => event,
            _ = ticks.tick() => Event::Tick,
        };
        queue.extend(proposer.handle(event, cx.clock.now()));
    }
}

/// Continues to propagate an accepted change after the operator has received the reply.
fn propagate(
    cx: Arc<DaemonContext>,
    mut proposer: Proposer,
    mut queue: VecDeque<Action>,
    tx: mpsc::UnboundedSender<Event>,
    mut rx: mpsc::UnboundedReceiver<Event>,
) {
    tokio::spawn(async move {
        let mut ticks = interval(TICK_INTERVAL);
        while !proposer.ended() {
            for action in queue.drain(..) {
                spawn_action(&cx, action, &tx);
            }
            let event = tokio::select! {
                Some(event) = rx.recv() => event,
                _ = ticks.tick() => Event::Tick,
            };
            queue.extend(proposer.handle(event, cx.clock.now()));
        }
    });
}

/// Executes an action in the background; its results return as events.
fn spawn_action(cx: &Arc<DaemonContext>, action: Action, tx: &mpsc::UnboundedSender<Event>) {
    let cx = cx.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        for event in execute(&cx, action).await {
            // The change may have ended meanwhile.
            let _ = tx.send(event);
        }
    });
}

async fn execute(cx: &Arc<DaemonContext>, action: Action) -> Vec<Event> {
    let event = match action {
        Action::Read => {
            let sent = cx.clock.now();
            let view = rows::read(&cx.platform.table).await;
            Some(Event::Read { sent, view })
        }
        Action::ReadMembers => return read_members(cx).await,
        Action::Write(write) => Some(Event::Written(rows::write(cx, &write).await)),
        Action::Push { to, delta } => send_call(cx, &to, DocumentRequest::Push { delta }).await,
        Action::Committed { to, ballot } => {
            send_call(cx, &to, DocumentRequest::Committed { ballot }).await
        }
        Action::Abandoned { to, ballot } => {
            send_call(cx, &to, DocumentRequest::Abandoned { ballot }).await
        }
        Action::Validate(_) | Action::Accepted { .. } | Action::End(_) => None,
    };
    event.into_iter().collect()
}

async fn send_call(cx: &Arc<DaemonContext>, to: &DaemonId, call: DocumentRequest) -> Option<Event> {
    if *to == cx.settings.daemon {
        return Some(Event::Acked(handle_call(cx, call)));
    }
    let address = cx.view().members.get(to).and_then(peer_address)?;
    cx.links
        .document(address, call)
        .await
        .ok()
        .map(Event::Acked)
}

/// Handles a call of a proposer and acknowledges it.
pub fn handle_call(cx: &Arc<DaemonContext>, call: DocumentRequest) -> Ack {
    handle_event(
        cx,
        match call {
            DocumentRequest::Push { delta } => conf::accept::follower::Event::Pushed { delta },
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
        contacts: cx.contacts(),
    }
}

/// Reads the heartbeat rows: how long each has been unchanged as observed by this daemon, and which
/// ballot and version each daemon reports there. A daemon that reaches only the table acknowledges
/// that way.
async fn read_members(cx: &Arc<DaemonContext>) -> Vec<Event> {
    let Ok(rows) = scan_all(&cx.platform.table, lease_key::MEMBERS).await else {
        return Vec::new();
    };
    let now = cx.clock.now();
    let hosts = cx.hosts.borrow().clone();
    let listed: model::Set<&DaemonId> = hosts.daemons.iter().map(|entry| &entry.id).collect();
    let mut view = cx.view();
    let mut members = Vec::new();
    let mut acks = Vec::new();
    for row in rows {
        let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else {
            continue;
        };
        acks.push(Event::Seen(Digest {
            daemon: member.daemon.clone(),
            incarnation: member.incarnation,
            ballot: member.ballot,
            version: member.in_force,
        }));
        members.push(Member {
            listed: listed.is_empty() || listed.contains(&member.daemon),
            unchanged_for: view.unchanged_for(&member.daemon, row.version, now),
            daemon: member.daemon,
            incarnation: member.incarnation,
            key: row.key,
            row: row.version,
        });
    }
    let mut events = vec![Event::Members(members)];
    events.append(&mut acks);
    events
}

fn current_document(cx: &DaemonContext) -> Document {
    cx.doc
        .borrow()
        .as_ref()
        .map_or_else(Document::default, |doc| (*doc.document).clone())
}

/// Validates a text against the document in force and the workers that are listed.
pub fn findings(
    cx: &DaemonContext,
    text: &str,
    in_force: Option<&AcceptedDocument>,
) -> Vec<Finding> {
    let in_force = in_force.and_then(|current| check::read(&current.text).ok());
    let inventory = inventory(cx);
    let context = Context {
        inventory: inventory.as_ref(),
        running: None,
        in_force: in_force.as_ref(),
    };
    check::check(text, &context).findings
}

/// Returns the total worker capacity of each data centre; `None` before any worker is listed.
fn inventory(cx: &DaemonContext) -> Option<Inventory> {
    let hosts = cx.hosts.borrow().clone();
    let mut capacity: BTreeMap<_, model::Size> = BTreeMap::new();
    for worker in &hosts.workers {
        *capacity
            .entry(worker.place.data_centre.clone())
            .or_default() += worker.capacity;
    }
    (!capacity.is_empty()).then_some(Inventory { capacity })
}

/// Builds the reply for an operator who does not wait for all daemons.
fn accepted_reply(
    req: &ApplyRequest,
    version: DocVersion,
    before: &Document,
) -> Result<ApplyReply, ProposeError> {
    let outcome = Outcome::Accepted {
        version,
        in_force: BTreeSet::new(),
        pending: BTreeSet::new(),
        passed_over: BTreeSet::new(),
    };
    explained_reply(outcome, before, req, None)
}

async fn final_reply(
    cx: &Arc<DaemonContext>,
    req: &ApplyRequest,
    outcome: Outcome,
    before: &Document,
) -> Result<ApplyReply, ProposeError> {
    let Outcome::Overtaken(current) = &outcome else {
        return explained_reply(outcome, before, req, None);
    };
    let theirs = current
        .as_ref()
        .and_then(|current| check::read(&current.text).ok());
    let base = base_document(cx, req.base).await;
    explained_reply(outcome, base.as_ref().unwrap_or(before), req, theirs)
}

/// Builds the reply for an outcome from the document that the operator started from and the one in
/// force.
fn explained_reply(
    outcome: Outcome,
    base: &Document,
    req: &ApplyRequest,
    theirs: Option<Document>,
) -> Result<ApplyReply, ProposeError> {
    let ours = check::read(&req.text).unwrap_or_default();
    let theirs = theirs.unwrap_or_default();
    let documents = reply::ThreeWay {
        base,
        ours: &ours,
        theirs: &theirs,
    };
    reply::apply_reply(outcome, documents).map_err(|problem| match problem.outcome {
        model::outcome::Outcome::Unknown => ProposeError::Unknown,
        _ => ProposeError::NotRun(problem.reason),
    })
}

/// Reads the document that an operator started from, if the table still has it.
async fn base_document(cx: &DaemonContext, base: Option<DocVersion>) -> Option<Document> {
    let row = (cx.platform.table.read)(doc_key::history(base?))
        .await
        .ok()??;
    let current: AcceptedDocument = serde_json::from_value(row.value).ok()?;
    check::read(&current.text).ok()
}
