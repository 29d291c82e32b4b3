//! Which daemons are alive, decided from their heartbeat counters on our own clock.
//!
//! A counter that advances proves that its daemon ran; how the news came here does not matter. The
//! clocks of daemons are never compared. See `docs/MEMBERSHIP.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::HalfId;
use model::id::Incarnation;
use model::place::Place;
use serde::Serialize;

use crate::heartbeat::Heartbeat;

/// How long a daemon counts as alive after its heartbeat was last seen to advance.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a daemon that is gone stays in the view, so that late news of it are not taken for new.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// What does not change during one life of a daemon; it comes from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Profile {
    /// Which life this describes.
    pub incarnation: Incarnation,
    /// The half it works for.
    pub half: HalfId,
    /// Where it stands.
    pub place: Place,
    /// Where it takes requests.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Where it takes messages of other daemons.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
}

/// One daemon as this one sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// What the table says of it, once it was read.
    pub profile: Option<Profile>,
    /// Its highest heartbeat.
    pub incarnation: Incarnation,
    /// Counts its heartbeats.
    pub count: u64,
    /// The document that it has in force.
    pub doc: DocVersion,
    /// Whether it is draining.
    pub draining: bool,
    /// When its heartbeat was last seen to advance.
    pub advanced_at: Mono,
}

/// The view of all daemons.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    own: DaemonId,
    all: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Makes a view that knows only of the daemon itself.
    #[must_use]
    pub fn new(own: DaemonId, incarnation: Incarnation, profile: Profile, now: Mono) -> Self {
        let member = Member {
            profile: Some(profile),
            incarnation,
            count: 0,
            doc: DocVersion::default(),
            draining: false,
            advanced_at: now,
        };
        let all = BTreeMap::from([(own.clone(), member)]);
        Self { own, all }
    }

    /// Returns the name of this daemon.
    #[must_use]
    pub const fn own_id(&self) -> &DaemonId {
        &self.own
    }

    /// Advances this daemon's own heartbeat.
    pub fn tick(&mut self, doc: DocVersion, draining: bool, now: Mono) {
        if let Some(member) = self.all.get_mut(&self.own) {
            member.count += 1;
            member.doc = doc;
            member.draining = draining;
            member.advanced_at = now;
        }
    }

    /// Takes in a heartbeat that reached us by whatever way; returns whether it was news.
    ///
    /// A heartbeat of this daemon's own name is ignored: only a later life of it could have a higher
    /// one, and that one is told apart by the table.
    pub fn observe(&mut self, heartbeat: &Heartbeat, now: Mono) -> bool {
        if heartbeat.daemon == self.own {
            return false;
        }
        let Some(member) = self.all.get_mut(&heartbeat.daemon) else {
            self.all.insert(
                heartbeat.daemon.clone(),
                Member::from_heartbeat(heartbeat, now),
            );
            return true;
        };
        if heartbeat.ordering_key() <= (member.incarnation.0, member.count) {
            return false;
        }
        let profile = member.profile.take();
        *member = Member::from_heartbeat(heartbeat, now);
        member.profile = profile;
        true
    }

    /// Takes in what the table says of a daemon. It proves no life: the row may be old.
    pub fn set_profile(&mut self, daemon: &DaemonId, profile: Profile, now: Mono) {
        let member = self.all.entry(daemon.clone()).or_insert_with(|| Member {
            profile: None,
            incarnation: profile.incarnation,
            count: 0,
            doc: DocVersion::default(),
            draining: false,
            advanced_at: now,
        });
        if member
            .profile
            .as_ref()
            .is_none_or(|known| known.incarnation <= profile.incarnation)
        {
            member.profile = Some(profile);
        }
    }

    /// Forgets daemons that the table no longer names and whose heartbeat stopped long ago.
    pub fn retain(&mut self, named: impl Fn(&DaemonId) -> bool, now: Mono) {
        let own = self.own.clone();
        self.all.retain(|daemon, member| {
            *daemon == own || named(daemon) || now.since(member.advanced_at) < DEAD_MEMBER_RETENTION
        });
    }

    /// Returns whether a daemon's heartbeat advanced within [`MEMBER_TIMEOUT`].
    #[must_use]
    pub fn is_alive(&self, daemon: &DaemonId, now: Mono) -> bool {
        self.all
            .get(daemon)
            .is_some_and(|member| member.is_alive(now))
            || *daemon == self.own
    }

    /// Returns the living daemons with what is known of them, this one included, by name.
    pub fn alive(&self, now: Mono) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.all
            .iter()
            .filter(move |(daemon, member)| member.is_alive(now) || **daemon == self.own)
    }

    /// Returns all daemons that are known, alive or not, by name.
    pub fn all(&self) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.all.iter()
    }

    /// Returns one daemon.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.all.get(daemon)
    }

    /// Returns the heartbeats to tell others: this daemon's own, and those of living ones.
    #[must_use]
    pub fn heartbeats(&self, now: Mono) -> Vec<Heartbeat> {
        let heartbeat = |(daemon, member): (&DaemonId, &Member)| Heartbeat {
            daemon: daemon.clone(),
            incarnation: member.incarnation,
            count: member.count,
            doc: member.doc,
            draining: member.draining,
        };
        self.alive(now)
            .filter(|(_, member)| member.count > 0)
            .map(heartbeat)
            .collect()
    }
}

impl Member {
    fn from_heartbeat(heartbeat: &Heartbeat, now: Mono) -> Self {
        Self {
            profile: None,
            incarnation: heartbeat.incarnation,
            count: heartbeat.count,
            doc: heartbeat.doc,
            draining: heartbeat.draining,
            advanced_at: now,
        }
    }

    fn is_alive(&self, now: Mono) -> bool {
        now.since(self.advanced_at) < MEMBER_TIMEOUT
    }
}
