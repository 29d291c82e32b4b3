//! What happens as time passes.

use std::time::Duration;

use model::Mono;

use super::Router;
use super::admit::millis;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::report::Phase;
use crate::verdict::Reason;

/// How often [`Router::tick`] is to be called.
pub const TICK: Duration = Duration::from_millis(20);
/// What a caller is told to wait when its request was given up.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Lets time pass: slots settle, loans end, outliers come back, and requests that can no longer
    /// be served in time are given up at once instead of at their deadlines.
    pub fn tick(&mut self, now: Mono) {
        self.settle(now);
        self.expire_loans(now);
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            let upstream = &mut self.upstreams[key];
            if upstream.phase == Phase::Waiting && upstream.wait_until <= now {
                upstream.phase = Phase::Owned;
            }
            if !self.upstreams[key].ejected.is_empty() {
                self.readmit(key, now);
            }
            if !self.upstreams[key].queue.is_empty() {
                self.dispatch(key, now);
                self.give_up(key, now);
            }
        }
        self.give_up_held(now);
    }

    fn give_up(&mut self, key: UpstreamKey, now: Mono) {
        let limit = self.queue_limit(key, now);
        while self.upstreams[key].queue.len() > limit {
            self.evict_last(key, now);
        }
        let upstream = &self.upstreams[key];
        let mean = upstream.service.mean_ms();
        let blocked = match upstream.phase {
            Phase::Waiting => millis(upstream.wait_until, now),
            _ => 0.0,
        };
        let mut turns = 0;
        let mut hopeless: Vec<Ticket> = Vec::new();
        for ticket in upstream.queue.iter() {
            let wait = blocked + self.turn_ms(key, turns);
            let remaining = millis(self.waiting[ticket].deadline, now);
            if remaining < wait + mean || remaining <= 0.0 {
                hopeless.push(ticket);
            } else {
                turns += 1;
            }
        }
        for ticket in hopeless {
            let place = self.waiting[ticket].place;
            self.upstreams[key].queue.remove(place, now);
            let verdict = self.refuse(Reason::Deadline, RETRY_AFTER);
            self.resolve(ticket, verdict);
        }
    }

    fn give_up_held(&mut self, now: Mono) {
        let due: Vec<Ticket> = self
            .held
            .iter()
            .copied()
            .filter(|ticket| self.waiting[*ticket].give_up <= now)
            .collect();
        for ticket in due {
            self.held.retain(|held| *held != ticket);
            let reason = self.waiting[ticket].reason;
            let verdict = self.refuse(reason, RETRY_AFTER);
            self.resolve(ticket, verdict);
        }
    }
}
