//! The follower in every daemon: tracks the document in force, the staged one and the serving
//! mode.
//!
//! The state is plain data. Its invariant: a daemon that may serve knows of every accepted document
//! that it is in force, or at least that it is staged. `docs/CONFIGURATION.md` shows why it holds.

use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;

use crate::accept::Timeouts;
use crate::accept::message::Digest;
use crate::accept::message::DocumentDelta;
use crate::accept::row::AcceptedDocument;
use crate::accept::row::StagedDocument;
use crate::accept::row::View;
use crate::accept::row::version_of;

/// Which part of the configuration a daemon may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServingMode {
    /// Nothing: the daemon has no document yet, or has reached neither the store nor a serving peer
    /// within [`Timeouts::isolation`].
    Nothing,
    /// What the document in force and the staged one have in common, because the daemon is in doubt
    /// which of them is in force; see [`crate::diff::intersection`].
    Common,
    /// All of the document in force.
    InForce,
}

/// An input of a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rows were read from the table. The daemon writes its own heartbeat row before it reads.
    Polled {
        /// When the write of the heartbeat row was sent.
        sent: Mono,
        /// The contents of the rows.
        view: View,
    },
    /// A peer answered the digest of this daemon.
    Answered {
        /// When the digest was sent.
        sent: Mono,
        /// What the peer knows and this daemon lacks.
        delta: DocumentDelta,
    },
    /// A proposer pushed a document to stage. The daemon did not ask for it, so it is no evidence
    /// that others receive this daemon's messages, and it does not extend the permission to serve.
    Pushed {
        /// The staged document, its ballot, and what the proposer knows of the document in force.
        delta: DocumentDelta,
    },
    /// A proposer announced that the document staged under the ballot is in force.
    Committed {
        /// The ballot under which the document was staged.
        ballot: RowVersion,
    },
    /// The proposer announced that it will never commit the document staged under the ballot.
    Abandoned {
        /// The ballot under which the document was staged.
        ballot: RowVersion,
    },
    /// A periodic timer event.
    Tick,
}

/// An effect that a follower requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Put this document into force in the daemon.
    Apply(AcceptedDocument),
    /// Clear the staged document, whose proposer has probably failed, with
    /// [`crate::accept::row::Write::Clear`].
    Clear {
        /// The ballot of the staged document.
        ballot: RowVersion,
    },
}

/// The state of a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    /// The name of the daemon.
    pub daemon: DaemonId,
    /// The current incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The timeouts of the protocol.
    pub timeouts: Timeouts,
    /// The document in force in this daemon; `None` until it has received one.
    pub current: Option<AcceptedDocument>,
    /// The highest ballot seen so far.
    pub ballot: RowVersion,
    /// When `ballot` was first seen.
    pub ballot_seen_at: Mono,
    /// The document staged under `ballot`, until it is committed or abandoned.
    pub staged: Option<StagedDocument>,
    /// The latest time at which `current` is confirmed to have been the latest accepted document.
    pub confirmed_at: Mono,
    /// When the daemon last reached the store or a serving peer; `None` until its first read of the
    /// table.
    pub contact_at: Option<Mono>,
}

impl Follower {
    /// Creates the follower of a daemon that has just started.
    #[must_use]
    pub fn new(daemon: DaemonId, incarnation: Incarnation, timeouts: Timeouts) -> Self {
        Self {
            daemon,
            incarnation,
            timeouts,
            current: None,
            ballot: RowVersion::default(),
            ballot_seen_at: Mono::ZERO,
            staged: None,
            confirmed_at: Mono::ZERO,
            contact_at: None,
        }
    }

    /// Returns the version in force, or 0 before the first document.
    #[must_use]
    pub fn version(&self) -> DocVersion {
        version_of(self.current.as_ref())
    }

