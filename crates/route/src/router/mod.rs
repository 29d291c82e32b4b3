//! The router: which executor serves a request, and when.
//!
//! It is a state machine: each method takes an event and the time. A method answers for the request
//! it is called for; what the event means for other requests, such as a slot that went free, is
//! collected and fetched with [`Router::take_resolved`].

mod admit;
mod dump;
mod loans;
mod peers;
mod pick;
mod tables;
mod tick;

pub use tick::TICK;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::doc::Document;
use model::Map;
use model::Mono;
use model::id::CallerId;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::ExecutorId;
use model::id::UpstreamId;
use model::place::Place;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::budget::Budget;
use crate::config::RouterConfig;
use crate::estimate::Latency;
use crate::estimate::Service;
use crate::health::Health;
use crate::key::CallerKey;
use crate::key::ExecutorKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::pool::FreeList;
use crate::queue;
use crate::queue::FairQueue;
use crate::report::Phase;
use crate::slots::Entry;
use crate::verdict::Arrival;
use crate::verdict::Finish;
use crate::verdict::Grant;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Resolved;
use crate::verdict::Verdict;
use crate::view::Member;

/// The most daemons that a request is passed through.
pub const MAX_HOPS: u8 = 2;
/// An executor this many times slower than its upstream's mean is a latency outlier.
const SLOW_FACTOR: f64 = 3.0;
/// Samples before an executor can be a latency outlier.
const SLOW_SAMPLES: u32 = 16;

#[derive(Debug)]
struct Upstream {
    id: UpstreamId,
    half: String,
    slots: u16,
    deadline: Duration,
    weight: u32,
    phase: Phase,
    /// When [`Phase::Waiting`] ends by itself.
    wait_until: Mono,
    /// Executors of this region with a free slot.
    near: FreeList,
    /// Executors of other regions with a free slot.
    far: FreeList,
    /// Slots of healthy executors of this region that this daemon may use.
    near_slots: u32,
    /// Slots of healthy executors of other regions that this daemon may use.
    far_slots: u32,
    executors: usize,
    ejected: Vec<ExecutorKey>,
    /// Members that hold slots of it, by their index, for a daemon that holds none.
    holders: Vec<usize>,
    queue: FairQueue,
    in_flight: u32,
    service: Service,
    budget: Budget,
    requests: u64,
    sends: u64,
    present: bool,
}

impl Upstream {
    /// Returns the slots that its requests use as long as their deadlines allow it: those of this
    /// region, or those of others if there are none here.
    const fn home_slots(&self) -> u32 {
        if self.near_slots > 0 {
            self.near_slots
        } else {
            self.far_slots
        }
    }
}

#[derive(Debug)]
struct Executor {
    id: ExecutorId,
    upstream: UpstreamKey,
    address: SocketAddr,
    place: Place,
    far: bool,
    leaving: bool,
    present: bool,
    /// Slots by the division.
    own: u16,
    /// Slots gained by a change of the members, and when they may be used.
    gained: Option<(u16, Mono)>,
    lent: u16,
    borrowed: u16,
    in_flight: u16,
    latency: Latency,
    health: Health,
    /// What it adds to its upstream's slots at present.
    counted: u16,
}

impl Executor {
    const fn allowed(&self) -> u16 {
        (self.own + self.borrowed).saturating_sub(self.lent)
    }

    const fn open(&self) -> bool {
        self.present && !self.leaving && !self.health.is_ejected()
    }
}

#[derive(Debug)]
struct Caller {
    weight: u32,
}

#[derive(Debug)]
struct Waiting {
    /// The upstream whose queue holds it; `None` while it waits for a change of the tables.
    upstream: Option<UpstreamKey>,
    caller: CallerKey,
    place: queue::Place,
    arrival: Arrival,
    deadline: Mono,
    give_up: Mono,
    reason: Reason,
    /// Whether it has not been sent yet.
    first: bool,
}

