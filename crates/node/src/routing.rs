//! Tells the data path who the other daemons are, borrows slots, and follows handovers.

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
use route::report::Phase;
use route::slots::Ask;
use route::view::Member;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::cx::Cx;
use crate::cx::InForce;
use crate::cx::View;
use crate::cx::lock;
use crate::gossip;
use crate::shards::calls::peer_address;
use crate::supervisor::PartResult;

/// How often the data path is told and slots are asked for.
const TICK: Duration = Duration::from_millis(250);

/// Keeps the data path informed until `token` asks for the end.
///
/// # Errors
///
/// None at present; the signature is that of a part.
pub async fn run(cx: Arc<Cx>, token: CancellationToken) -> PartResult {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let asking = Arc::new(std::sync::Mutex::new(Set::default()));
    let mut doc = cx.doc.subscribe();
    let mut told = Vec::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
            Ok(()) = doc.changed() => {}
            () = cx.news.notified() => {}
        }
        let now = cx.clock.now();
        let released = tell(&cx, now);
        if released != told {
            spread(&cx, now);
            told = released;
        }
        borrow(&cx, &asking);
    }
}

/// Tells the other halves at once what was released, instead of with the next rounds of gossip: their
/// requests wait for it.
fn spread(cx: &Arc<Cx>, now: Mono) {
    let view = cx.view();
    for daemon in foreign(&view, &cx.settings.half, now) {
        tokio::spawn(gossip::exchange(cx.clone(), daemon.clone()));
    }
}

/// Informs the data path; returns what it has released.
fn tell(cx: &Cx, now: Mono) -> Vec<UpstreamId> {
    let doc = cx.doc.borrow().clone();
    let left = cx.proxy.released();
    let mut view = cx.view();
    let View {
        members,
        gossip: summaries,
        ..
    } = &mut *view;
    let version = doc.as_ref().map_or(DocVersion(0), |doc| doc.version);
    summaries.update(members.own_id(), |own| {
        let told = |upstream: UpstreamId| ReleasedUpstream {
            upstream,
            doc: version,
        };
        own.released = left.iter().cloned().map(told).collect();
    });
    // A draining daemon keeps its own slots until its data path drains; the others give them out later.
    let own = view.members.own_id();
    let serves =
        |(daemon, member): &(&DaemonId, &peer::members::Member)| !member.draining || *daemon == own;
    let serving = view.members.alive(now).filter(serves);
    let members = serving.filter_map(|(daemon, member)| {
        let profile = member.profile.as_ref()?;
        Some(Member {
            id: daemon.clone(),
            half: profile.half.clone(),
            place: profile.place.clone(),
            callers: profile.caller_address,
        })
    });
    let members: Vec<Member> = members.collect();
    let alive = u32::try_from(view.members.alive(now).count()).unwrap_or(u32::MAX);
    cx.outside.pace.set_daemon_count(alive);
    let released = doc.map_or_else(Vec::new, |doc| taken_over(cx, &view, &doc, now));
    drop(view);
    let update = RouteUpdate {
        members: Some(members),
        released,
        ..RouteUpdate::default()
    };
    cx.proxy.update(update);
    left
}

/// The upstreams that this half waits for and that every living daemon of another half has left.
fn taken_over(cx: &Cx, view: &View, doc: &InForce, now: Mono) -> Vec<UpstreamId> {
    let own_half = &cx.settings.half;
    let waiting = doc.document.upstreams.iter().filter(|(upstream, one)| {
        one.half == *own_half && cx.proxy.phase(upstream) == Some(Phase::Waiting)
    });
    let left = waiting.filter(|(upstream, _)| {
        let mut others = foreign(view, own_half, now);
        others.all(|daemon| has_released(view, daemon, upstream, doc.version, now))
    });
    left.map(|(upstream, _)| upstream.clone()).collect()
}

fn foreign<'a>(
    view: &'a View,
    own_half: &'a HalfId,
    now: Mono,
) -> impl Iterator<Item = &'a DaemonId> {
    let alive = view.members.alive(now);
    let foreign = alive.filter(move |(_, member)| {
        member
            .profile
            .as_ref()
            .is_none_or(|profile| profile.half != *own_half)
    });
    foreign.map(|(daemon, _)| daemon)
}

fn has_released(
    view: &View,
    daemon: &DaemonId,
    upstream: &UpstreamId,
    version: DocVersion,
    now: Mono,
) -> bool {
    let mut told = view.gossip.summaries(&view.members, now);
    let told = told
        .find(|(teller, _)| *teller == daemon)
        .map(|(_, summary)| summary);
    told.is_some_and(|summary| {
        summary
            .released
            .iter()
            .any(|one| one.upstream == *upstream && one.doc >= version)
    })
}

/// Asks peers for the slots that are lacking, one question to a peer at a time.
fn borrow(cx: &Arc<Cx>, asking: &Arc<std::sync::Mutex<Set<DaemonId>>>) {
    let (asked, asks) = cx.proxy.asks();
    for (peer, ask) in asks {
        if lock(asking).insert(peer.clone()) {
            tokio::spawn(borrow_from(cx.clone(), asking.clone(), peer, ask, asked));
        }
    }
}

async fn borrow_from(
    cx: Arc<Cx>,
    asking: Arc<std::sync::Mutex<Set<DaemonId>>>,
    peer: DaemonId,
    ask: Ask,
    asked: Mono,
) {
    let address = cx.view().members.get(&peer).and_then(peer_address);
    if let Some(address) = address {
        match cx.links.lend(address, ask).await {
            Ok(loan) => cx.proxy.borrow(&loan, asked),
            Err(error) => log::debug!(peer = peer.as_str(); "lends nothing: {error}"),
        }
    }
    lock(&asking).remove(&peer);
}
