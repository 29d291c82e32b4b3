//! The router, which decides which executor serves a request and when.
//!
//! It is a state machine: each method takes an event and the current time, and returns the decision
//! on the request that it is called for. Decisions on other requests that result from the event,
//! for example after a slot was freed, are collected for [`Router::take_resolved`].

mod admission;
mod division;
mod dump;
mod loans;
mod peers;
mod reevaluation;
mod resend;
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

/// Maximum number of times that a request is forwarded between daemons.
pub const MAX_HOPS: u8 = 2;
/// An executor whose latency exceeds the mean of its upstream by this factor is an outlier.
const SLOW_FACTOR: f64 = 3.0;
/// Minimum number of samples before an executor can be a latency outlier.
const MIN_SLOW_SAMPLES: u32 = 16;

#[derive(Debug)]
struct Upstream {
    id: UpstreamId,
    half: String,
    slots: u16,
    deadline: Duration,
    weight: u32,
    phase: HandoverPhase,
    /// When [`HandoverPhase::Waiting`] ends without a release.
    wait_until: Mono,
    /// Executors of this region with a free slot.
    local_free: FreeList,
    /// Executors of other regions with a free slot.
    remote_free: FreeList,
    /// Slots of available executors in this region that this daemon may use.
    local_slots: u32,
    /// Slots of available executors in other regions that this daemon may use.
    remote_slots: u32,
    executor_count: usize,
    ejected: Vec<ExecutorKey>,
    /// Indexes of the members that own slots of this upstream; empty if this daemon owns some in
    /// its region.
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
    /// Returns the number of slots that requests use by default: those of this region, or those of
    /// other regions if there are none here.
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
    /// Slots that the division assigns to this daemon.
    quota: u16,
    /// Slots after a membership change that adds some, and when they may be used.
    gained: Option<(u16, Mono)>,
    lent: u16,
    borrowed: u16,
    in_flight: u16,
    latency: ExecutorLatency,
    health: Health,
    /// Slots of this executor that are included in the sums of its upstream.
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
    /// Upstream in whose queue the request is; `None` while it waits for a table update.
    upstream: Option<UpstreamKey>,
    caller: CallerKey,
    position: queue::Position,
    route_request: RouteRequest,
    deadline: Mono,
    expires_at: Mono,
    reason: RefusalReason,
    /// Whether the request has not been sent to any executor before.
    is_first_send: bool,
}

/// State machine of the routing decisions of one daemon.
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
    /// Peers without a free slot for a forwarded request, and until when none is forwarded to them.
    busy_peers: Map<DaemonId, Mono>,
    serving: bool,
    draining: bool,
    refused: BTreeMap<String, u64>,
    resolved: Vec<Resolved>,
}

impl Router {
    /// Creates a router with empty tables; `seed` determines all its random choices.
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

    /// Sets whether this daemon may serve. An isolated daemon refuses every request as not run.
    pub const fn set_serving(&mut self, serving: bool) {
        self.serving = serving;
    }

    /// Starts draining: new requests are forwarded to other daemons of the half.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Removes and returns the decisions that past events resulted in for waiting requests.
    #[must_use]
    pub fn take_resolved(&mut self) -> Vec<Resolved> {
        std::mem::take(&mut self.resolved)
    }

    /// Ends a send, releases its slot and gives it to the next request.
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

    /// Removes a waiting request whose caller has disconnected.
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
            None => self.parked.retain(|parked| *parked != ticket),
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
