//! The router: which executor serves a request, and when.
//!
//! It is a state machine: each method takes an event and the time. A method answers for the request
//! it is called for; what the event means for other requests, such as a slot that went free, is
//! collected and fetched with [`Router::take_resolved`].

mod admission;
mod dump;
mod loans;
mod peers;
mod selection;
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

use crate::config::RouterConfig;
use crate::decision::Decision;
use crate::decision::Grant;
use crate::decision::Refusal;
use crate::decision::RefusalReason;
use crate::decision::Resolved;
use crate::decision::RouteRequest;
use crate::decision::SendOutcome;
use crate::estimate::ExecutorLatency;
use crate::estimate::ServiceTime;
use crate::free_list::FreeList;
use crate::health::Health;
use crate::key::CallerKey;
use crate::key::ExecutorKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::queue;
use crate::queue::FairQueue;
use crate::report::HandoverPhase;
use crate::retry_budget::RetryBudget;
use crate::slots::LoanEntry;
use crate::update::Member;

/// The most daemons that a request is passed through.
pub const MAX_HOPS: u8 = 2;
/// An executor this many times slower than its upstream's mean is a latency outlier.
const SLOW_FACTOR: f64 = 3.0;
/// Samples before an executor can be a latency outlier.
const MIN_SLOW_SAMPLES: u32 = 16;

#[derive(Debug)]
struct Upstream {
    id: UpstreamId,
    half: String,
    slots: u16,
    deadline: Duration,
    weight: u32,
    phase: HandoverPhase,
    /// When [`HandoverPhase::Waiting`] ends by itself.
    wait_until: Mono,
    /// Executors of this region with a free slot.
    local_free: FreeList,
    /// Executors of other regions with a free slot.
    remote_free: FreeList,
    /// Slots of healthy executors of this region that this daemon may use.
    local_slots: u32,
    /// Slots of healthy executors of other regions that this daemon may use.
    remote_slots: u32,
    executor_count: usize,
    ejected: Vec<ExecutorKey>,
    /// Members that hold slots of it, by their index, for a daemon that holds none.
    slot_holders: Vec<usize>,
    queue: FairQueue,
    in_flight: u32,
    service_time: ServiceTime,
    retry_budget: RetryBudget,
    requests: u64,
    sends: u64,
    listed: bool,
}

impl Upstream {
    /// Returns the slots that its requests use as long as their deadlines allow it: those of this
    /// region, or those of others if there are none here.
    const fn primary_slots(&self) -> u32 {
        if self.local_slots > 0 {
            self.local_slots
        } else {
            self.remote_slots
        }
    }
}

#[derive(Debug)]
struct Executor {
    id: ExecutorId,
    upstream: UpstreamKey,
    address: SocketAddr,
    place: Place,
    cross_region: bool,
    leaving: bool,
    listed: bool,
    /// Slots by the division.
    quota: u16,
    /// Slots gained by a change of the members, and when they may be used.
    gained: Option<(u16, Mono)>,
    lent: u16,
    borrowed: u16,
    in_flight: u16,
    latency: ExecutorLatency,
    health: Health,
    /// What it adds to its upstream's slots at present.
    counted_slots: u16,
}

impl Executor {
    const fn allowed_slots(&self) -> u16 {
        (self.quota + self.borrowed).saturating_sub(self.lent)
    }

    const fn is_available(&self) -> bool {
        self.listed && !self.leaving && !self.health.is_ejected()
    }
}

#[derive(Debug)]
struct Caller {
    weight: u32,
}

#[derive(Debug)]
struct WaitingRequest {
    /// The upstream whose queue holds it; `None` while it waits for a change of the tables.
    upstream: Option<UpstreamKey>,
    caller: CallerKey,
    position: queue::Position,
    route_request: RouteRequest,
    deadline: Mono,
    expires_at: Mono,
    reason: RefusalReason,
    /// Whether it has not been sent yet.
    is_first_send: bool,
}

