//! Calls to executors, which go through relays where the owner's own capacity does not suffice.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use job::fleet::ExecutorKey;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use model::Map;

use super::Owner;
use crate::dependencies::CallFuture;
use crate::dependencies::CommandOutcome;
use crate::dependencies::CommandReply;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::dependencies::RunRequest;
use crate::dependencies::StartRequest;
use crate::dependencies::Target;
use crate::events;
use crate::hosts::HostInfo;
use crate::relay::assignment;
use crate::relay::assignment::Demand;
use crate::relay::link::RelayLink;
use crate::supervise::spawn_part;

/// Delay after a relay failed. The next call goes another way.
pub(super) const RELAY_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Starts go by way of relays only if the store has confirmed the ownership within this time: a relay
/// that reaches the store is bound to cancellations that an owner without it does not know.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);
/// A relay that has tried to reach an executor for this long in vain may be cut off from it. A call that
/// was not sent for its age is answered earlier.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(400);
/// Interval at which the choice of relays follows the hosts and executors.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);

impl Owner {
    pub(super) async fn call_start(
        &self,
        key: ExecutorKey,
        request: StartRequest,
    ) -> CommandReply<StartAnswer> {
        let relay = self.relay(key, &request.target);
        match relay.filter(|_| self.is_confirmed_lately()) {
            Some(relay) => {
                let sent = self.now();
                let reply = relay.start(request).await;
                let now = self.now();
                let found_no_way = reply.outcome == CommandOutcome::NotSent;
                if found_no_way && now.since(sent) >= MIN_CONNECT_TIME {
                    self.relays.bypass(key, now);
                }
                reply
            }
            None => (self.node.dependencies.executors.start)(request).await,
        }
    }

    pub(super) async fn call_stop(
        &self,
        key: ExecutorKey,
        request: RunRequest,
    ) -> CommandReply<bool> {
        match self.relay(key, &request.target) {
            Some(relay) => relay.stop(request).await,
            None => (self.node.dependencies.executors.stop)(request).await,
        }
    }

    pub(super) async fn call_set_cpu_share(
        &self,
        key: ExecutorKey,
        request: RunRequest,
        cpu_percent: u32,
    ) -> CommandReply<bool> {
        match self.relay(key, &request.target) {
            Some(relay) => relay.set_cpu_share(request, cpu_percent).await,
            None => (self.node.dependencies.executors.set_cpu_share)((request, cpu_percent)).await,
        }
    }

    pub(super) fn call_poll(
        &self,
        key: ExecutorKey,
        request: PollRequest,
    ) -> CallFuture<Result<Report, PollError>> {
        match self.relay(key, &request.target) {
            Some(relay) => async move { relay.poll(request).await }.boxed_local(),
            None => (self.node.dependencies.executors.poll)(request),
        }
    }

    fn is_confirmed_lately(&self) -> bool {
        self.now().since(self.confirmed_at.get()) <= MAX_CONFIRMATION_AGE
    }

    fn relay(&self, key: ExecutorKey, target: &Target) -> Option<Rc<RelayLink>> {
        let scheduler = self.scheduler.borrow();
        let data_centre = &scheduler.fleet.get(key)?.listing.data_centre;
        self.relays.route(key, target, data_centre, self.now())
    }

    /// Returns the number of listed executors by data centre, if their calls need relays.
    fn relay_demands(&self) -> Vec<Demand> {
        let scheduler = self.scheduler.borrow();
        let mut executors: Map<Arc<str>, usize> = Map::default();
        for (_, executor) in scheduler.fleet.iter().filter(|(_, other)| other.listed) {
            let data_centre = executor.listing.data_centre.clone();
            *executors.entry(data_centre).or_default() += 1;
        }
        let all = executors.values().sum();
        if !assignment::are_relays_needed(all, self.node.identity.capacity) {
            return Vec::new();
        }
        let executors = executors.into_iter();
        executors
            .map(|(data_centre, executors)| Demand {
                data_centre,
                executors,
            })
            .collect()
    }

    fn review_relays(self: &Rc<Self>) {
        if !self.may_send() {
            return;
        }
        let now = self.now();
        let hosts = self.node.known_hosts.alive(now).into_iter();
        let hosts: Vec<HostInfo> = hosts.map(|(info, _)| info).collect();
        let usable = self.relays.usable(hosts, now);
        let chosen = assignment::choose(&self.relay_demands(), &usable);
        self.relays_wanted.set(!chosen.is_empty());
        if self.relays_wanted.get() && !self.record.borrow().relays {
            // The successor has to know from the owner's row that relays may hold calls.
            self.commit_requested.notify_one();
            return;
        }
        for (info, link) in self.relays.use_relays(chosen, now) {
            spawn_part(self, "relay", self.clone().run_relay(info, link));
        }
    }

    async fn run_relay(self: Rc<Self>, info: HostInfo, link: Rc<RelayLink>) {
        let address = info.relay_address;
        let result = link.run(&self.node, address.clone(), self.epoch).await;
        events::relay_closed(&address, result.as_ref().err());
    }
}

/// Keeps connections to the relays that the owner needs, until this host is no longer the owner.
pub(super) async fn maintain_relays(owner: Rc<Owner>) {
    loop {
        tokio::select! {
            () = owner.shutdown.cancelled() => break,
            () = tokio::time::sleep(REVIEW_INTERVAL) => owner.review_relays(),
        }
    }
    owner.relays.close();
}
