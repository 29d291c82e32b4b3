//! What the parts of one daemon share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::StatsdClient;
use conf::accept::Bounds;
use conf::accept::follower::Follower;
use conf::accept::follower::Serve;
use conf::accept::message::Digest;
use conf::accept::message::Heard;
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

/// The outside interfaces of one daemon.
#[derive(Clone)]
pub struct Outside {
    /// The transactional table, with this daemon's share of what it carries.
    pub table: Table,
    /// The share of the table, which changes as daemons come and go.
    pub pace: RateLimiter,
    /// The object store.
    pub objects: Objects,
    /// The list of hosts.
    pub hosts: Hosts,
    /// The workers' agents.
    pub workers: Workers,
}

/// How far a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It has no document in force yet and is not ready.
    Starting,
    /// It takes requests.
    Serving,
    /// It is not ready any more, but still takes what reaches it.
    Leaving,
    /// It takes nothing new and finishes what is in progress.
    Draining,
}

/// The document in force here.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its version.
    pub version: DocVersion,
    /// The operator's text.
    pub text: Arc<str>,
    /// Who sent it.
    pub by: String,
    /// The operator's id of the change.
    pub op: OpId,
    /// What the text says.
    pub document: Arc<Document>,
}

/// By what the data path was last told to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Served {
    /// Whether and by what.
    pub serve: Serve,
    /// The version of the document in force.
    pub version: DocVersion,
    /// The newest attempt to change it.
    pub ballot: RowVersion,
}

/// What this daemon sees of the others.
pub struct View {
    /// Which daemons are alive, by gossip.
    pub members: Members,
    /// The gossip state.
    pub gossip: Gossip,
    /// Whose heartbeat in the table stands still.
    pub watch: LivenessMonitor,
    /// The version of each daemon's heartbeat row, and when this daemon first saw it.
    pub rows: Map<DaemonId, (RowVersion, Mono)>,
    /// The digests of the daemons that asked this one for news, and when.
    pub heard: Map<DaemonId, (Digest, Mono)>,
    /// When the newest call that the table answered was sent.
    pub store_at: Option<Mono>,
}

/// What the parts share; one for each daemon of a process.
pub struct Cx {
    /// The settings.
    pub settings: Settings,
    /// The clock that decisions are given.
    pub clock: Clock,
    /// The seed of all random choices.
    pub seed: u64,
    /// The wall clock in milliseconds since 1970, for the age of rows only.
    pub unix_ms: fn() -> u64,
    /// The outside.
    pub outside: Outside,
    /// The connections to other daemons.
    pub links: PeerConnections,
    /// The metrics.
    pub metrics: StatsdClient,
    /// How the parts are doing.
    pub board: StatusBoard,
    /// How far this daemon is.
    pub stage: watch::Sender<Stage>,
    /// The document in force.
    pub doc: watch::Sender<Option<Arc<InForce>>>,
    /// Told when another daemon's summary has changed.
    pub news: Notify,
    /// The data path of requests.
    pub proxy: Proxy,
    /// The part that owns shards.
    pub shards: Shards,
    /// The newest list of hosts.
    pub hosts: watch::Sender<Arc<HostList>>,
    identity: Mutex<Owner>,
    follower: Mutex<Follower>,
    published: Mutex<Option<Served>>,
    writes: AtomicU64,
    view: Mutex<View>,
}

impl View {
    /// Returns for how long this daemon has seen a heartbeat row at this version.
    pub fn still_for(&mut self, daemon: &DaemonId, version: RowVersion, now: Mono) -> Duration {
        let seen = self.rows.entry(daemon.clone()).or_insert((version, now));
        if seen.0 != version {
            *seen = (version, now);
        }
        now.since(seen.1)
    }
}

impl Cx {
    /// Puts the shared state together.
    #[must_use]
    #[expect(
        clippy::too_many_arguments,
        reason = "each part of the state is made elsewhere"
    )]
    pub fn new(
        settings: Settings,
        clock: Clock,
        seed: u64,
        outside: Outside,
        metrics: StatsdClient,
        board: StatusBoard,
        identity: Owner,
        members: Members,
        proxy: Proxy,
    ) -> Self {
        let bounds = Bounds::default();
        let follower = Follower::new(identity.daemon.clone(), identity.incarnation, bounds);
        let gossip = Gossip::new(identity.incarnation, seed);
        let view = View {
            members,
            gossip,
            watch: LivenessMonitor::default(),
            rows: Map::default(),
            heard: Map::default(),
            store_at: None,
        };
        Self {
            settings,
            clock,
            seed,
            unix_ms: || 0,
            outside,
            links: PeerConnections::default(),
            metrics,
            board,
            stage: watch::Sender::new(Stage::Starting),
            doc: watch::Sender::new(None),
            news: Notify::new(),
            proxy,
            shards: Shards::default(),
            hosts: watch::Sender::new(Arc::default()),
            follower: Mutex::new(follower),
            published: Mutex::new(None),
            writes: AtomicU64::new(0),
            identity: Mutex::new(identity),
            view: Mutex::new(view),
        }
    }

    /// Sets the wall clock; without one every row counts as young.
    #[must_use]
    pub fn with_unix_ms(mut self, unix_ms: fn() -> u64) -> Self {
        self.unix_ms = unix_ms;
        self
    }

    /// Returns the name and the life of this daemon.
    #[must_use]
    pub fn identity(&self) -> Owner {
        lock(&self.identity).clone()
    }

    /// Starts a new life under the same name.
    pub fn set_identity(&self, identity: Owner) {
        self.follower().incarnation = identity.incarnation;
        *lock(&self.identity) = identity;
    }

    /// Returns what this daemon sees of the others, locked; hold it over no await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Returns what this daemon has of the document, locked; hold it over no await.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// Returns a number that no other write of this process's life has, for its id.
    #[must_use]
    pub fn next_write(&self) -> u64 {
        self.writes.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns by what the data path serves, locked, so that it is told in one order.
    pub(crate) fn published(&self) -> MutexGuard<'_, Option<Served>> {
        lock(&self.published)
    }

    /// Returns whether the balancer may send requests here: the data path was told that it serves, and
    /// it still may.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let told = *self.published();
        let told = told.is_some_and(|told| told.serve != Serve::Nothing);
        let serves = self.follower().serve(self.clock.now()) != Serve::Nothing;
        told && serves && *self.stage.borrow() == Stage::Serving
    }

    /// Returns the daemons that have asked this one for news, each at its latest.
    #[must_use]
    pub fn heard(&self) -> Vec<Heard> {
        let now = self.clock.now();
        let view = self.view();
        let heard = |(digest, at): &(Digest, Mono)| Heard {
            digest: digest.clone(),
            age: now.since(*at),
        };
        view.heard.values().map(heard).collect()
    }

    /// Notes that the table answered a call that was sent at `sent`.
    pub fn store_answered(&self, sent: Mono) {
        let mut view = self.view();
        view.store_at = view.store_at.max(Some(sent));
    }
}

/// Locks what a panicked holder may have left; every holder leaves it consistent at each step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
