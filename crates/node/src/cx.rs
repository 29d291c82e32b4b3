//! What the parts of one daemon share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cadence::StatsdClient;
use conf::settings::Settings;
use lease::record::Owner;
use lease::watch::Watch;
use model::Clock;
use model::Mono;
use model::id::DocVersion;
use peer::gossip::Gossip;
use peer::links::Links;
use peer::members::Members;
use plat::hosts::HostList;
use plat::hosts::Hosts;
use plat::object::Objects;
use plat::table::Table;
use plat::worker::Workers;
use tokio::sync::watch;

use crate::supervisor::StatusBoard;

/// The outside interfaces of one daemon.
#[derive(Clone)]
pub struct Outside {
    /// The transactional table.
    pub table: Table,
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

/// What this daemon sees of the others.
pub struct View {
    /// Which daemons are alive, by gossip.
    pub members: Members,
    /// The gossip state.
    pub gossip: Gossip,
    /// Whose heartbeat in the table stands still.
    pub watch: Watch,
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
    /// The outside.
    pub outside: Outside,
    /// The connections to other daemons.
    pub links: Links,
    /// The metrics.
    pub metrics: StatsdClient,
    /// How the parts are doing.
    pub board: StatusBoard,
    /// How far this daemon is.
    pub stage: watch::Sender<Stage>,
    /// The newest list of hosts.
    pub hosts: watch::Sender<Arc<HostList>>,
    identity: Mutex<Owner>,
    view: Mutex<View>,
}

impl Cx {
    /// Puts the shared state together.
    #[must_use]
    #[expect(clippy::too_many_arguments, reason = "each part of the state is made elsewhere")]
    pub fn new(
        settings: Settings,
        clock: Clock,
        seed: u64,
        outside: Outside,
        metrics: StatsdClient,
        board: StatusBoard,
        identity: Owner,
        members: Members,
    ) -> Self {
        let gossip = Gossip::new(identity.incarnation, seed);
        let view = View { members, gossip, watch: Watch::default(), store_at: None };
        Self {
            settings,
            clock,
            seed,
            outside,
            links: Links::default(),
            metrics,
            board,
            stage: watch::Sender::new(Stage::Starting),
            hosts: watch::Sender::new(Arc::default()),
            identity: Mutex::new(identity),
            view: Mutex::new(view),
        }
    }

    /// Returns the name and the life of this daemon.
    #[must_use]
    pub fn identity(&self) -> Owner {
        lock(&self.identity).clone()
    }

    /// Starts a new life under the same name.
    pub fn set_identity(&self, identity: Owner) {
        *lock(&self.identity) = identity;
    }

    /// Returns what this daemon sees of the others, locked; hold it over no await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Notes that the table answered a call that was sent at `sent`.
    pub fn store_answered(&self, sent: Mono) {
        let mut view = self.view();
        view.store_at = view.store_at.max(Some(sent));
    }

    /// Returns the document version that a daemon was last heard to have in force.
    #[must_use]
    pub fn doc_of(&self, daemon: &model::id::DaemonId) -> DocVersion {
        self.view().members.get(daemon).map_or(DocVersion(0), |member| member.doc)
    }
}

/// Locks what a panicked holder may have left; every holder leaves it consistent at each step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
