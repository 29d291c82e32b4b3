//! A seeded discrete loop that drives the product's routers, or a simpler policy, against executors
//! that are only a number of slots and a service time.

mod sends;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use model::Map;
use model::Mono;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::RouteUpdate;
use route::Router;
use route::decision::Decision;
use route::decision::Grant;
use route::decision::RouteRequest;
use route::key::Ticket;

use super::SEED;
use super::policy::Policy;
use super::policy::Routed;
use super::policy::members;
use super::policy::router;
use super::scenario::Found;
use super::scenario::Scenario;

/// One way within a region, in microseconds.
const NEAR_US: u64 = 1_000;
/// One way between regions, in microseconds.
const FAR_US: u64 = 20_000;
const TICK_US: u64 = 20_000;
/// How often daemons ask each other for slots.
const LEND_US: u64 = 1_000_000;
const RENEW_US: u64 = 1_000_000;
/// How long it takes until a lost daemon is missed.
const MISSED_US: u64 = 1_000_000;
/// How long its former peers let its slots rest.
const SETTLE_US: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize),
    Served(usize),
    Back(usize),
    Hedge(usize),
    Tick,
    Lend,
    Renew,
    Lose,
    Miss,
    Settle,
}

struct Request {
    daemon: usize,
    arrived: u64,
    /// The service time of its own, in microseconds.
    work: u64,
    done: bool,
    sends: u8,
}

struct Send {
    request: usize,
    daemon: usize,
    executor: usize,
    broken: bool,
    refused: bool,
    grant: Option<Grant>,
}

#[derive(Default)]
struct Executor {
    busy: u16,
    queue: VecDeque<usize>,
}

struct Loop<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    requests: Vec<Request>,
    sends: Vec<Send>,
    executors: Vec<Executor>,
    routers: Vec<Router>,
    waiting: Vec<Map<Ticket, usize>>,
    own: Vec<Vec<u16>>,
    turn: Vec<usize>,
    lost: Option<usize>,
    found: Found,
}

/// Runs a scenario under a policy.
pub(super) fn run(scenario: &Scenario, policy: Policy) -> Found {
    let routers = match policy {
        Policy::Routed(routed) => (0..scenario.daemons)
            .map(|at| router(scenario, at, routed.limits))
            .collect(),
        _ => Vec::new(),
    };
    let mut state = Loop {
        scenario,
        policy,
        rng: SmallRng::seed_from_u64(SEED),
        now: 0,
        events: BinaryHeap::new(),
        count: 0,
        requests: Vec::new(),
        sends: Vec::new(),
        executors: (0..scenario.executors)
            .map(|_| Executor::default())
            .collect(),
        routers,
        waiting: vec![Map::default(); scenario.daemons],
        own: vec![vec![0; scenario.executors]; scenario.daemons],
        turn: (0..scenario.daemons).map(|at| at * 9).collect(),
        lost: None,
        found: Found::new(scenario.daemons),
    };
    state.start();
    while let Some(Reverse((at, _, event))) = state.events.pop() {
        state.now = at;
        state.handle(event);
    }
    state.found
}

