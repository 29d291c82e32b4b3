//! Where an incarnation of an executor listens, as its own answers show.

use std::sync::Arc;

use model::Mono;

use super::Executor;

/// That a process listens at an address, as its answer to a poll shows. An entry in the executor list
/// shows nothing: it may come from another writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Presence {
    /// The address.
    pub address: Arc<str>,
    /// When the process started, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// When the poll was sent that it has answered.
    pub asked_at: Mono,
}

impl Presence {
    /// Returns whether the process of an executor at the same address has ended, because two processes
    /// cannot listen there at the same time.
    pub(crate) fn follows(&self, earlier: &Executor) -> bool {
        earlier.listing.started_unix_ms < self.started_unix_ms
            && earlier.answered_at < self.asked_at
    }
}

impl Executor {
    /// Records that the process which started at `started_unix_ms` has answered a poll that was sent at
    /// `asked_at`. A poll that was sent before the address changed may have gone to the former one.
    pub(crate) fn record_presence(&mut self, started_unix_ms: u64, asked_at: Mono) {
        if self.address_changed_at.is_some_and(|at| asked_at <= at) {
            return;
        }
        self.presence = Some(Presence {
            address: self.listing.address.clone(),
            started_unix_ms,
            asked_at,
        });
    }

    /// Returns the address of the current incarnation: where it has answered, or else as listed.
    pub(crate) fn address_of_incarnation(&self) -> &Arc<str> {
        let presence = self.presence.as_ref();
        presence
            .filter(|presence| presence.started_unix_ms == self.listing.started_unix_ms)
            .map_or(&self.listing.address, |presence| &presence.address)
    }
}
