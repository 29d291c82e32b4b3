//! Exchanges heartbeats, summaries and news of the document with the other daemons.

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

use crate::cx::Cx;
use crate::cx::Stage;
use crate::cx::View;
use crate::document::follow;
use crate::shards::calls::peer_address;
use crate::supervisor::PartResult;

/// Gossips until `token` asks for the end.
///
/// # Errors
///
/// None at present; the signature is that of a part.
pub async fn run(cx: Arc<Cx>, token: CancellationToken) -> PartResult {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            _ = rounds.tick() => {}
        }
        for target in begin_round(&cx) {
            tokio::spawn(exchange(cx.clone(), target));
        }
    }
}

/// Advances the own heartbeat and picks the peers of this round.
fn begin_round(cx: &Cx) -> Vec<DaemonId> {
    let doc = cx.follower().version();
    let draining = *cx.stage.borrow() >= Stage::Draining;
    let mut view = cx.view();
    let View {
        members, gossip, ..
    } = &mut *view;
    members.tick(doc, draining, cx.clock.now());
    gossip.targets(members)
}

/// Tells every living daemon at once that this one drains, instead of with the next rounds: whoever
/// has not heard of it goes on passing requests here.
pub async fn announce(cx: &Arc<Cx>) {
    begin_round(cx);
    let now = cx.clock.now();
    let others: Vec<DaemonId> = {
        let view = cx.view();
        let own = view.members.own_id().clone();
        let alive = view.members.alive(now).map(|(daemon, _)| daemon.clone());
        alive.filter(|daemon| *daemon != own).collect()
    };
    let told = others
        .into_iter()
        .map(|daemon| exchange(cx.clone(), daemon));
    futures::future::join_all(told).await;
}

/// Turns to one peer.
pub async fn exchange(cx: Arc<Cx>, to: DaemonId) {
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
            follow(
                &cx,
                Event::Answered {
                    sent,
                    news: answer.news,
                },
            );
        }
        Err(error) => log::debug!(peer = to.as_str(); "{error}"),
    }
}

/// Answers a peer.
pub fn answer(cx: &Arc<Cx>, question: GossipRequest) -> GossipResponse {
    let now: Mono = cx.clock.now();
    let asker = question.exchange.from.clone();
    let news = cx.follower().news(&question.digest, now);
    cx.view()
        .heard
        .insert(asker.clone(), (question.digest, now));
    merge(cx, question.exchange);
    let view = cx.view();
    GossipResponse {
        exchange: view.gossip.compose(&view.members, &asker, now),
        news,
    }
}

fn merge(cx: &Cx, exchange: peer::gossip::Exchange) {
    let now = cx.clock.now();
    let mut view = cx.view();
    let View {
        members, gossip, ..
    } = &mut *view;
    let news = !exchange.summaries.is_empty();
    gossip.merge(members, exchange, now);
    if news {
        cx.news.notify_one();
    }
}
