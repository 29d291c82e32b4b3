//! Carries one operator's change through, on behalf of the daemon that received it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::change::Proposal;
use conf::accept::explain;
use conf::accept::message::Ack;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Member;
use conf::accept::row::Current;
use conf::accept::row::key as doc_key;
use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::check;
use conf::check::Context;
use conf::check::Inventory;
use conf::diff;
use conf::doc::Document;
use conf::finding::Finding;
use lease::record::MemberRow;
use lease::record::key as lease_key;
use model::id::DaemonId;
use model::id::DocVersion;
use peer::rpc::DocCall;
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
                    return Ok(accepted(&req, version, &before));
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
        if let Some(event) = perform(&cx, action).await {
            // The change may have ended meanwhile.
            let _ = tx.send(event);
        }
    });
}

async fn perform(cx: &Arc<Cx>, action: Action) -> Option<Event> {
    match action {
        Action::Read => {
            let sent = cx.clock.now();
            Some(Event::Read {
                sent,
                view: rows::read(&cx.outside.table).await,
            })
        }
        Action::Validate(_) | Action::Accepted { .. } | Action::End(_) => None,
        Action::Write(write) => Some(Event::Written(rows::write(cx, &write).await)),
        Action::ReadMembers => members(cx).await.map(Event::Members),
        Action::Push { to, news } => tell(cx, &to, DocCall::Push { news }).await,
        Action::Committed { to, ballot } => tell(cx, &to, DocCall::Committed { ballot }).await,
        Action::Abandoned { to, ballot } => tell(cx, &to, DocCall::Abandoned { ballot }).await,
    }
}

async fn tell(cx: &Arc<Cx>, to: &DaemonId, call: DocCall) -> Option<Event> {
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
pub fn take_in(cx: &Arc<Cx>, call: DocCall) -> Ack {
    follow(
        cx,
        match call {
            DocCall::Push { news } => conf::accept::follower::Event::Pushed { news },
            DocCall::Committed { ballot } => conf::accept::follower::Event::Committed { ballot },
            DocCall::Abandoned { ballot } => conf::accept::follower::Event::Abandoned { ballot },
        },
    );
    let digest = cx.follower().digest();
    Ack {
        digest,
        heard: cx.heard(),
    }
}

/// Reads the heartbeat rows, with how long each has stood still before this daemon's eyes.
async fn members(cx: &Arc<Cx>) -> Option<Vec<Member>> {
    let rows = scan_all(&cx.outside.table, lease_key::MEMBERS).await.ok()?;
    let now = cx.clock.now();
    let hosts = cx.hosts.borrow().clone();
    let listed: model::Set<&DaemonId> = hosts.daemons.iter().map(|entry| &entry.id).collect();
    let lists_daemons = !hosts.daemons.is_empty();
    let mut view = cx.view();
    let member = |row: plat::table::Row| {
        let member: MemberRow = serde_json::from_value(row.value).ok()?;
        let still_for = view.still_for(&member.daemon, row.version, now);
        Some(Member {
            listed: !lists_daemons || listed.contains(&member.daemon),
            daemon: member.daemon,
            incarnation: member.incarnation,
            key: row.key,
            row: row.version,
            still_for,
        })
    };
    Some(rows.into_iter().filter_map(member).collect())
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

fn accepted(req: &ApplyRequest, version: DocVersion, before: &Document) -> ApplyReply {
    let after = check::read(&req.text).unwrap_or_default();
    ApplyReply::Accepted {
        version,
        changes: diff::changes(before, &after),
        in_force: Vec::new(),
        pending: Vec::new(),
        passed_over: Vec::new(),
    }
}

async fn conclude(
    cx: &Arc<Cx>,
    req: &ApplyRequest,
    outcome: Outcome,
    before: &Document,
) -> Result<ApplyReply, Unanswered> {
    match outcome {
        Outcome::Accepted {
            version,
            in_force,
            pending,
            passed_over,
        } => {
            let after = check::read(&req.text).unwrap_or_default();
            Ok(ApplyReply::Accepted {
                version,
                changes: diff::changes(before, &after),
                in_force: in_force.into_iter().collect(),
                pending: pending.into_iter().collect(),
                passed_over: passed_over.into_iter().collect(),
            })
        }
        Outcome::Invalid(findings) => Ok(ApplyReply::Invalid { findings }),
        Outcome::Overtaken(Some(current)) => {
            let base = base_document(cx, req.base)
                .await
                .unwrap_or_else(|| before.clone());
            let ours = check::read(&req.text).unwrap_or_default();
            let theirs = check::read(&current.text).unwrap_or_default();
            let three = explain::Three {
                base: &base,
                ours: &ours,
                theirs: &theirs,
            };
            Ok(explain::overtaken(Some(&current), three))
        }
        Outcome::Overtaken(None) => Err(Unanswered::NotRun("another change came first".into())),
        Outcome::Unreachable(daemons) => Ok(ApplyReply::Unreachable {
            daemons: daemons.into_iter().collect(),
        }),
        Outcome::NotRun(reason) => Err(Unanswered::NotRun(reason.to_owned())),
        Outcome::Unknown => Err(Unanswered::Unknown),
    }
}

/// Reads the document that an operator started from, if the table still has it.
async fn base_document(cx: &Cx, base: Option<DocVersion>) -> Option<Document> {
    let row = (cx.outside.table.read)(doc_key::history(base?))
        .await
        .ok()??;
    let current: Current = serde_json::from_value(row.value).ok()?;
    check::read(&current.text).ok()
}