/// The state machine of one daemon's routing.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: SmallRng,
    version: DocVersion,
    document: Option<Arc<Document>>,
    members: Vec<Member>,
    view_at: Mono,
    settled_at: Mono,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    upstream_names: Map<UpstreamId, UpstreamKey>,
    routes: Map<String, UpstreamKey>,
    executors: SlotMap<ExecutorKey, Executor>,
    executor_names: Map<ExecutorId, ExecutorKey>,
    callers: SlotMap<CallerKey, Caller>,
    caller_names: Map<CallerId, CallerKey>,
    other: CallerKey,
    waiting: SlotMap<Ticket, Waiting>,
    held: Vec<Ticket>,
    lent: Vec<Entry>,
    borrowed: Vec<Entry>,
    /// Peers that had no free slot for a request passed to them, and until when none is passed.
    busy_peers: Map<DaemonId, Mono>,
    serving: bool,
    draining: bool,
    refused: BTreeMap<String, u64>,
    resolved: Vec<Resolved>,
}

impl Router {
    /// Makes a router that knows nothing yet; `seed` determines all its random choices.
    #[must_use]
    pub fn new(cfg: RouterConfig, seed: u64) -> Self {
        let mut callers = SlotMap::with_key();
        let other = callers.insert(Caller { weight: 1 });
        Self {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            version: DocVersion::default(),
            document: None,
            members: Vec::new(),
            view_at: Mono::ZERO,
            settled_at: Mono::ZERO,
            upstreams: SlotMap::with_key(),
            upstream_names: Map::default(),
            routes: Map::default(),
            executors: SlotMap::with_key(),
            executor_names: Map::default(),
            callers,
            caller_names: Map::default(),
            other,
            waiting: SlotMap::with_key(),
            held: Vec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            busy_peers: Map::default(),
            serving: true,
            draining: false,
            refused: BTreeMap::new(),
            resolved: Vec::new(),
        }
    }

    /// Says whether this daemon may serve; one that is cut off refuses everything as not run.
    pub const fn set_serving(&mut self, serving: bool) {
        self.serving = serving;
    }

    /// Begins a planned stop: new requests are passed to another daemon of the half.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns what the events so far mean for waiting requests, and forgets it.
    #[must_use]
    pub fn take_resolved(&mut self) -> Vec<Resolved> {
        std::mem::take(&mut self.resolved)
    }

    /// Takes in the end of a send and gives its slot to the next request.
    pub fn finish(&mut self, grant: &Grant, finish: Finish, now: Mono) {
        self.release(grant, now, finish);
        self.dispatch(grant.upstream, now);
    }

    fn release(&mut self, grant: &Grant, now: Mono, finish: Finish) {
        let Some(executor) = self.executors.get_mut(grant.executor) else {
            return;
        };
        executor.in_flight = executor.in_flight.saturating_sub(1);
        let Some(upstream) = self.upstreams.get_mut(grant.upstream) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if upstream.phase == Phase::Releasing && upstream.in_flight == 0 {
            upstream.phase = Phase::Released;
        }
        let span = now.since(grant.at);
        let common = upstream.service.mean_ms();
        let eject = match finish {
            Finish::Answered => {
                upstream.service.observe(span);
                executor.latency.observe(span, common, now);
                executor.health.succeed();
                self.cfg.limits.eject_slow
                    && executor.latency.samples() >= SLOW_SAMPLES
                    && common > 0.0
                    && executor.latency.value(common, now) > SLOW_FACTOR * common
            }
            Finish::Failed | Finish::Broken => executor.health.fail(),
            Finish::Refused => {
                let value = executor.latency.value(common, now);
                let penalty = Duration::from_secs_f64(2.0 * value / 1e3);
                executor.latency.observe(penalty, common, now);
                false
            }
            Finish::Cancelled => false,
        };
        if eject {
            self.eject(grant.executor, now);
        }
        self.refresh(grant.executor);
        self.forget_if_gone(grant.executor);
    }

    /// Withdraws a waiting request whose caller has hung up.
    pub fn cancel(&mut self, ticket: Ticket, now: Mono) {
        let Some(waiting) = self.waiting.remove(ticket) else {
            return;
        };
        match waiting.upstream {
            Some(key) => {
                if let Some(upstream) = self.upstreams.get_mut(key) {
                    upstream.queue.remove(waiting.place, now);
                }
            }
            None => self.held.retain(|held| *held != ticket),
        }
    }

    fn refuse(&mut self, reason: Reason, retry_after: Duration) -> Verdict {
        crate::report::Report::count_refused(&mut self.refused, reason);
        Verdict::Refuse(Refusal {
            reason,
            retry_after,
        })
    }

    fn resolve(&mut self, ticket: Ticket, verdict: Verdict) {
        self.waiting.remove(ticket);
        self.resolved.push(Resolved { ticket, verdict });
    }
}
