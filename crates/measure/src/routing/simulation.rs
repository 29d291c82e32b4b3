//! A seeded discrete-event simulation that runs the real routers, or a simpler policy, against
//! executors modelled by a number of slots and a service time.

mod choices;
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
use route::decision::Grant;
use route::key::Ticket;

use super::SEED;
use super::policy::Policy;
use super::policy::RouterOptions;
use super::policy::members;
use super::policy::router;
use super::scenario::Scenario;
use super::scenario::SimulationResult;

/// One-way network delay within a region, in microseconds.
const LOCAL_DELAY_US: u64 = 1_000;
/// One-way network delay between regions, in microseconds.
const CROSS_REGION_DELAY_US: u64 = 20_000;
/// Interval between ticks of a router, in microseconds.
const TICK_INTERVAL_US: u64 = 20_000;
/// Interval at which daemons request slots from each other, in microseconds.
const BORROW_INTERVAL_US: u64 = 1_000_000;
/// Interval between updates of the member lists, in microseconds.
const MEMBERS_INTERVAL_US: u64 = 1_000_000;
/// Time until the loss of a daemon is detected, in microseconds.
const LOSS_DETECTION_US: u64 = 1_000_000;
/// Time from the detection until the peers reuse the slots of the lost daemon, in microseconds.
const SLOT_SETTLE_US: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a daemon.
    Arrive,
    /// A send reaches its executor.
    ReachExecutor(usize),
    /// An executor completes a send.
    Served(usize),
    /// The response to a send reaches its daemon.
    ReturnToDaemon(usize),
    /// A send is due to be hedged.
    Hedge(usize),
    /// The routers' timer expires.
    Tick,
    /// The daemons borrow slots from each other.
    BorrowSlots,
    /// The routers receive the list of members.
    RenewMembers,
    /// The last daemon is lost.
    LoseDaemon,
    /// The loss of the daemon is detected.
    DetectLoss,
    /// The slots of the lost daemon may be reused.
    SettleSlots,
}

struct Request {
    /// The daemon at which the request arrived.
    daemon: usize,
    /// Time of arrival, in microseconds.
    arrived: u64,
    /// Service time of the request on a healthy executor, in microseconds.
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

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: SmallRng,
    /// Simulated time in microseconds.
    now: u64,
    /// Pending events by time; the event number breaks ties.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    requests: Vec<Request>,
    sends: Vec<Send>,
    executors: Vec<Executor>,
    routers: Vec<Router>,
    /// Requests waiting for a slot, by daemon.
    waiting: Vec<Map<Ticket, usize>>,
    /// Sends in flight, by daemon and executor.
    in_flight: Vec<Vec<u16>>,
    /// Position of each daemon in the round-robin sequence.
    next_executor: Vec<usize>,
    lost_daemon: Option<usize>,
    result: SimulationResult,
}

/// Runs a scenario under a policy.
pub(super) fn run(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let routers = match policy {
        Policy::Router(options) => (0..scenario.daemons)
            .map(|index| router(scenario, index, options.limits))
            .collect(),
        _ => Vec::new(),
    };
    let mut state = Simulation {
        scenario,
        policy,
        rng: SmallRng::seed_from_u64(SEED),
        now: 0,
        events: BinaryHeap::new(),
        event_count: 0,
        requests: Vec::new(),
        sends: Vec::new(),
        executors: (0..scenario.executors)
            .map(|_| Executor::default())
            .collect(),
        routers,
        waiting: vec![Map::default(); scenario.daemons],
        in_flight: vec![vec![0; scenario.executors]; scenario.daemons],
        next_executor: (0..scenario.daemons).map(|index| index * 9).collect(),
        lost_daemon: None,
        result: SimulationResult::new(scenario.daemons),
    };
    state.start();
    while let Some(Reverse((time, _, event))) = state.events.pop() {
        state.now = time;
        state.handle(event);
    }
    state.result
}

