//! The data path, which receives requests of callers, queries the router and sends to executors and
//! peers.
//!
//! A [`Proxy`] is cheap to clone, and clones share all state. Mount [`Proxy::service`] in a server
//! that was configured by [`server::harden`], spawn [`Proxy::run`] under a supervisor, and update
//! the tables with [`Proxy::update`]. `docs/CALLERS.md` documents the guarantees for callers.

mod body;
mod caller_request;
pub mod config;
mod connection;
mod exchange;
mod forward;
pub mod head;
pub mod intent;
pub mod reply;
mod response;
mod send;
mod serve;
pub mod server;
mod wait;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::Clock;
use model::Map;
use model::Mono;
use model::id::DaemonId;
use model::id::UpstreamId;
use plat::table::Table;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use self::connection::ConnectionPool;
use crate::decision::Decision;
use crate::decision::SendOutcome;
use crate::key::Ticket;
use crate::report::HandoverPhase;
use crate::report::RouterReport;
use crate::router::Router;
use crate::router::TICK;
use crate::slots::SlotLoan;
use crate::slots::SlotRequest;
use crate::update::RouteUpdate;

pub use config::ProxyConfig;
pub use config::ProxyLimits;

/// Interval at which expired idle connections are closed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// The data path of one daemon.
#[derive(Clone)]
pub struct Proxy {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    cfg: ProxyConfig,
    table: Table,
    clock: Clock,
    state: Mutex<State>,
    pool: ConnectionPool,
    seed: u64,
    /// Number of request ids and operation ids generated so far.
    sequence: AtomicU64,
    /// Until when requests that need the store are refused, in milliseconds of the clock.
    store_backoff_until: AtomicU64,
    /// Number of requests that are being forwarded to another daemon.
    forwarding: AtomicUsize,
    /// Number of outcomes that are being recorded in the table.
    recording: AtomicUsize,
    /// Number of bytes sent to or received from other regions.
    cross_region_bytes: Arc<AtomicU64>,
    /// Notifies tasks in [`Proxy::drained`] that a request has ended.
    request_ended: Notify,
}

struct State {
    router: Router,
    waiters: Map<Ticket, oneshot::Sender<Decision>>,
}

impl Proxy {
    /// Creates a data path that refuses every request until [`Proxy::update`] has filled its
    /// tables. `seed` determines the random choices of the router and is a part of generated
    /// request and operation ids, so it has to differ between incarnations of a daemon.
    #[must_use]
    pub fn new(cfg: ProxyConfig, table: Table, clock: Clock, seed: u64) -> Self {
        let router = Router::new(cfg.router.clone(), seed);
        Self {
            inner: Arc::new(Inner {
                cfg,
                table,
                clock,
                state: Mutex::new(State {
                    router,
                    waiters: Map::default(),
                }),
                pool: ConnectionPool::default(),
                seed,
                sequence: AtomicU64::new(0),
                store_backoff_until: AtomicU64::new(0),
                forwarding: AtomicUsize::new(0),
                recording: AtomicUsize::new(0),
                cross_region_bytes: Arc::new(AtomicU64::new(0)),
                request_ended: Notify::new(),
            }),
        }
    }