    /// Returns the digest that the daemon sends to others.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            ballot: self.ballot,
            version: self.version(),
        }
    }

    /// Returns what a peer lacks according to its digest.
    #[must_use]
    pub fn delta(&self, peer: &Digest, now: Mono) -> DocumentDelta {
        let needed = peer.version < self.version();
        let behind = peer.ballot < self.ballot;
        DocumentDelta {
            ballot: self.ballot,
            pending: self.staged.is_some(),
            staged: self.staged.clone().filter(|_| behind),
            version: self.version(),
            current: self.current.clone().filter(|_| needed),
            age: now.since(self.confirmed_at),
            serving: self.serving_mode(now) != ServingMode::Nothing,
        }
    }

    /// Returns what the daemon may serve at the time `now`.
    #[must_use]
    pub fn serving_mode(&self, now: Mono) -> ServingMode {
        let reached = self
            .contact_at
            .is_some_and(|at| now <= at.after(self.timeouts.isolation));
        if !reached || self.current.is_none() {
            return ServingMode::Nothing;
        }
        let in_doubt = now > self.confirmed_at.after(self.timeouts.in_doubt);
        if self.staged.is_some() && in_doubt {
            return ServingMode::Common;
        }
        ServingMode::InForce
    }

    /// Handles an event and returns the effects that it requires.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Polled { sent, view } => self.on_polled(sent, view, now, &mut actions),
            Event::Answered { sent, delta } => self.on_answered(sent, delta, now, &mut actions),
            Event::Pushed { delta } => {
                self.merge(self.confirmed_at, delta, now, &mut actions);
            }
            Event::Committed { ballot } => self.on_committed(ballot, now, &mut actions),
            Event::Abandoned { ballot } => {
                if ballot == self.ballot {
                    self.staged = None;
                }
            }
            Event::Tick => {}
        }
        actions
    }

    fn on_polled(&mut self, sent: Mono, view: View, now: Mono, actions: &mut Vec<Action>) {
        let ballot = view.ballot;
        let delta = DocumentDelta {
            ballot,
            pending: view.staged.is_some(),
            staged: view.staged.clone(),
            version: view.version(),
            current: view.current,
            age: Duration::ZERO,
            serving: true,
        };
        if self.merge(sent, delta, now, actions) {
            self.contact_at = self.contact_at.max(Some(sent));
        }
        let expired = now.since(self.ballot_seen_at) > self.timeouts.stage;
        if view.staged.is_some() && ballot == self.ballot && expired {
            actions.push(Action::Clear { ballot });
        }
    }

    fn on_answered(
        &mut self,
        sent: Mono,
        delta: DocumentDelta,
        now: Mono,
        actions: &mut Vec<Action>,
    ) {
        let serving = delta.serving;
        let merged = self.merge(subtract_age(sent, delta.age), delta, now, actions);
        let joined = self.contact_at.is_some();
        if merged && serving && joined {
            self.contact_at = self.contact_at.max(Some(sent));
        }
    }

    fn on_committed(&mut self, ballot: RowVersion, now: Mono, actions: &mut Vec<Action>) {
        if ballot != self.ballot {
            return;
        }
        let Some(staged) = self.staged.take() else {
            return;
        };
        self.record_ballot(ballot.next(), now);
        let accepted = staged.to_accepted(self.current.as_ref());
        self.apply(accepted, self.confirmed_at, actions);
    }

    /// Merges what is newer, and returns whether the daemon now has all that the delta refers to.
    ///
    /// `confirmed` is a time at which the version of the delta was certainly the latest. A pushed
    /// message may have been delayed for any time, so it confirms nothing.
    fn merge(
        &mut self,
        confirmed: Mono,
        delta: DocumentDelta,
        now: Mono,
        actions: &mut Vec<Action>,
    ) -> bool {
        let missing = delta.pending && delta.staged.is_none();
        if delta.ballot > self.ballot && missing {
            return false;
        }
        if delta.version > self.version() {
            let Some(current) = delta.current else {
                return false;
            };
            self.apply(current, confirmed, actions);
        } else if delta.version == self.version() {
            self.confirmed_at = self.confirmed_at.max(confirmed);
        }
        if delta.ballot > self.ballot {
            self.record_ballot(delta.ballot, now);
            self.staged = delta.staged;
        } else if delta.ballot == self.ballot && !delta.pending {
            self.staged = None;
        }
        let version = self.version();
        self.staged.take_if(|staged| staged.version <= version);
        true
    }

    fn record_ballot(&mut self, ballot: RowVersion, now: Mono) {
        self.ballot = ballot;
        self.ballot_seen_at = now;
    }

    /// Puts a document into force if it is newer than the current one: versions never decrease.
    fn apply(&mut self, current: AcceptedDocument, confirmed: Mono, actions: &mut Vec<Action>) {
        if current.version <= self.version() {
            return;
        }
        self.confirmed_at = confirmed;
        self.current = Some(current.clone());
        actions.push(Action::Apply(current));
    }
}

fn subtract_age(at: Mono, age: Duration) -> Mono {
    Mono(at.0.saturating_sub(model::time::millis(age)))
}