impl Loop<'_> {
    fn start(&mut self) {
        self.push(0, Event::Arrive);
        if !self.routers.is_empty() {
            self.push(TICK_US, Event::Tick);
            self.push(LEND_US, Event::Lend);
            self.push(RENEW_US, Event::Renew);
        }
        if let Some(ms) = self.scenario.lost_ms {
            self.push(ms * 1_000, Event::Lose);
            self.push(ms * 1_000 + MISSED_US, Event::Miss);
            self.push(ms * 1_000 + MISSED_US + SETTLE_US, Event::Settle);
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events
            .push(Reverse((self.now + after, self.count, event)));
    }

    fn over(&self) -> bool {
        self.now >= self.scenario.span_ms * 1_000
    }

    fn again(&mut self, after: u64, event: Event) {
        let unfinished = self.found.answered + self.found.not_run < self.found.requests;
        if !self.over() || (unfinished && self.now < 2_000 * self.scenario.span_ms) {
            self.push(after, event);
        }
    }

    const fn mono(&self) -> Mono {
        Mono(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(send) => self.reach(send),
            Event::Served(send) => self.served(send),
            Event::Back(send) => self.back(send),
            Event::Hedge(send) => self.hedge(send),
            Event::Tick => {
                for at in 0..self.routers.len() {
                    let now = self.mono();
                    self.routers[at].tick(now);
                    self.resolve(at);
                }
                self.again(TICK_US, Event::Tick);
            }
            Event::Lend => {
                self.lend();
                self.again(LEND_US, Event::Lend);
            }
            Event::Renew => {
                self.inform(None);
                self.again(RENEW_US, Event::Renew);
            }
            Event::Lose => self.lost = Some(self.scenario.daemons - 1),
            Event::Miss => {}
            Event::Settle => self.inform(self.lost),
        }
    }

    /// Renews the view of the members; a lost one leaves it once its slots have rested.
    fn inform(&mut self, lost: Option<usize>) {
        let settled = self.lost.is_some_and(|_| {
            let at = self.scenario.lost_ms.unwrap_or_default() * 1_000;
            self.now >= at + MISSED_US + SETTLE_US
        });
        let lost = if settled { self.lost } else { lost };
        for at in 0..self.routers.len() {
            let update = RouteUpdate {
                members: Some(members(self.scenario, lost)),
                ..RouteUpdate::default()
            };
            let now = self.mono();
            self.routers[at].update(update, now);
            self.resolve(at);
        }
    }

    fn arrive(&mut self) {
        let capacity = self.scenario.executors as f64 * f64::from(self.scenario.slots);
        let rate = capacity * self.scenario.load / (self.scenario.whole_mean_ms() * 1e3);
        let gap = self.exponential(1.0 / rate);
        if !self.over() {
            self.push(gap, Event::Arrive);
        }
        let request = self.requests.len();
        let daemon = self.daemon();
        self.found.requests += 1;
        let work = self.exponential(self.scenario.mean_ms * 1e3);
        self.requests.push(Request {
            daemon,
            arrived: self.now,
            work,
            done: false,
            sends: 0,
        });
        self.choose(request, daemon);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number of microseconds"
    )]
    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-uniform.ln() * mean).ceil() as u64
    }

    /// Returns the daemon that the balancer chooses.
    fn daemon(&mut self) -> usize {
        let first = self.scenario.skew.unwrap_or_default();
        loop {
            let at = if self.rng.random_bool(first) {
                0
            } else {
                self.rng.random_range(..self.scenario.daemons)
            };
            if Some(at) != self.lost {
                return at;
            }
        }
    }

    fn choose(&mut self, request: usize, daemon: usize) {
        match self.policy {
            Policy::Routed(routed) => self.route(request, daemon, routed),
            policy => {
                let executor = self.simple(policy, daemon);
                self.send(request, daemon, executor, None);
            }
        }
    }

    fn simple(&mut self, policy: Policy, daemon: usize) -> usize {
        let count = self.scenario.executors;
        let own = &self.own[daemon];
        match policy {
            Policy::RoundRobin => {
                self.turn[daemon] += 1;
                self.turn[daemon] % count
            }
            Policy::LeastLoaded => {
                let start = self.rng.random_range(..count);
                (0..count)
                    .map(|at| (start + at) % count)
                    .min_by_key(|at| own[*at])
                    .unwrap_or_default()
            }
            Policy::TwoChoices => {
                let one = self.rng.random_range(..count);
                let other = self.rng.random_range(..count);
                if own[one] <= own[other] { one } else { other }
            }
            Policy::Random | Policy::Routed(_) => self.rng.random_range(..count),
        }
    }

    fn route(&mut self, request: usize, daemon: usize, routed: Routed) {
        let passed = self.requests[request].daemon != daemon;
        let arrival = RouteRequest {
            path: "/plan/visit".to_owned(),
            hops: u8::from(passed || !routed.pass),
            ..RouteRequest::default()
        };
        let now = self.mono();
        let decision = self.routers[daemon].route(&arrival, now);
        self.resolve(daemon);
        match decision {
            Decision::Send(grant) => self.granted(request, daemon, grant),
            Decision::Wait(ticket) => {
                self.waiting[daemon].insert(ticket, request);
                self.resolve(daemon);
                self.tell_busy(request, daemon);
            }
            Decision::Forward(peer) => {
                let peer = number(peer.id.as_str());
                self.pass(request, peer, routed);
            }
            Decision::Refuse(_) => {
                self.tell_busy(request, daemon);
                self.refused(request);
            }
        }
    }

    /// Tells the daemon that passed a request on that its peer had no free slot.
    fn tell_busy(&mut self, request: usize, daemon: usize) {
        let first = self.requests[request].daemon;
        if first != daemon {
            let peer = format!("entry-{daemon}").into();
            let now = self.mono();
            self.routers[first].mark_peer_busy(&peer, now);
        }
    }

    /// Passes a request to a peer, which decides as if it had arrived there.
    fn pass(&mut self, request: usize, peer: usize, routed: Routed) {
        self.found.passed += 1;
        if Some(peer) == self.lost {
            return self.refused(request);
        }
        let regions = self.scenario.regions;
        let far = self.requests[request].daemon % regions != peer % regions;
        self.found.far += u64::from(far);
        let way = if far { FAR_US } else { NEAR_US };
        // The way there and back is counted by an earlier arrival.
        let arrived = &mut self.requests[request].arrived;
        *arrived = arrived.saturating_sub(2 * way);
        self.route(request, peer, routed);
    }

    fn resolve(&mut self, daemon: usize) {
        for resolved in self.routers[daemon].take_resolved() {
            let Some(request) = self.waiting[daemon].remove(&resolved.ticket) else {
                continue;
            };
            match resolved.decision {
                Decision::Send(grant) => self.granted(request, daemon, grant),
                _ => self.refused(request),
            }
        }
    }

    fn refused(&mut self, request: usize) {
        if !self.requests[request].done {
            self.requests[request].done = true;
            self.found.not_run += 1;
        }
    }

    fn granted(&mut self, request: usize, daemon: usize, grant: Grant) {
        let executor = number(grant.executor_id.as_str());
        self.send(request, daemon, executor, Some(grant));
    }

    fn lend(&mut self) {
        for at in 0..self.routers.len() {
            self.lend_to(at);
        }
    }

    fn lend_to(&mut self, at: usize) {
        let Policy::Routed(Routed { lend: true, .. }) = self.policy else {
            return;
        };
        if Some(at) == self.lost {
            return;
        }
        let now = self.mono();
        for (peer, ask) in self.routers[at].slot_requests(now) {
            let lender = number(peer.as_str());
            self.found.lending_bytes[at] += size(&ask);
            if Some(lender) != self.lost {
                let loan = self.routers[lender].lend(&ask, now);
                self.found.lending_bytes[at] += size(&loan);
                self.routers[at].borrow(&loan, now, now);
            }
        }
        self.resolve(at);
    }
}

/// Returns the number at the end of a name.
fn number(name: &str) -> usize {
    let digits = name.rsplit('-').next().and_then(|text| text.parse().ok());
    digits.unwrap_or_default()
}

fn size<T: serde::Serialize>(message: &T) -> u64 {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
