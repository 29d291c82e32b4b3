//! Informs the data path of the other daemons, borrows slots, and follows handovers.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Set;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::HalfId;
use model::id::UpstreamId;
use peer::summary::ReleasedUpstream;
use route::RouteUpdate;
use route::report::HandoverPhase;
use route::slots::SlotRequest;
use route::update::Member;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::ActiveDocument;
use crate::context::ClusterView;
use crate::context::DaemonContext;
use crate::context::lock;
use crate::gossip;
use crate::shards::requests::peer_address;
use crate::supervisor::PartResult;

/// Interval at which the data path is updated and slots are requested.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the data path up to date until `token` is cancelled.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let pending = Arc::new(std::sync::Mutex::new(Set::default()));
    let mut doc = cx.doc.subscribe();
    let mut announced = Vec::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
            Ok(()) = doc.changed() => {}
            () = cx.summary_changed.notified() => {}
        }
        let now = cx.clock.now();
        let released = update_proxy(&cx, now);
        if released != announced {
            announce_released(&cx, now);
            announced = released;
        }
        borrow_slots(&cx, &pending);
    }
}

/// Announces released upstreams to the other halves at once, instead of by the next rounds of
/// gossip, because requests there wait for the release.
fn announce_released(cx: &Arc<DaemonContext>, now: Mono) {
    let view = cx.view();
    for daemon in daemons_of_other_halves(&view, &cx.settings.half, now) {
        tokio::spawn(gossip::exchange_with(cx.clone(), daemon.clone()));
    }
}

/// Updates the data path and the own summary; returns the upstreams that the data path has
/// released.
fn update_proxy(cx: &DaemonContext, now: Mono) -> Vec<UpstreamId> {
    let doc = cx.doc.borrow().clone();
    let released_here = cx.proxy.released();
    let mut view = cx.view();
    let ClusterView {
        members,
        gossip: summaries,
        ..
    } = &mut *view;
    let version = doc.as_ref().map_or(DocVersion(0), |doc| doc.version);
    summaries.update(members.own_id(), |own| {
        let release = |upstream: UpstreamId| ReleasedUpstream {
            upstream,
            doc: version,
        };
        own.released = released_here.iter().cloned().map(release).collect();
    });
    // A draining daemon keeps its own slots until its data path drains; the other daemons
    // redistribute them afterwards.
    let own = view.members.own_id();
    let may_serve =
        |(daemon, member): &(&DaemonId, &peer::members::Member)| !member.draining || *daemon == own;
    let serving = view.members.alive(now).filter(may_serve);
    let members = serving.filter_map(|(daemon, member)| {
        let profile = member.profile.as_ref()?;
        Some(Member {
            id: daemon.clone(),
            half: profile.half.clone(),
            place: profile.place.clone(),
            caller_address: profile.caller_address,
        })
    });
    let members: Vec<Member> = members.collect();
    let alive = u32::try_from(view.members.alive(now).count()).unwrap_or(u32::MAX);
    cx.platform.rate_limiter.set_daemon_count(alive);
    let released = doc.map_or_else(Vec::new, |doc| released_elsewhere(cx, &view, &doc, now));
    drop(view);
    let update = RouteUpdate {
        members: Some(members),
        released,
        ..RouteUpdate::default()
    };
    cx.proxy.update(update);
    released_here
}

/// Returns the upstreams that this half waits for and that every live daemon of the other halves
/// has released.
fn released_elsewhere(
    cx: &DaemonContext,
    view: &ClusterView,
    doc: &ActiveDocument,
    now: Mono,
) -> Vec<UpstreamId> {
    let own_half = &cx.settings.half;
    let waiting = doc.document.upstreams.iter().filter(|(upstream, spec)| {
        spec.half == *own_half && cx.proxy.phase(upstream) == Some(HandoverPhase::Waiting)
    });
    let released = waiting.filter(|(upstream, _)| {
        let mut others = daemons_of_other_halves(view, own_half, now);
        others.all(|daemon| has_released(view, daemon, upstream, doc.version, now))
    });
    released.map(|(upstream, _)| upstream.clone()).collect()
}

fn daemons_of_other_halves<'a>(
    view: &'a ClusterView,
    own_half: &'a HalfId,
    now: Mono,
) -> impl Iterator<Item = &'a DaemonId> {
    let alive = view.members.alive(now);
    let others = alive.filter(move |(_, member)| {
        member
            .profile
            .as_ref()
            .is_none_or(|profile| profile.half != *own_half)
    });
    others.map(|(daemon, _)| daemon)
}

fn has_released(
    view: &ClusterView,
    daemon: &DaemonId,
    upstream: &UpstreamId,
    version: DocVersion,
    now: Mono,
) -> bool {
    let mut summaries = view.gossip.summaries(&view.members, now);
    let summary = summaries
        .find(|(sender, _)| *sender == daemon)
        .map(|(_, summary)| summary);
    summary.is_some_and(|summary| {
        summary
            .released
            .iter()
            .any(|release| release.upstream == *upstream && release.doc >= version)
    })
}

/// Requests missing slots from peers, with at most one request in flight to each peer.
fn borrow_slots(cx: &Arc<DaemonContext>, pending: &Arc<std::sync::Mutex<Set<DaemonId>>>) {
    let (sent_at, requests) = cx.proxy.slot_requests();
    for (peer, request) in requests {
        if lock(pending).insert(peer.clone()) {
            tokio::spawn(borrow_slots_from(
                cx.clone(),
                pending.clone(),
                peer,
                request,
                sent_at,
            ));
        }
    }
}

async fn borrow_slots_from(
    cx: Arc<DaemonContext>,
    pending: Arc<std::sync::Mutex<Set<DaemonId>>>,
    peer: DaemonId,
    request: SlotRequest,
    sent_at: Mono,
) {
    let address = cx.view().members.get(&peer).and_then(peer_address);
    if let Some(address) = address {
        match cx.links.lend(address, request).await {
            Ok(loan) => cx.proxy.borrow(&loan, sent_at),
            Err(error) => log::debug!(peer = peer.as_str(); "cannot borrow slots: {error}"),
        }
    }
    lock(&pending).remove(&peer);
}