/// The state machine of one daemon's routing.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    rng: SmallRng,
    version: DocVersion,
    document: Option<Arc<Document>>,
    members: Vec<Member>,
    members_updated_at: Mono,
    gains_usable_at: Mono,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    upstream_keys: Map<UpstreamId, UpstreamKey>,
    routes: Map<String, UpstreamKey>,
    executors: SlotMap<ExecutorKey, Executor>,
    executor_keys: Map<ExecutorId, ExecutorKey>,
    callers: SlotMap<CallerKey, Caller>,
    caller_keys: Map<CallerId, CallerKey>,
    unknown_callers: CallerKey,
    waiting: SlotMap<Ticket, WaitingRequest>,
    parked: Vec<Ticket>,
    lent: Vec<LoanEntry>,
    borrowed: Vec<LoanEntry>,
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
        let unknown_callers = callers.insert(Caller { weight: 1 });
        Self {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            version: DocVersion::default(),
            document: None,
            members: Vec::new(),
            members_updated_at: Mono::ZERO,
            gains_usable_at: Mono::ZERO,
            upstreams: SlotMap::with_key(),
            upstream_keys: Map::default(),
            routes: Map::default(),
            executors: SlotMap::with_key(),
            executor_keys: Map::default(),
            callers,
            caller_keys: Map::default(),
            unknown_callers,
            waiting: SlotMap::with_key(),
            parked: Vec::new(),
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
    pub fn finish(&mut self, grant: &Grant, send_outcome: SendOutcome, now: Mono) {
        self.release(grant, now, send_outcome);
        self.dispatch(grant.upstream, now);
    }

    fn release(&mut self, grant: &Grant, now: Mono, send_outcome: SendOutcome) {
        let Some(executor) = self.executors.get_mut(grant.executor) else {
            return;
        };
        executor.in_flight = executor.in_flight.saturating_sub(1);
        let Some(upstream) = self.upstreams.get_mut(grant.upstream) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if upstream.phase == HandoverPhase::Releasing && upstream.in_flight == 0 {
            upstream.phase = HandoverPhase::Released;
        }
        let duration = now.since(grant.granted_at);
        let upstream_mean_ms = upstream.service_time.mean_ms();
        let eject = match send_outcome {
            SendOutcome::Answered => {
                upstream.service_time.observe(duration);
                executor.latency.observe(duration, upstream_mean_ms, now);
                executor.health.record_success();
                self.cfg.limits.eject_slow
                    && executor.latency.samples() >= MIN_SLOW_SAMPLES
                    && upstream_mean_ms > 0.0
                    && executor.latency.estimate_ms(upstream_mean_ms, now)
                        > SLOW_FACTOR * upstream_mean_ms
            }
            SendOutcome::Failed | SendOutcome::Broken => executor.health.record_failure(),
            SendOutcome::Refused => {
                let value = executor.latency.estimate_ms(upstream_mean_ms, now);
                let penalty = Duration::from_secs_f64(2.0 * value / 1e3);
                executor.latency.observe(penalty, upstream_mean_ms, now);
                false
            }
            SendOutcome::Cancelled => false,
        };
        if eject {
            self.eject(grant.executor, now);
        }
        self.refresh_executor(grant.executor);
        self.remove_if_unused(grant.executor);
    }

    /// Withdraws a waiting request whose caller has hung up.
    pub fn cancel(&mut self, ticket: Ticket, now: Mono) {
        let Some(waiting) = self.waiting.remove(ticket) else {
            return;
        };
        match waiting.upstream {
            Some(key) => {
                if let Some(upstream) = self.upstreams.get_mut(key) {
                    upstream.queue.remove(waiting.position, now);
                }
            }
            None => self.parked.retain(|held| *held != ticket),
        }
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after: Duration) -> Decision {
        crate::report::RouterReport::count_refused(&mut self.refused, reason);
        Decision::Refuse(Refusal {
            reason,
            retry_after,
        })
    }

    fn resolve(&mut self, ticket: Ticket, decision: Decision) {
        self.waiting.remove(ticket);
        self.resolved.push(Resolved { ticket, decision });
    }
}