impl Simulation<'_> {
    fn start(&mut self) {
        self.push(0, Event::Arrive);
        if !self.routers.is_empty() {
            self.push(TICK_INTERVAL_US, Event::Tick);
            self.push(BORROW_INTERVAL_US, Event::BorrowSlots);
            self.push(MEMBERS_INTERVAL_US, Event::RenewMembers);
        }
        if let Some(ms) = self.scenario.daemon_lost_ms {
            self.push(ms * 1_000, Event::LoseDaemon);
            self.push(ms * 1_000 + LOSS_DETECTION_US, Event::DetectLoss);
            self.push(
                ms * 1_000 + LOSS_DETECTION_US + SLOT_SETTLE_US,
                Event::SettleSlots,
            );
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + after, self.event_count, event)));
    }

    fn is_over(&self) -> bool {
        self.now >= self.scenario.duration_ms * 1_000
    }

    fn reschedule(&mut self, after: u64, event: Event) {
        let has_open_requests = self.result.answered + self.result.not_run < self.result.requests;
        if !self.is_over() || (has_open_requests && self.now < 2_000 * self.scenario.duration_ms) {
            self.push(after, event);
        }
    }

    const fn mono(&self) -> Mono {
        Mono(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachExecutor(send) => self.reach_executor(send),
            Event::Served(send) => self.served(send),
            Event::ReturnToDaemon(send) => self.return_to_daemon(send),
            Event::Hedge(send) => self.hedge(send),
            Event::Tick => {
                for index in 0..self.routers.len() {
                    let now = self.mono();
                    self.routers[index].tick(now);
                    self.handle_resolved(index);
                }
                self.reschedule(TICK_INTERVAL_US, Event::Tick);
            }
            Event::BorrowSlots => {
                self.borrow_all();
                self.reschedule(BORROW_INTERVAL_US, Event::BorrowSlots);
            }
            Event::RenewMembers => {
                self.update_members(None);
                self.reschedule(MEMBERS_INTERVAL_US, Event::RenewMembers);
            }
            Event::LoseDaemon => self.lost_daemon = Some(self.scenario.daemons - 1),
            Event::DetectLoss => {}
            Event::SettleSlots => self.update_members(self.lost_daemon),
        }
    }

    /// Updates the member list of every router. A lost daemon is removed once its slots may be
    /// reused.
    fn update_members(&mut self, lost: Option<usize>) {
        let settled = self.lost_daemon.is_some_and(|_| {
            let lost_us = self.scenario.daemon_lost_ms.unwrap_or_default() * 1_000;
            self.now >= lost_us + LOSS_DETECTION_US + SLOT_SETTLE_US
        });
        let lost = if settled { self.lost_daemon } else { lost };
        for index in 0..self.routers.len() {
            let update = RouteUpdate {
                members: Some(members(self.scenario, lost)),
                ..RouteUpdate::default()
            };
            let now = self.mono();
            self.routers[index].update(update, now);
            self.handle_resolved(index);
        }
    }

    fn arrive(&mut self) {
        let capacity = self.scenario.executors as f64 * f64::from(self.scenario.slots);
        let rate = capacity * self.scenario.load / (self.scenario.effective_mean_ms() * 1e3);
        let interval = self.exponential(1.0 / rate);
        if !self.is_over() {
            self.push(interval, Event::Arrive);
        }
        let request = self.requests.len();
        let daemon = self.choose_daemon();
        self.result.requests += 1;
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

    /// Returns the daemon to which the load balancer sends the next request.
    fn choose_daemon(&mut self) -> usize {
        let first_fraction = self.scenario.skew.unwrap_or_default();
        loop {
            let index = if self.rng.random_bool(first_fraction) {
                0
            } else {
                self.rng.random_range(..self.scenario.daemons)
            };
            if Some(index) != self.lost_daemon {
                return index;
            }
        }
    }

    fn borrow_all(&mut self) {
        for index in 0..self.routers.len() {
            self.borrow_slots(index);
        }
    }

    fn borrow_slots(&mut self, index: usize) {
        let Policy::Router(RouterOptions { lend: true, .. }) = self.policy else {
            return;
        };
        if Some(index) == self.lost_daemon {
            return;
        }
        let now = self.mono();
        for (peer, slot_request) in self.routers[index].slot_requests(now) {
            let lender = parse_number(peer.as_str());
            self.result.lending_bytes[index] += encoded_len(&slot_request);
            if Some(lender) != self.lost_daemon {
                let loan = self.routers[lender].lend(&slot_request, now);
                self.result.lending_bytes[index] += encoded_len(&loan);
                self.routers[index].borrow(&loan, now, now);
            }
        }
        self.handle_resolved(index);
    }
}

/// Returns the number after the last hyphen of a name, or 0.
fn parse_number(name: &str) -> usize {
    let digits = name.rsplit('-').next().and_then(|text| text.parse().ok());
    digits.unwrap_or_default()
}

fn encoded_len<T: serde::Serialize>(message: &T) -> u64 {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
