//! Determines which daemons are alive, from their heartbeat counters and the local clock.
//!
//! A counter that advances proves that its daemon was running, regardless of how the heartbeat was
//! received. The clocks of different daemons are never compared. See `docs/MEMBERSHIP.md`.

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

/// How long a daemon is considered alive after the last advance of its heartbeat.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a dead daemon is retained, so that a delayed heartbeat of it is not taken for a new
/// one.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// The properties of a daemon that are constant during an incarnation, as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Profile {
    /// The incarnation to which the properties belong.
    pub incarnation: Incarnation,
    /// The half for which the daemon works.
    pub half: HalfId,
    /// The region and data centre of the daemon.
    pub place: Place,
    /// The address on which it accepts requests of callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// The address on which it accepts calls of other daemons.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
}

/// The state of a daemon as known to this one.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// The properties from the table, or `None` before its row was read.
    pub profile: Option<Profile>,
    /// The incarnation of its highest heartbeat, or of its row before the first heartbeat.
    pub incarnation: Incarnation,
    /// The counter of its highest heartbeat, or 0 before the first one.
    pub count: u64,
    /// The version of its active document according to that heartbeat.
    pub doc: DocVersion,
    /// Whether it is draining according to that heartbeat.
    pub draining: bool,
    /// When its heartbeat last advanced, on the local clock.
    pub advanced_at: Mono,
}

/// All daemons known to this one.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    own: DaemonId,
    all: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Creates a member list that contains only this daemon.
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

    /// Returns the id of this daemon.
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

    /// Applies a received heartbeat, and returns whether it advanced the heartbeat of its daemon.
    ///
    /// A heartbeat with the id of this daemon is ignored: only a later incarnation could have a
    /// higher one, and this daemon detects that by its row in the table.
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

    /// Sets the properties of a daemon from its row in the table.
    ///
    /// This does not make the daemon alive, because the row may be old. Properties of an earlier
    /// incarnation than those already set are ignored.
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

    /// Removes dead daemons that have no row in the table any more, after a retention period.
    ///
    /// `has_row` returns whether the table has a row for a daemon.
    pub fn retain(&mut self, has_row: impl Fn(&DaemonId) -> bool, now: Mono) {
        let own = self.own.clone();
        self.all.retain(|daemon, member| {
            *daemon == own
                || has_row(daemon)
                || now.since(member.advanced_at) < DEAD_MEMBER_RETENTION
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

    /// Returns the daemons that are alive, including this one, ordered by id.
    pub fn alive(&self, now: Mono) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.all
            .iter()
            .filter(move |(daemon, member)| member.is_alive(now) || **daemon == self.own)
    }

    /// Returns all known daemons, alive or not, ordered by id.
    pub fn all(&self) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.all.iter()
    }

    /// Returns the state of a daemon, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.all.get(daemon)
    }

    /// Returns the heartbeats to send to peers: those of all daemons that are alive, including this
    /// one.
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
