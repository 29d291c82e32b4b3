//! A queue of requests that is shared fairly among callers by their weights.

use std::collections::BTreeMap;

use model::Map;
use model::Mono;

use crate::key::CallerKey;
use crate::key::Ticket;

/// Virtual time that one request of a caller with weight 1 takes.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;

/// Sort key of a queued request: its virtual start time, then its arrival number.
pub type Position = (u64, u64);

/// Start-time fair queueing: the requests of a caller have virtual start times that advance by the
/// inverse of its weight, and the request with the lowest one is next.
#[derive(Debug, Default)]
pub struct FairQueue {
    entries: BTreeMap<Position, Ticket>,
    next_start: Map<CallerKey, u64>,
    virtual_time: u64,
    arrivals: u64,
    last_empty_at: Mono,
}

impl FairQueue {
    /// Returns the position that the next request of `caller` would get.
    #[must_use]
    pub fn next_position(&self, caller: CallerKey) -> Position {
        let start = self.next_start.get(&caller).copied().unwrap_or_default();
        (start.max(self.virtual_time), self.arrivals + 1)
    }

    /// Adds a request of a caller and returns its position.
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

    /// Adds a request before all others, because it has been dequeued before.
    pub fn push_front(&mut self, ticket: Ticket, now: Mono) -> Position {
        self.reset_if_empty(now);
        self.arrivals += 1;
        let position = (0, self.arrivals);
        self.entries.insert(position, ticket);
        position
    }

    /// Removes the last request of the queue and returns its virtual time to its caller.
    pub fn evict(&mut self, caller: CallerKey, position: Position, now: Mono) {
        if let Some(next) = self.next_start.get_mut(&caller) {
            *next = (*next).min(position.0);
        }
        self.remove(position, now);
    }

    /// Removes and returns the next request.
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

    /// Returns the next request without removing it.
    #[must_use]
    pub fn first(&self) -> Option<Ticket> {
        self.entries.first_key_value().map(|(_, ticket)| *ticket)
    }

    /// Returns the last request and its position.
    #[must_use]
    pub fn last(&self) -> Option<(Position, Ticket)> {
        self.entries
            .last_key_value()
            .map(|(position, ticket)| (*position, *ticket))
    }

    /// Returns an estimate of the number of requests before `position`, by interpolation between
    /// the first and the last virtual time.
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
        let span = (last.0.0 - first.0.0).max(1);
        let before = position.0.saturating_sub(first.0.0).min(span);
        let share = u128::from(before) * self.entries.len() as u128 / u128::from(span);
        usize::try_from(share).unwrap_or(self.entries.len())
    }

    /// Replaces the ticket of the request at `position`.
    pub fn replace_ticket(&mut self, position: Position, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&position) {
            *entry = ticket;
        }
    }

    /// Iterates over the requests in queue order.
    pub fn iter(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.entries.values().copied()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when the queue was last known to be empty, which is `now` if it is.
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
