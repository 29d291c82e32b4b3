//! A queue of waiting requests, fair among callers by their weights.

use std::collections::BTreeMap;

use model::Map;
use model::Mono;

use crate::key::CallerKey;
use crate::key::Ticket;

/// One request of weight 1 advances its caller by this much virtual time.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;

/// Where an entry stands in the queue: its virtual time, then the order of arrival.
pub type Position = (u64, u64);

/// Start-time fair queueing: each caller's requests carry virtual times that advance by the inverse
/// of its weight, and the least goes first.
#[derive(Debug, Default)]
pub struct FairQueue {
    entries: BTreeMap<Position, Ticket>,
    next_start: Map<CallerKey, u64>,
    virtual_time: u64,
    arrivals: u64,
    last_empty_at: Mono,
}

impl FairQueue {
    /// Returns where the next request of `caller` would stand.
    #[must_use]
    pub fn next_position(&self, caller: CallerKey) -> Position {
        let start = self.next_start.get(&caller).copied().unwrap_or_default();
        (start.max(self.virtual_time), self.arrivals + 1)
    }

    /// Adds a request of a caller and returns where it stands.
    pub fn push(&mut self, caller: CallerKey, weight: u32, ticket: Ticket, now: Mono) -> Position {
        self.reset_if_empty(now);
        let position = self.next_position(caller);
        self.arrivals += 1;
        self.next_start.insert(
            caller,
            position.0 + VIRTUAL_TIME_UNIT / u64::from(weight.max(1)),
        );
        self.entries.insert(position, ticket);
        position
    }

    /// Adds a request that goes before all others, because it has already had its turn.
    pub fn push_front(&mut self, ticket: Ticket, now: Mono) -> Position {
        self.reset_if_empty(now);
        self.arrivals += 1;
        let position = (0, self.arrivals);
        self.entries.insert(position, ticket);
        position
    }

    /// Removes the last request in the fair order and takes its turn back from its caller.
    pub fn evict(&mut self, caller: CallerKey, position: Position, now: Mono) {
        if let Some(next) = self.next_start.get_mut(&caller) {
            *next = (*next).min(position.0);
        }
        self.remove(position, now);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self, now: Mono) -> Option<Ticket> {
        let (position, ticket) = self.entries.pop_first()?;
        self.virtual_time = self.virtual_time.max(position.0);
        self.reset_if_empty(now);
        Some(ticket)
    }

    /// Removes the request at `position`.
    pub fn remove(&mut self, position: Position, now: Mono) -> Option<Ticket> {
        let ticket = self.entries.remove(&position);
        self.reset_if_empty(now);
        ticket
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.entries.first_key_value().map(|(_, ticket)| *ticket)
    }

    /// Returns the last request in the fair order.
    #[must_use]
    pub fn last(&self) -> Option<(Position, Ticket)> {
        self.entries
            .last_key_value()
            .map(|(position, ticket)| (*position, *ticket))
    }

    /// Returns about how many requests go before one at `position`, from the spread of virtual times.
    #[must_use]
    pub fn estimate_ahead(&self, position: Position) -> usize {
        let (Some(first), Some(last)) = (
            self.entries.first_key_value(),
            self.entries.last_key_value(),
        ) else {
            return 0;
        };
        if position > *last.0 {
            return self.entries.len();
        }
        let spread = (last.0.0 - first.0.0).max(1);
        let before = position.0.saturating_sub(first.0.0).min(spread);
        let share = u128::from(before) * self.entries.len() as u128 / u128::from(spread);
        usize::try_from(share).unwrap_or(self.entries.len())
    }

    /// Gives the request at `position` another ticket.
    pub fn replace_ticket(&mut self, position: Position, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&position) {
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
    pub fn last_empty_at(&self, now: Mono) -> Mono {
        if self.is_empty() {
            now
        } else {
            self.last_empty_at
        }
    }

    fn reset_if_empty(&mut self, now: Mono) {
        if self.entries.is_empty() {
            self.last_empty_at = now;
            self.next_start.clear();
            self.virtual_time = 0;
        }
    }
}
