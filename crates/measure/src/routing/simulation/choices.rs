//! Where each request is sent: the decisions of the routers, or of a simpler policy.

use rand::RngExt;
use route::decision::Decision;
use route::decision::Grant;
use route::decision::RouteRequest;

use super::CROSS_REGION_DELAY_US;
use super::LOCAL_DELAY_US;
use super::Simulation;
use super::parse_number;
use crate::routing::policy::Policy;
use crate::routing::policy::RouterOptions;

impl Simulation<'_> {
    pub(super) fn choose(&mut self, request: usize, daemon: usize) {
        match self.policy {
            Policy::Router(options) => self.route(request, daemon, options),
            policy => {
                let executor = self.choose_simple(policy, daemon);
                self.send(request, daemon, executor, None);
            }
        }
    }

    fn choose_simple(&mut self, policy: Policy, daemon: usize) -> usize {
        let count = self.scenario.executors;
        let in_flight = &self.in_flight[daemon];
        match policy {
            Policy::RoundRobin => {
                self.next_executor[daemon] += 1;
                self.next_executor[daemon] % count
            }
            Policy::LeastLoaded => {
                let start = self.rng.random_range(..count);
                (0..count)
                    .map(|index| (start + index) % count)
                    .min_by_key(|index| in_flight[*index])
                    .unwrap_or_default()
            }
            Policy::TwoChoices => {
                let one = self.rng.random_range(..count);
                let other = self.rng.random_range(..count);
                if in_flight[one] <= in_flight[other] {
                    one
                } else {
                    other
                }
            }
            Policy::Random | Policy::Router(_) => self.rng.random_range(..count),
        }
    }

    fn route(&mut self, request: usize, daemon: usize, options: RouterOptions) {
        let forwarded = self.requests[request].daemon != daemon;
        let arrival = RouteRequest {
            path: "/plan/visit".to_owned(),
            hops: u8::from(forwarded || !options.forward),
            ..RouteRequest::default()
        };
        let now = self.mono();
        let decision = self.routers[daemon].route(&arrival, now);
        self.handle_resolved(daemon);
        match decision {
            Decision::Send(grant) => self.send_granted(request, daemon, grant),
            Decision::Wait(ticket) => {
                self.waiting[daemon].insert(ticket, request);
                self.handle_resolved(daemon);
                self.report_busy(request, daemon);
            }
            Decision::Forward(peer) => {
                let peer = parse_number(peer.id.as_str());
                self.forward(request, peer, options);
            }
            Decision::Refuse(_) => {
                self.report_busy(request, daemon);
                self.refuse(request);
            }
        }
    }

    /// Reports to the daemon that forwarded a request that its peer had no free slot.
    fn report_busy(&mut self, request: usize, daemon: usize) {
        let first = self.requests[request].daemon;
        if first != daemon {
            let peer = format!("entry-{daemon}").into();
            let now = self.mono();
            self.routers[first].mark_peer_busy(&peer, now);
        }
    }

    /// Forwards a request to a peer, which decides as if it had arrived there.
    fn forward(&mut self, request: usize, peer: usize, options: RouterOptions) {
        self.result.forwarded += 1;
        if Some(peer) == self.lost_daemon {
            return self.refuse(request);
        }
        let regions = self.scenario.regions;
        let cross_region = self.requests[request].daemon % regions != peer % regions;
        self.result.cross_region += u64::from(cross_region);
        let delay = if cross_region {
            CROSS_REGION_DELAY_US
        } else {
            LOCAL_DELAY_US
        };
        // An earlier arrival accounts for the delay to the peer and back.
        let arrived = &mut self.requests[request].arrived;
        *arrived = arrived.saturating_sub(2 * delay);
        self.route(request, peer, options);
    }

    pub(super) fn handle_resolved(&mut self, daemon: usize) {
        for resolved in self.routers[daemon].take_resolved() {
            let Some(request) = self.waiting[daemon].remove(&resolved.ticket) else {
                continue;
            };
            match resolved.decision {
                Decision::Send(grant) => self.send_granted(request, daemon, grant),
                _ => self.refuse(request),
            }
        }
    }

    pub(super) fn refuse(&mut self, request: usize) {
        if !self.requests[request].done {
            self.requests[request].done = true;
            self.result.not_run += 1;
        }
    }

    pub(super) fn send_granted(&mut self, request: usize, daemon: usize, grant: Grant) {
        let executor = parse_number(grant.executor_id.as_str());
        self.send(request, daemon, executor, Some(grant));
    }
}
