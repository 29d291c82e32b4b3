//! The process on one host.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::plan::Plan;
use job::scheduler::JobState;
use job::warmup::WarmupLimits;
use link::gate::Gate;
use model::Clock;
use model::Map;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::admission::EstimateReport;
use crate::admission::HostAdmission;
use crate::dependencies::Dependencies;
use crate::document::DocumentState;
use crate::handover::Handovers;
use crate::hosts::HostInfo;
use crate::hosts::HostReport;
use crate::hosts::HostStatus;
use crate::hosts::KnownHosts;
use crate::metrics::Metrics;
use crate::metrics::OutcomeLabel;
use crate::owner::Owner;
use crate::relay::server::CurrentSession;
use crate::relay::transport::MAX_FRAME_BYTES;
use crate::rows::OwnerRecord;
use crate::store_call::StoreCall;
use crate::supervise::restart_after_panic;
use crate::tombstones::WriteBudget;

/// A host is ready to own the executors only if the store has answered within this time. Calls that
/// follow the document wait for changes for one second.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_600);
/// How long a host does not report that it is ready after a part of its owner panicked.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(60);

/// The identity of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the process; it differs after each restart.
    pub incarnation: u64,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Address at which the process listens for its peers.
    pub peer_address: String,
    /// Address at which the process accepts calls to relay.
    pub relay_address: Arc<str>,
    /// Capacity of the host.
    pub capacity: HostCapacity,
}

impl Identity {
    /// Returns what the host reports about itself to the owner.
    #[must_use]
    pub fn info(&self) -> HostInfo {
        HostInfo {
            host: self.host.as_str().into(),
            relay_address: self.relay_address.clone(),
            data_centre: self.data_centre.clone(),
            capacity: self.capacity,
        }
    }

    /// Returns whether an owner record was written by this process or by an earlier incarnation of
    /// it, which has ended. A process with the same host name at another address may still be
    /// running.
    #[must_use]
    pub fn is_own_record(&self, owner: &OwnerRecord) -> bool {
        owner.host == self.host && owner.address == self.peer_address
    }
}

/// The capacity of a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostCapacity {
    /// Available processor time, in cores.
    pub cores: f64,
    /// Speed of the host's own link, in Mbit/s.
    pub link_mbps: f64,
}

/// Durations that hosts have to agree on or that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Duration of the lease that each call to an executor grants.
    pub lease: Duration,
    /// Longest lease that executors accept.
    pub max_lease: Duration,
    /// Time limit for an executor to stop a task.
    pub stop_timeout: Duration,
    /// How many times as long a task takes away from its data, or a gang in more than one rack; 1 if
    /// places make no difference.
    pub remote_slowdown: f64,
    /// Time that the process has for a graceful shutdown.
    pub shutdown_grace: Duration,
    /// How long callers can query a job after its end.
    pub retention: Duration,
    /// How much work cold executors get, or `None` if they are treated like warm ones.
    pub warmup: Option<WarmupLimits>,
}

/// When a call was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendTime {
    /// The time on the monotonic clock.
    pub mono: Mono,
    /// The time on a clock that counts the time for which the machine was suspended.
    pub boot: Mono,
}

/// The state of a process and its connections to external services.
pub struct Node {
    /// Identity of the process.
    pub identity: Identity,
    /// External services.
    pub dependencies: Dependencies,
    /// Durations of leases, of a stop, of a shutdown and of the retention of ended jobs.
    pub timing: Timing,
    /// Monotonic clock of the host.
    pub clock: Clock,
    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: fn() -> u64,
    /// Returns the time for which the machine has been suspended, in milliseconds, which the monotonic
    /// clock does not count.
    pub suspended_ms: fn() -> u64,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The document in force, or `None` until one has been read.
    pub plan: RefCell<Option<Arc<Plan>>>,
    /// The owner, while this host owns the executors.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// The last owner record that this host has read or written.
    pub known_owner: RefCell<Option<OwnerRecord>>,
    /// The hosts that ping this one.
    pub known_hosts: KnownHosts,
    /// The hand-overs of the ownership by this process.
    pub handovers: RefCell<Handovers>,
    /// When a part of the owner last panicked in this process.
    pub owner_failed_at: Cell<Option<Mono>>,
    /// The owner for which this host relays calls.
    pub relay_session: CurrentSession,
    /// The highest epoch known to this host.
    pub highest_epoch: Cell<u64>,
    /// Time of the first failure since the store last answered; `None` while it answers.
    pub store_failing_since: Cell<Option<Mono>>,
    /// Time of the last answer of the store.
    pub store_answered_at: Cell<Mono>,
    /// Cache of the final states of jobs that callers asked for, with the time of the query. A
    /// cached state becomes outdated only if an id is reused, long after the job with that id
    /// ended.
    pub final_states: RefCell<Map<JobId, (JobState, Mono)>>,
    /// What this host knows about admission.
    pub admission: HostAdmission,
    /// Limits the cancellations of unknown jobs that this host stores.
    pub tombstone_budget: Cell<WriteBudget>,
    /// What this host knows about the document besides its contents.
    pub document: DocumentState,
    /// The connections and the memory that clients of this process take.
    pub gate: Gate,
    /// Maximum size of a frame that this host accepts as a relay, in bytes.
    pub max_relay_frame_bytes: Cell<usize>,
    /// Cancelled when the process begins to shut down.
    pub draining: CancellationToken,
}