    /// Advances the time of the router and closes expired idle connections; runs until it is
    /// dropped.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut expire_at = self.inner.clock.now();
        loop {
            interval.tick().await;
            self.inner.with_router(|router, now| router.tick(now));
            let now = self.inner.clock.now();
            if expire_at <= now {
                expire_at = now.after(EXPIRE_INTERVAL);
                self.inner.pool.expire(self.inner.cfg.limits.idle_timeout);
            }
        }
    }

    /// Returns the handler to mount in the server for callers; it matches every path.
    #[must_use]
    pub fn service(&self) -> salvo::Router {
        salvo::Router::with_path("{**path}").goal(self.clone())
    }

    /// Applies an update of the routing tables.
    pub fn update(&self, update: RouteUpdate) {
        self.inner
            .with_router(|router, now| router.update(update, now));
    }

    /// Sets whether this daemon may serve. An isolated daemon refuses every request as not run.
    pub fn set_serving(&self, serving: bool) {
        self.inner
            .with_router(|router, _| router.set_serving(serving));
    }

    /// Starts draining: new requests are forwarded to other daemons of the half, and those in
    /// progress finish. [`Proxy::drained`] waits for their end.
    pub fn drain(&self) {
        self.inner.with_router(|router, _| router.drain());
    }

    /// Waits until no request is in progress and all outcomes are recorded.
    pub async fn drained(&self) {
        loop {
            let ended = self.inner.request_ended.notified();
            if self.unfinished() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Returns the number of requests in progress, including waiting ones and those whose outcome
    /// is being recorded.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        // `Inner::with_router` would wake `Proxy::drained`, which calls this method, in a loop.
        let routed = self.inner.lock().router.unfinished();
        let forwarding = self.inner.forwarding.load(Ordering::Acquire);
        routed + forwarding + self.inner.recording.load(Ordering::Acquire)
    }

    /// Returns the number of requests that are in flight at executors of an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.inner
            .with_router(|router, _| router.in_flight(upstream))
    }

    /// Returns the handover phase of an upstream.
    #[must_use]
    pub fn phase(&self, upstream: &UpstreamId) -> Option<HandoverPhase> {
        self.inner.with_router(|router, _| router.phase(upstream))
    }

    /// Returns the upstreams that this daemon no longer sends to, which it reports to the daemons
    /// of the new half.
    #[must_use]
    pub fn released(&self) -> Vec<UpstreamId> {
        self.inner.with_router(|router, _| router.released())
    }

    /// Returns the slot requests to send to the peers now, and the time to pass to
    /// [`Proxy::borrow`]. There must be only one outstanding request to a peer.
    #[must_use]
    pub fn slot_requests(&self) -> (Mono, Vec<(DaemonId, SlotRequest)>) {
        self.inner
            .with_router(|router, now| (now, router.slot_requests(now)))
    }

    /// Handles a slot request of a peer.
    #[must_use]
    pub fn lend(&self, request: &SlotRequest) -> SlotLoan {
        self.inner
            .with_router(|router, now| router.lend(request, now))
    }

    /// Adds the slots that a peer has lent in response to a request of [`Proxy::slot_requests`].
    pub fn borrow(&self, loan: &SlotLoan, requested_at: Mono) {
        self.inner
            .with_router(|router, now| router.borrow(loan, requested_at, now));
    }

    /// Returns the state for a dump on request.
    #[must_use]
    pub fn report(&self) -> RouterReport {
        let mut report = self.inner.with_router(|router, _| router.report());
        report.forwarding = self.inner.forwarding.load(Ordering::Acquire);
        report.cross_region_bytes = self.inner.cross_region_bytes.load(Ordering::Relaxed);
        report
    }
}

#[salvo::async_trait]
impl salvo::Handler for Proxy {
    async fn handle(
        &self,
        req: &mut salvo::Request,
        _depot: &mut salvo::Depot,
        res: &mut salvo::Response,
        _ctrl: &mut salvo::FlowCtrl,
    ) {
        let reply = self.inner.serve(req).await;
        res.status_code(reply.status);
        res.set_headers(reply.headers);
        res.replace_body(reply.body);
    }
}

impl Inner {
    /// Runs an operation on the router and delivers the decisions that result for waiting requests.
    fn with_router<T>(&self, operation: impl FnOnce(&mut Router, Mono) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = operation(&mut state.router, now);
        self.deliver(&mut state, now);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers decisions to the requests that wait for them. A slot granted to a request whose
    /// caller has just disconnected is given to the next one.
    fn deliver(&self, state: &mut State, now: Mono) {
        loop {
            let resolved = state.router.take_resolved();
            if resolved.is_empty() {
                return;
            }
            for one in resolved {
                let Some(waiter) = state.waiters.remove(&one.ticket) else {
                    continue;
                };
                if let Err(Decision::Send(grant)) = waiter.send(one.decision) {
                    state.router.finish(&grant, SendOutcome::Cancelled, now);
                }
            }
        }
    }
}
