//! The state that the parts of a daemon share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::StatsdClient;
use conf::accept::Timeouts;
use conf::accept::follower::Follower;
use conf::accept::follower::ServingMode;
use conf::accept::message::Contact;
use conf::accept::message::Digest;
use conf::doc::Document;
use conf::settings::Settings;
use lease::liveness::LivenessMonitor;
use lease::record::Owner;
use model::Clock;
use model::Map;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::OpId;
use model::id::RowVersion;
use peer::connections::PeerConnections;
use peer::gossip::Gossip;
use peer::members::Members;
use plat::hosts::HostList;
use plat::hosts::Hosts;
use plat::object::Objects;
use plat::rate_limit::RateLimiter;
use plat::table::Table;
use plat::worker::Workers;
use route::Proxy;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::shards::Shards;
use crate::supervisor::StatusBoard;

/// Clients of the platform's interfaces.
#[derive(Clone)]
pub struct PlatformClients {
    /// The transactional table, limited to this daemon's share of its capacity.
    pub table: Table,
    /// The rate limiter of the table; the share changes as daemons join and leave.
    pub rate_limiter: RateLimiter,
    /// The object store for checkpoints.
    pub objects: Objects,
    /// The list of hosts and executors.
    pub hosts: Hosts,
    /// The agents that run on the workers.
    pub workers: Workers,
}

/// The stage of a daemon's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// No document has been in force yet; not ready.
    Starting,
    /// It accepts requests and is ready.
    Serving,
    /// It is no longer ready, but still accepts requests that reach it.
    Leaving,
    /// It accepts nothing new and completes what is in progress.
    Draining,
}

/// The document in force at this daemon.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// Version of the document.
    pub version: DocVersion,
    /// The text as the operator sent it.
    pub text: Arc<str>,
    /// Name of the operator who sent it.
    pub by: String,
    /// Identifier that the operator gave the change.
    pub op: OpId,
    /// The parsed text.
    pub document: Arc<Document>,
}

/// The state last published to the data path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedState {
    /// Whether the daemon may serve, and by which document.
    pub serve: ServingMode,
    /// The version of the document in force.
    pub version: DocVersion,
    /// Ballot of the newest attempt to change the document.
    pub ballot: RowVersion,
}

/// This daemon's view of the other daemons.
pub struct ClusterView {
    /// The daemons that are alive according to gossip.
    pub members: Members,
    /// Summaries received from and sent to the other daemons.
    pub gossip: Gossip,
    /// Tracks for how long each heartbeat row in the table has not changed.
    pub liveness: LivenessMonitor,
    /// Version of each daemon's heartbeat row, and when this daemon first saw that version.
    pub heartbeat_rows: Map<DaemonId, (RowVersion, Mono)>,
    /// The last document digest received from each daemon, and when it arrived.
    pub contacts: Map<DaemonId, (Digest, Mono)>,
    /// Send time of the latest call that the table answered.
    pub store_answered_at: Option<Mono>,
}

/// The state that the parts share; one instance for each daemon of a process.
pub struct DaemonContext {
    /// The settings the daemon was started with.
    pub settings: Settings,
    /// The monotonic clock for all decisions.
    pub clock: Clock,
    /// The seed for all random choices.
    pub seed: u64,
    /// The wall clock, in milliseconds since 1970; used only for the age of rows.
    pub unix_ms: fn() -> u64,
    /// Clients of the platform.
    pub platform: PlatformClients,
    /// Connections to the other daemons.
    pub links: PeerConnections,
    /// The client that sends metrics.
    pub metrics: StatsdClient,
    /// Status of the parts of all supervisors.
    pub board: StatusBoard,
    /// The lifecycle stage of this daemon.
    pub stage: watch::Sender<Stage>,
    /// The document in force; `None` until there is one.
    pub doc: watch::Sender<Option<Arc<ActiveDocument>>>,
    /// Notified when a summary of another daemon has arrived.
    pub summary_changed: Notify,
    /// The proxy on the data path of requests.
    pub proxy: Proxy,
    /// Handle to the part that owns shards.
    pub shards: Shards,
    /// The newest host list.
    pub hosts: watch::Sender<Arc<HostList>>,
    identity: Mutex<Owner>,
    follower: Mutex<Follower>,
    published: Mutex<Option<PublishedState>>,
    write_count: AtomicU64,
    view: Mutex<ClusterView>,
}