impl Node {
    /// Creates a node without a document and without an owner.
    #[must_use]
    pub fn new(
        identity: Identity,
        dependencies: Dependencies,
        timing: Timing,
        unix_ms: fn() -> u64,
        suspended_ms: fn() -> u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            identity,
            dependencies,
            timing,
            clock: Clock::start(),
            unix_ms,
            suspended_ms,
            metrics: Metrics::default(),
            plan: RefCell::new(None),
            owner: RefCell::new(None),
            known_owner: RefCell::new(None),
            known_hosts: KnownHosts::default(),
            handovers: RefCell::default(),
            owner_failed_at: Cell::new(None),
            relay_session: CurrentSession::default(),
            highest_epoch: Cell::new(0),
            store_failing_since: Cell::new(None),
            store_answered_at: Cell::new(Mono::ZERO),
            final_states: RefCell::new(Map::default()),
            admission: HostAdmission::default(),
            tombstone_budget: Cell::default(),
            document: DocumentState::default(),
            gate: Gate::default(),
            max_relay_frame_bytes: Cell::new(MAX_FRAME_BYTES),
            draining: CancellationToken::new(),
        })
    }

    /// Returns the time on this host's monotonic clock.
    #[must_use]
    pub fn now(&self) -> Mono {
        self.clock.now()
    }

    /// Returns the time since the process started in milliseconds, with the time for which the machine
    /// was suspended.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        self.now().0 + (self.suspended_ms)()
    }

    /// Returns the time on a clock that counts the time for which the machine was suspended.
    #[must_use]
    pub fn boot_time(&self) -> Mono {
        Mono(self.uptime_ms())
    }

    /// Returns the present time, at which a call is sent.
    #[must_use]
    pub fn send_time(&self) -> SendTime {
        SendTime {
            mono: self.now(),
            boot: self.boot_time(),
        }
    }

    /// Returns the document in force.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Returns the owner, while this host owns the executors.
    #[must_use]
    pub fn owner(&self) -> Option<Rc<Owner>> {
        self.owner.borrow().clone()
    }

    /// Returns the estimate by which this host refuses jobs, or `None` if it accepts all.
    #[must_use]
    pub fn admission_estimate(&self) -> Option<EstimateReport> {
        if let Some(owner) = self.owner() {
            return owner.admission_estimate();
        }
        let (estimate, age) = self.admission.estimate(self.now())?;
        Some(EstimateReport {
            estimate,
            age_ms: model::time::millis(age),
        })
    }

    /// Returns whether callers should be routed to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.is_cancelled() && self.plan.borrow().is_some()
    }

    /// Returns what this host sends with each ping.
    #[must_use]
    pub fn report(&self) -> HostReport {
        let round_trip = self.document.store_round_trip();
        HostReport {
            info: self.identity.info(),
            status: HostStatus {
                ready: round_trip.is_some() && self.could_own(),
                store_round_trip_ms: round_trip.map_or(0, model::time::millis),
            },
        }
    }

    /// Returns whether this host could own the executors.
    fn could_own(&self) -> bool {
        let now = self.now();
        let store_answers = self.store_failing_since.get().is_none()
            && now.since(self.store_answered_at.get()) <= MAX_STORE_AGE;
        let failed_at = self.owner_failed_at.get();
        let has_failed = failed_at.is_some_and(|at| now.since(at) < PAUSE_AFTER_FAILURE);
        self.is_ready() && store_answers && !has_failed
    }

    /// Records whether the store answered a call, and logs when it becomes unavailable, with the
    /// call that failed, or available.
    pub fn record_store_result(&self, call: StoreCall, answered: bool) {
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
                crate::events::dependency("store", false, call.as_str());
            }
            _ => {}
        }
    }

    /// Returns whether the last call to the store failed and the store has not answered for
    /// `timeout`.
    #[must_use]
    pub fn store_is_unavailable(&self, timeout: Duration) -> bool {
        self.store_failing_since.get().is_some()
            && self.now().since(self.store_answered_at.get()) > timeout
    }

    /// Starts the background tasks that run until the process ends.
    pub fn start(self: &Rc<Self>) {
        let node = self.clone();
        let document = move || crate::document::follow(node.clone());
        tokio::task::spawn_local(restart_after_panic("document", document));
        let node = self.clone();
        let probe = move || crate::document::probe_store(node.clone());
        tokio::task::spawn_local(restart_after_panic("store_probe", probe));
        let node = self.clone();
        let election = move || crate::election::run(node.clone());
        tokio::task::spawn_local(restart_after_panic("election", election));
    }

    /// Shuts down gracefully: the host reports that it is not ready and releases the executors.
    pub async fn drain(self: &Rc<Self>) {
        self.draining.cancel();
        if let Some(owner) = self.owner() {
            owner.release().await;
        }
    }
}
