//! Entries in the list of executors that name none which could be used.

use job::fleet::Listing;
use model::Map;
use model::Set;

use super::Owner;
use crate::dependencies::RejectedEntry;
use crate::events;

/// For how many entries the owner remembers what it has logged. Further ones are only counted.
const MAX_LOGGED_ENTRIES: usize = 1_000;
/// How many reasons are logged for an entry. A reason may repeat what the entry contains, which may change
/// with each write.
const MAX_LOGGED_REASONS: usize = 4;

/// How many characters of a service are repeated in a reason.
const MAX_SERVICE_CHARS: usize = 100;

/// The entries that were rejected.
#[derive(Debug, Default)]
pub struct RejectedEntries {
    /// Those in the newest list.
    present: Vec<RejectedEntry>,
    /// The reasons that were logged, by the key of the entry. An entry that comes and goes is logged once.
    logged: Map<String, Set<String>>,
}

impl RejectedEntries {
    /// Returns the entries in the newest list that were rejected.
    #[must_use]
    pub fn present(&self) -> &[RejectedEntry] {
        &self.present
    }

    /// Replaces the entries, and returns those that have to be logged.
    fn replace(&mut self, rejected: Vec<RejectedEntry>) -> Vec<&RejectedEntry> {
        self.present = rejected;
        let logged = &mut self.logged;
        let is_new = |entry: &&RejectedEntry| {
            if !logged.contains_key(&entry.key) && logged.len() >= MAX_LOGGED_ENTRIES {
                return false;
            }
            let reasons = logged.entry(entry.key.clone()).or_default();
            reasons.len() < MAX_LOGGED_REASONS && reasons.insert(entry.reason.clone())
        };
        self.present.iter().filter(is_new).collect()
    }
}

impl Owner {
    /// Replaces the entries of the list of executors that name none: these, and those whose service the
    /// document does not name. Each is logged once for each reason.
    pub(super) fn record_rejected_entries(&self, mut rejected: Vec<RejectedEntry>) {
        let scheduler = self.scheduler.borrow();
        rejected.extend(scheduler.unnamed_entries().map(unnamed_service));
        let mut entries = self.rejected_entries.borrow_mut();
        for entry in entries.replace(rejected) {
            events::executor_entry_rejected(&entry.key, &entry.reason);
        }
    }
}

fn unnamed_service(listing: &Listing) -> RejectedEntry {
    let service = listing.service.chars().take(MAX_SERVICE_CHARS);
    RejectedEntry {
        key: listing.id.to_string(),
        reason: format!(
            "service: the document names no {:?}",
            service.collect::<String>()
        ),
    }
}
