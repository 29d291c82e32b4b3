//! A queue of waiting requests, fair among callers by their weights.

use std::collections::BTreeMap;

use model::Map;
use model::Mono;

use crate::key::CallerKey;
use crate::key::Ticket;

/// One request of weight 1 advances its caller by this much virtual time.
const UNIT: u64 = 1 << 20;

/// Where an entry stands in the queue: its virtual time, then the order of arrival.
pub type Place = (u64, u64);

/// Start-time fair queueing: each caller's requests carry virtual times that advance by the inverse
/// of its weight, and the least goes first.
#[derive(Debug, Default)]
pub struct FairQueue {
    entries: BTreeMap<Place, Ticket>,
    next: Map<CallerKey, u64>,
    virtual_time: u64,
    arrivals: u64,
    emptied: Mono,
}

impl FairQueue {
    /// Returns where the next request of `caller` would stand.
    #[must_use]
    pub fn place_of_next(&self, caller: CallerKey) -> Place {
        let start = self.next.get(&caller).copied().unwrap_or_default();
        (start.max(self.virtual_time), self.arrivals + 1)
    }

    /// Adds a request of a caller and returns where it stands.
    pub fn push(&mut self, caller: CallerKey, weight: u32, ticket: Ticket, now: Mono) -> Place {
        self.note_emptied(now);
        let place = self.place_of_next(caller);
        self.arrivals += 1;
        self.next
            .insert(caller, place.0 + UNIT / u64::from(weight.max(1)));
        self.entries.insert(place, ticket);
        place
    }

    /// Adds a request that goes before all others, because it has already had its turn.
    pub fn push_front(&mut self, ticket: Ticket, now: Mono) -> Place {
        self.note_emptied(now);
        self.arrivals += 1;
        let place = (0, self.arrivals);
        self.entries.insert(place, ticket);
        place
    }

    /// Removes the last request in the fair order and takes its turn back from its caller.
    pub fn evict(&mut self, caller: CallerKey, place: Place, now: Mono) {
        if let Some(next) = self.next.get_mut(&caller) {
            *next = (*next).min(place.0);
        }
        self.remove(place, now);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self, now: Mono) -> Option<Ticket> {
        let (place, ticket) = self.entries.pop_first()?;
        self.virtual_time = self.virtual_time.max(place.0);
        self.note_emptied(now);
        Some(ticket)
    }

    /// Removes the request at `place`.
    pub fn remove(&mut self, place: Place, now: Mono) -> Option<Ticket> {
        let ticket = self.entries.remove(&place);
        self.note_emptied(now);
        ticket
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.entries.first_key_value().map(|(_, ticket)| *ticket)
    }

    /// Returns the last request in the fair order.
    #[must_use]
    pub fn last(&self) -> Option<(Place, Ticket)> {
        self.entries
            .last_key_value()
            .map(|(place, ticket)| (*place, *ticket))
    }

    /// Returns about how many requests go before one at `place`, from the spread of virtual times.
    #[must_use]
    pub fn ahead_of(&self, place: Place) -> usize {
        let (Some(first), Some(last)) = (
            self.entries.first_key_value(),
            self.entries.last_key_value(),
        ) else {
            return 0;
        };
        if place > *last.0 {
            return self.entries.len();
        }
        let spread = (last.0.0 - first.0.0).max(1);
        let before = place.0.saturating_sub(first.0.0).min(spread);
        let share = u128::from(before) * self.entries.len() as u128 / u128::from(spread);
        usize::try_from(share).unwrap_or(self.entries.len())
    }

    /// Gives the request at `place` another ticket.
    pub fn rename(&mut self, place: Place, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&place) {
            *entry = ticket;
        }
    }

    /// Iterates over the requests in the order of their turns.
    pub fn iter(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.entries.values().copied()
    }

    /// Returns how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when it was last known to be empty.
    #[must_use]
    pub fn emptied(&self, now: Mono) -> Mono {
        if self.is_empty() { now } else { self.emptied }
    }

    fn note_emptied(&mut self, now: Mono) {
        if self.entries.is_empty() {
            self.emptied = now;
            self.next.clear();
            self.virtual_time = 0;
        }
    }
}
