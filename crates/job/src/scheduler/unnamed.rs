//! Entries of the executor list whose service the document in force does not name.
//!
//! Such an entry names no executor to use: another writer may have put it there, so that nothing is
//! concluded from it. It may also be that of an executor whose service a document is about to name, or no
//! longer names. The first is used as soon as the document is in force. The second goes on, because it has
//! shown that it is an executor: its tasks run to their ends.

use std::sync::Arc;

use model::Map;
use model::Mono;

use super::Scheduler;
use crate::fleet::Listing;
use crate::plan::Plan;

impl Scheduler {
    /// Puts a newer document into force. Executors of services that it adds can be used at once if they are
    /// listed.
    pub fn set_plan(&mut self, plan: Arc<Plan>, now: Mono) {
        self.plan = plan;
        let set_aside = std::mem::take(&mut self.unnamed);
        let before = set_aside.len();
        for (listing, clock_ms) in self.set_unnamed_aside(set_aside) {
            self.update_executor(listing, clock_ms, now);
        }
        if self.unnamed.len() < before {
            self.conclude_from_list(now);
        }
    }

    /// Returns the entries of the newest executor list that name no executor, because the document does not
    /// name their service.
    pub fn unnamed_entries(&self) -> impl Iterator<Item = &Listing> {
        self.unnamed.iter().map(|(listing, _)| listing)
    }

    /// Keeps the entries that name no executor, and returns the others.
    pub(super) fn set_unnamed_aside(
        &mut self,
        entries: Vec<(Listing, u64)>,
    ) -> Vec<(Listing, u64)> {
        let mut named: Map<Arc<str>, bool> = Map::default();
        let (used, unnamed) = entries.into_iter().partition(|(listing, _)| {
            let service = &listing.service;
            let is_named = named
                .entry(service.clone())
                .or_insert_with(|| self.plan.names_service(service));
            *is_named || self.is_known_executor(listing)
        });
        self.unnamed = unnamed;
        used
    }

    /// Returns whether an entry is that of an executor which has tasks or has answered, for the service that it
    /// has worked for. The service of one that only stored rows name is not known yet.
    fn is_known_executor(&self, listing: &Listing) -> bool {
        let key = self.fleet.find(&listing.id);
        key.and_then(|key| self.fleet.get(key))
            .is_some_and(|known| {
                let service = &known.listing.service;
                let is_in_use = !known.tasks.is_empty() || known.answered_at > Mono::ZERO;
                is_in_use && (service.is_empty() || *service == listing.service)
            })
    }
}