impl ClusterView {
    /// Returns for how long a heartbeat row has been at this version, as observed by this daemon.
    pub fn unchanged_for(&mut self, daemon: &DaemonId, version: RowVersion, now: Mono) -> Duration {
        let last_seen = self
            .heartbeat_rows
            .entry(daemon.clone())
            .or_insert((version, now));
        if last_seen.0 != version {
            *last_seen = (version, now);
        }
        now.since(last_seen.1)
    }
}

impl DaemonContext {
    /// Creates the shared state.
    #[must_use]
    #[expect(
        clippy::too_many_arguments,
        reason = "each part of the state is made elsewhere"
    )]
    pub fn new(
        settings: Settings,
        clock: Clock,
        seed: u64,
        platform: PlatformClients,
        metrics: StatsdClient,
        board: StatusBoard,
        identity: Owner,
        members: Members,
        proxy: Proxy,
    ) -> Self {
        let timeouts = Timeouts::default();
        let follower = Follower::new(identity.daemon.clone(), identity.incarnation, timeouts);
        let gossip = Gossip::new(identity.incarnation, seed);
        let view = ClusterView {
            members,
            gossip,
            liveness: LivenessMonitor::default(),
            heartbeat_rows: Map::default(),
            contacts: Map::default(),
            store_answered_at: None,
        };
        Self {
            settings,
            clock,
            seed,
            unix_ms: || 0,
            platform,
            links: PeerConnections::default(),
            metrics,
            board,
            stage: watch::Sender::new(Stage::Starting),
            doc: watch::Sender::new(None),
            summary_changed: Notify::new(),
            proxy,
            shards: Shards::default(),
            hosts: watch::Sender::new(Arc::default()),
            follower: Mutex::new(follower),
            published: Mutex::new(None),
            write_count: AtomicU64::new(0),
            identity: Mutex::new(identity),
            view: Mutex::new(view),
        }
    }

    /// Sets the wall clock; without one, every row counts as new.
    #[must_use]
    pub fn with_unix_ms(mut self, unix_ms: fn() -> u64) -> Self {
        self.unix_ms = unix_ms;
        self
    }

    /// Returns the name and the incarnation of this daemon.
    #[must_use]
    pub fn identity(&self) -> Owner {
        lock(&self.identity).clone()
    }

    /// Switches to a new incarnation under the same name.
    pub fn set_identity(&self, identity: Owner) {
        self.follower().incarnation = identity.incarnation;
        *lock(&self.identity) = identity;
    }

    /// Locks the view of the other daemons; must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, ClusterView> {
        lock(&self.view)
    }

    /// Locks the document follower; must not be held across an await.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// Returns a number that is unique among the writes of this process, for use in operation ids.
    #[must_use]
    pub fn next_write_number(&self) -> u64 {
        self.write_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Locks the state published to the data path, so that updates reach it in order.
    pub(crate) fn published(&self) -> MutexGuard<'_, Option<PublishedState>> {
        lock(&self.published)
    }

    /// Returns whether the balancer may send requests here: serving was published to the data path
    /// and is still permitted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let published = *self.published();
        let published = published.is_some_and(|published| published.serve != ServingMode::Nothing);
        let serves = self.follower().serving_mode(self.clock.now()) != ServingMode::Nothing;
        published && serves && *self.stage.borrow() == Stage::Serving
    }

    /// Returns the latest digest received from each daemon, with its age.
    #[must_use]
    pub fn contacts(&self) -> Vec<Contact> {
        let now = self.clock.now();
        let view = self.view();
        let contact = |(digest, at): &(Digest, Mono)| Contact {
            digest: digest.clone(),
            age: now.since(*at),
        };
        view.contacts.values().map(contact).collect()
    }

    /// Records that the table answered a call that was sent at `sent`.
    pub fn record_store_response(&self, sent: Mono) {
        let mut view = self.view();
        view.store_answered_at = view.store_answered_at.max(Some(sent));
    }
}

/// Locks a mutex and ignores poisoning: every holder leaves the value consistent at each step, so a
/// panic does no harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
