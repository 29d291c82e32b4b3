//! Time-driven state changes of the router.

use std::time::Duration;

use model::Mono;

use super::Router;
use super::admission::millis;
use crate::decision::RefusalReason;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;

/// Interval at which to call [`Router::tick`].
pub const TICK: Duration = Duration::from_millis(20);
/// Retry-After value of a request that cannot meet its deadline any more.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Advances the time: applies gained slots, ends loans and ejections, and refuses requests that
    /// cannot be served in time as soon as this is known instead of at their deadlines.
    pub fn tick(&mut self, now: Mono) {
        self.apply_gained_slots(now);
        self.expire_loans(now);
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            let upstream = &mut self.upstreams[key];
            if upstream.phase == HandoverPhase::Waiting && upstream.wait_until <= now {
                upstream.phase = HandoverPhase::Owned;
            }
            if !self.upstreams[key].ejected.is_empty() {
                self.readmit(key, now);
            }
            if !self.upstreams[key].queue.is_empty() {
                self.dispatch(key, now);
                self.expire_queued(key, now);
            }
        }
        self.expire_parked(now);
    }

    fn expire_queued(&mut self, key: UpstreamKey, now: Mono) {
        let limit = self.queue_limit(key, now);
        while self.upstreams[key].queue.len() > limit {
            self.evict_last_queued(key, now);
        }
        let upstream = &self.upstreams[key];
        let mean = upstream.service_time.mean_ms();
        let blocked = match upstream.phase {
            HandoverPhase::Waiting => millis(upstream.wait_until, now),
            _ => 0.0,
        };
        let mut requests = 0;
        let mut unserviceable: Vec<Ticket> = Vec::new();
        for ticket in upstream.queue.iter() {
            let wait = blocked + self.expected_wait_ms(key, requests);
            let remaining = millis(self.waiting[ticket].deadline, now);
            if remaining < wait + mean || remaining <= 0.0 {
                unserviceable.push(ticket);
            } else {
                requests += 1;
            }
        }
        for ticket in unserviceable {
            let position = self.waiting[ticket].position;
            self.upstreams[key].queue.remove(position, now);
            let decision = self.refuse(RefusalReason::Deadline, RETRY_AFTER);
            self.resolve(ticket, decision);
        }
    }

    fn expire_parked(&mut self, now: Mono) {
        let due: Vec<Ticket> = self
            .parked
            .iter()
            .copied()
            .filter(|ticket| self.waiting[*ticket].expires_at <= now)
            .collect();
        for ticket in due {
            self.parked.retain(|parked| *parked != ticket);
            let reason = self.waiting[ticket].reason;
            let decision = self.refuse(reason, RETRY_AFTER);
            self.resolve(ticket, decision);
        }
    }
}
