//! When refused callers retry.
//!
//! The callers of a queue get times in the order in which they were refused, as far apart as capacity
//! becomes free. A caller that retries at its time goes before new jobs of its queue.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;

use super::decision::JobTerms;
use crate::id::JobId;

/// The maximum number of callers that are remembered. No more are refused.
const MAX_BOOKINGS: usize = 4_096;
/// The shortest time after which a caller retries. Within it, the refusal is known to all hosts.
const MIN_DELAY: Duration = Duration::from_secs(1);
/// The longest time after which a caller retries.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// The longest time after which a caller retries that was refused at its time.
const MAX_REPEATED_DELAY: Duration = Duration::from_secs(5);
/// Capacity is left for callers that are to retry within this time.
const LOOKAHEAD: Duration = Duration::from_secs(1);
/// Capacity is left for a caller until this long after its time, because `Retry-After` has whole
/// seconds.
const GRACE: Duration = Duration::from_secs(2);
/// How long after its time a caller is remembered.
const RETENTION: Duration = Duration::from_secs(15);

/// A refused caller.
#[derive(Clone, Debug)]
struct Booking {
    queue: Arc<str>,
    refused_at: Mono,
    due_at: Mono,
    /// The latest start with which the job has value.
    value_until: Mono,
    work: u64,
    ordinary: bool,
    best_effort: bool,
}

/// The work of a caller that is due to return.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueWork {
    /// The queue.
    pub queue: Arc<str>,
    /// Whether the work is best-effort.
    pub best_effort: bool,
    /// The base-2 logarithm of the work of the job, rounded down.
    pub magnitude: u32,
    /// The work, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// The refused callers that are expected to return.
#[derive(Debug, Default)]
pub struct Returns {
    bookings: Map<JobId, Booking>,
    /// The earliest time for the next caller, by queue.
    next: Map<Arc<str>, Mono>,
}

impl Returns {
    /// Returns the number of callers that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bookings.len()
    }

    /// Returns whether no callers are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bookings.is_empty()
    }

    /// Returns whether a caller has retried at its time.
    #[must_use]
    pub fn is_due(&self, id: JobId, now: Mono) -> bool {
        let booking = self.bookings.get(&id);
        booking.is_some_and(|booking| now >= booking.due_at)
    }

    /// Returns the time since a caller was first refused.
    #[must_use]
    pub fn elapsed(&self, id: JobId, now: Mono) -> Duration {
        let booking = self.bookings.get(&id);
        booking.map_or(Duration::ZERO, |booking| now.since(booking.refused_at))
    }

    /// Forgets a caller whose job was accepted.
    pub fn accepted(&mut self, id: JobId) {
        self.bookings.remove(&id);
    }

    /// Forgets callers that have not retried.
    pub fn expire(&mut self, now: Mono) {
        self.bookings
            .retain(|_, booking| now < booking.due_at.after(RETENTION));
        self.next.retain(|_, next| *next > now);
    }

    /// Returns the work of the callers that are due. Jobs that no longer have value are not waited for.
    #[must_use]
    pub fn due(&self, now: Mono) -> Vec<DueWork> {
        let is_due = |booking: &&Booking| {
            booking.due_at <= now.after(LOOKAHEAD)
                && now < booking.due_at.after(GRACE)
                && now < booking.value_until
        };
        let bookings = self.bookings.values().filter(is_due);
        let works = bookings.flat_map(|booking| {
            let kinds = [(false, booking.ordinary), (true, booking.best_effort)];
            let kinds = kinds.into_iter().filter(|(_, has)| *has);
            kinds.map(|(best_effort, _)| DueWork {
                queue: booking.queue.clone(),
                best_effort,
                magnitude: booking.work.max(1).ilog2(),
                work: booking.work,
            })
        });
        works.collect()
    }

    /// Records that a caller is refused whose job would start too late by `excess`, and that the next
    /// one of its queue may return `interval` after it. Returns the time after which the caller comes
    /// back, or `None` if no more callers can be remembered.
    ///
    /// A caller that retries too early is told its time again. One that was refused at its time
    /// gets the earliest possible one and does not wait behind those that came later.
    pub fn book(
        &mut self,
        id: JobId,
        terms: &JobTerms,
        (excess, interval): (Duration, Duration),
        now: Mono,
    ) -> Option<Duration> {
        if let Some(booking) = self.bookings.get_mut(&id) {
            if now >= booking.due_at {
                booking.due_at = now.after(excess.clamp(MIN_DELAY, MAX_REPEATED_DELAY));
            }
            return Some(booking.due_at.since(now));
        }
        if self.bookings.len() >= MAX_BOOKINGS {
            return None;
        }
        let soonest = now.after(MIN_DELAY);
        let latest = now.after(MAX_DELAY);
        let next = self.next.get(&terms.queue).copied();
        let due_at = next.map_or(soonest, |next| next.max(soonest)).min(latest);
        let next = due_at.after(interval).min(latest);
        self.next.insert(terms.queue.clone(), next);
        let value_until = now.after(Duration::from_millis(terms.latest_start_ms()));
        self.bookings.insert(
            id,
            Booking {
                queue: terms.queue.clone(),
                refused_at: now,
                due_at,
                value_until,
                work: terms.work,
                ordinary: terms.ordinary,
                best_effort: terms.best_effort,
            },
        );
        Some(due_at.since(now))
    }
}
