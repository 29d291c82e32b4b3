//! Releases the executors: on shutdown, or to hand them over to a stronger host.

use std::sync::Arc;

use super::Owner;
use crate::events;
use crate::handover;
use crate::handover::Incumbent;

/// Why the executors are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseReason {
    /// The process shuts down.
    Shutdown,
    /// A much stronger host is ready.
    StrongerHost,
}

impl ReleaseReason {
    /// Returns the value that logs show.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Shutdown => "released on shutdown",
            Self::StrongerHost => "handed over to a stronger host",
        }
    }
}

/// A release of the executors.
#[derive(Clone, Debug)]
pub(super) struct Release {
    pub(super) reason: ReleaseReason,
    /// The host that is to claim first.
    pub(super) successor: Option<Arc<str>>,
}

impl Release {
    /// Returns the name of the host that is to claim first.
    pub(super) fn successor(&self) -> Option<String> {
        self.successor.as_deref().map(str::to_owned)
    }
}

impl Owner {
    /// Returns the release that is part of the next transaction. This is decided when the transaction
    /// is about to be sent, because the candidates may change while the store does not answer.
    pub(super) fn due_release(&self) -> Option<Release> {
        let now = self.now();
        let candidates = self.node.known_hosts.candidates(now);
        let store_round_trip = self.node.document.store_round_trip();
        if self.stopping.get() {
            let successor = store_round_trip.and_then(|round_trip| {
                handover::strongest_ready_host(round_trip, &candidates, |_, _| true)
            });
            return Some(Release {
                reason: ReleaseReason::Shutdown,
                successor: successor.map(|candidate| candidate.host.clone()),
            });
        }
        if self.node.draining.is_cancelled() || !self.node.handovers.borrow().is_due(now) {
            return None;
        }
        let incumbent = Incumbent {
            capacity: self.node.identity.capacity,
            owned_for: now.since(self.owned_since),
            unconfirmed_for: now.since(self.confirmed_at.get()),
            store_round_trip: store_round_trip?,
        };
        let successor = handover::stronger_host(&incumbent, &candidates)?;
        Some(Release {
            reason: ReleaseReason::StrongerHost,
            successor: Some(successor.host.clone()),
        })
    }

    /// Stops all messages to executors, before the transaction that records the release is sent.
    pub(super) fn begin_release(&self, release: &Release) {
        self.releasing.set(true);
        self.relays.close();
        if release.reason == ReleaseReason::StrongerHost
            && let Some(successor) = &release.successor
        {
            events::handover(self.epoch, successor);
            let mut handovers = self.node.handovers.borrow_mut();
            handovers.record(self.epoch, successor.clone(), self.now());
        }
    }
}
