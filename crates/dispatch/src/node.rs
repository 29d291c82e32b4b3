//! One host's process.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::book::JobState;
use job::id::JobId;
use job::plan::Plan;
use model::Clock;
use model::Map;
use model::Mono;
use tokio_util::sync::CancellationToken;

use crate::dependencies::Dependencies;
use crate::metrics::Metrics;
use crate::metrics::OutcomeLabel;
use crate::owner::Owner;
use crate::rows::OwnerRecord;

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host's name.
    pub host: String,
    /// Which life of the process; another figure is another life.
    pub incarnation: u64,
    /// Where other hosts reach it.
    pub peer_address: String,
    /// What its host can bear.
    pub capacity: HostCapacity,
}

impl Identity {
    /// Returns whether an owner was this process or an earlier life of it, which has ended. A process
    /// of the same name at another address may still live.
    #[must_use]
    pub fn is_own_record(&self, owner: &OwnerRecord) -> bool {
        owner.host == self.host && owner.address == self.peer_address
    }
}

/// What a host can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostCapacity {
    /// The processor time that it has, in cores.
    pub cores: f64,
    /// Its own link, in Mbit/s.
    pub link_mbps: f64,
}

/// Spans that hosts have to agree on or that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The lease that each call to an executor grants.
    pub lease: Duration,
    /// The longest lease that an executor grants.
    pub max_lease: Duration,
    /// How long an executor may take to stop a task.
    pub stop_timeout: Duration,
    /// How long this process may take to end after it was told to.
    pub shutdown_grace: Duration,
    /// How long callers may ask for a job after its end.
    pub retention: Duration,
}

/// One host's process: what it knows and whom it can ask.
pub struct Node {
    /// Who it is.
    pub identity: Identity,
    /// What lies outside.
    pub dependencies: Dependencies,
    /// Spans that it goes by.
    pub timing: Timing,
    /// Its monotonic clock.
    pub clock: Clock,
    /// The time of day in milliseconds since 1970.
    pub unix_ms: fn() -> u64,
    /// What is counted.
    pub metrics: Metrics,
    /// The document in force, once it is known.
    pub plan: RefCell<Option<Arc<Plan>>>,
    /// The owner, while this host is it.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Who owns the executors as far as is known.
    pub known_owner: RefCell<Option<OwnerRecord>>,
    /// The highest epoch that this host has heard of.
    pub highest_epoch: Cell<u64>,
    /// Since when no call to the store was answered.
    pub store_failing_since: Cell<Option<Mono>>,
    /// When the store answered last.
    pub store_answered_at: Cell<Mono>,
    /// The final states of jobs that callers asked for, and when they were learned. They change only
    /// when a name is used again, long after the job of that name ended.
    pub final_states: RefCell<Map<JobId, (JobState, Mono)>>,
    /// Cancelled when the process is told to end.
    pub draining: CancellationToken,
}

impl Node {
    /// Makes a node that knows nothing yet.
    #[must_use]
    pub fn new(
        identity: Identity,
        dependencies: Dependencies,
        timing: Timing,
        unix_ms: fn() -> u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            identity,
            dependencies,
            timing,
            clock: Clock::start(),
            unix_ms,
            metrics: Metrics::default(),
            plan: RefCell::new(None),
            owner: RefCell::new(None),
            known_owner: RefCell::new(None),
            highest_epoch: Cell::new(0),
            store_failing_since: Cell::new(None),
            store_answered_at: Cell::new(Mono::ZERO),
            final_states: RefCell::new(Map::default()),
            draining: CancellationToken::new(),
        })
    }

    /// Returns the time on this host's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Mono {
        self.clock.now()
    }

    /// Returns the document in force.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Returns the owner, while this host is it.
    #[must_use]
    pub fn owner(&self) -> Option<Rc<Owner>> {
        self.owner.borrow().clone()
    }

    /// Returns whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.plan.borrow().is_some()
    }

    /// Notes whether the store answered a call.
    pub fn record_store_result(&self, answered: bool) {
        if answered {
            self.store_answered_at.set(self.now());
        }
        let outcome = if answered { "answered" } else { "failed" };
        self.metrics
            .store_calls
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
        let since = self.store_failing_since.get();
        match (answered, since) {
            (true, Some(since)) => {
                self.store_failing_since.set(None);
                let detail = format!("after {} ms", self.now().since(since).as_millis());
                crate::events::dependency("store", true, &detail);
            }
            (false, None) => {
                self.store_failing_since.set(Some(self.now()));
                crate::events::dependency("store", false, "");
            }
            _ => {}
        }
    }

    /// Returns whether the last call to the store failed and nothing was heard of it for `span`.
    #[must_use]
    pub fn store_is_unavailable(&self, timeout: Duration) -> bool {
        self.store_failing_since.get().is_some()
            && self.now().since(self.store_answered_at.get()) > timeout
    }

    /// Starts the parts that run for as long as the process does.
    pub fn start(self: &Rc<Self>) {
        tokio::task::spawn_local(crate::document::follow(self.clone()));
        tokio::task::spawn_local(crate::election::run(self.clone()));
    }

    /// Ends in order: callers are sent elsewhere, and the executors are given up.
    pub async fn drain(self: &Rc<Self>) {
        self.draining.cancel();
        if let Some(owner) = self.owner() {
            owner.release().await;
        }
    }
}
