//! Gossips heartbeats, summaries and document updates with the other daemons.

use std::sync::Arc;

use conf::accept::follower::Event;
use model::Mono;
use model::id::DaemonId;
use peer::gossip::ROUND_INTERVAL;
use peer::rpc::GossipRequest;
use peer::rpc::GossipResponse;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::context::ClusterView;
use crate::context::DaemonContext;
use crate::context::Stage;
use crate::document::handle_event;
use crate::shards::requests::peer_address;
use crate::supervisor::PartResult;

/// Runs gossip rounds until `token` is cancelled.
///
/// # Errors
///
/// Currently never fails; the signature is that of a part.
pub async fn run(cx: Arc<DaemonContext>, token: CancellationToken) -> PartResult {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = rounds.tick() => {}
        }
        for target in begin_round(&cx) {
            tokio::spawn(exchange_with(cx.clone(), target));
        }
    }
}

/// Advances the own heartbeat and selects the peers of this round.
fn begin_round(cx: &DaemonContext) -> Vec<DaemonId> {
    let doc = cx.follower().version();
    let draining = *cx.stage.borrow() >= Stage::Draining;
    let mut view = cx.view();
    let ClusterView {
        members, gossip, ..
    } = &mut *view;
    members.tick(doc, draining, cx.clock.now());
    gossip.targets(members)
}

/// Announces to every live daemon at once that this one drains, instead of by the next rounds:
/// daemons that do not know continue to pass requests here.
pub async fn announce_draining(cx: &Arc<DaemonContext>) {
    begin_round(cx);
    let now = cx.clock.now();
    let others: Vec<DaemonId> = {
        let view = cx.view();
        let own = view.members.own_id().clone();
        let alive = view.members.alive(now).map(|(daemon, _)| daemon.clone());
        alive.filter(|daemon| *daemon != own).collect()
    };
    let exchanges = others
        .into_iter()
        .map(|daemon| exchange_with(cx.clone(), daemon));
    futures::future::join_all(exchanges).await;
}

/// Sends the own state to one peer and merges its answer.
pub async fn exchange_with(cx: Arc<DaemonContext>, to: DaemonId) {
    let sent = cx.clock.now();
    let digest = cx.follower().digest();
    let (address, exchange) = {
        let view = cx.view();
        let address = view.members.get(&to).and_then(peer_address);
        (address, view.gossip.compose(&view.members, &to, sent))
    };
    let Some(address) = address else {
        return;
    };
    match cx
        .links
        .gossip(address, GossipRequest { exchange, digest })
        .await
    {
        Ok(answer) => {
            merge(&cx, answer.exchange);
            handle_event(
                &cx,
                Event::Answered {
                    sent,
                    delta: answer.delta,
                },
            );
        }
        Err(error) => log::debug!(peer = to.as_str(); "{error}"),
    }
}

/// Merges the state that a peer sent and returns the own one.
pub fn respond(cx: &Arc<DaemonContext>, request: GossipRequest) -> GossipResponse {
    let now: Mono = cx.clock.now();
    let sender = request.exchange.from.clone();
    let delta = cx.follower().delta(&request.digest, now);
    cx.view()
        .contacts
        .insert(sender.clone(), (request.digest, now));
    merge(cx, request.exchange);
    let view = cx.view();
    GossipResponse {
        exchange: view.gossip.compose(&view.members, &sender, now),
        delta,
    }
}

fn merge(cx: &DaemonContext, exchange: peer::gossip::Exchange) {
    let now = cx.clock.now();
    let mut view = cx.view();
    let ClusterView {
        members, gossip, ..
    } = &mut *view;
    let has_summaries = !exchange.summaries.is_empty();
    gossip.merge(members, exchange, now);
    if has_summaries {
        cx.summary_changed.notify_one();
    }
}
