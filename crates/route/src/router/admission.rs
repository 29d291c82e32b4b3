//! Admission of requests by their deadlines, fair shares and the queue limits.

use std::time::Duration;

use model::Mono;

use super::MAX_HOPS;
use super::Router;
use super::WaitingRequest;
use crate::decision::Decision;
use crate::decision::Grant;
use crate::decision::RefusalReason;
use crate::decision::RouteRequest;
use crate::key::CallerKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;

/// Retry-After value where no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Additional time of a request that is sent to another region, in milliseconds.
const CROSS_REGION_MS: f64 = 40.0;
/// Lower bound of the queue limit, so that a freed slot finds a request to serve.
const MIN_QUEUE_LIMIT: usize = 2;

impl Router {
    /// Decides what to do with a new request.
    pub fn route(&mut self, req: &RouteRequest, now: Mono) -> Decision {
        match self.admit(req, now) {
            Ok(decision) => decision,
            Err((reason, after)) => self.refuse(reason, after),
        }
    }

    fn admit(
        &mut self,
        req: &RouteRequest,
        now: Mono,
    ) -> Result<Decision, (RefusalReason, Duration)> {
        let refuse = |reason| Err((reason, DEFAULT_RETRY_AFTER));
        if self.document.is_none() {
            return refuse(RefusalReason::NotReady);
        }
        if !self.may_serve(now) {
            return refuse(RefusalReason::Isolated);
        }
        let key = self.upstream_for_path(&req.path);
        if req.version > self.version {
            return Ok(self.park(req, key, RefusalReason::NotReady, now));
        }
        let Some(key) = key else {
            return refuse(RefusalReason::NoRoute);
        };
        let deadline = self.deadline(req, Some(key), now);
        match self.upstreams[key].phase {
            HandoverPhase::Owned | HandoverPhase::Waiting if !self.draining => {
                self.admit_to_upstream(req, key, deadline, now)
            }
            _ if req.hops >= MAX_HOPS => {
                Ok(self.park(req, Some(key), RefusalReason::TooManyHops, now))
            }
            _ => {
                let half = self.upstreams[key].half.clone();
                match self.peer_in_half(&half, deadline) {
                    Some(peer) => Ok(Decision::Forward(peer)),
                    None if self.draining => refuse(RefusalReason::Draining),
                    None => Ok(self.park(req, Some(key), RefusalReason::NoOwner, now)),
                }
            }
        }
    }

    /// Returns whether this daemon may use its slots: it is not isolated, and its view of the
    /// members is recent enough that the other daemons have not divided its slots among themselves.
    pub(super) fn may_serve(&self, now: Mono) -> bool {
        self.serving && now.since(self.members_updated_at) <= self.cfg.limits.membership_lease
    }

    /// Returns the upstream with the longest route that is a prefix of `path` by whole segments.
    #[must_use]
    pub fn upstream_for_path(&self, path: &str) -> Option<UpstreamKey> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(key) = self.routes.get(prefix) {
                return Some(*key);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn deadline(&self, req: &RouteRequest, key: Option<UpstreamKey>, now: Mono) -> Mono {
        let default_timeout = key.map_or(self.cfg.limits.handover_timeout, |key| {
            self.upstreams[key].deadline
        });
        now.after(req.timeout.unwrap_or(default_timeout))
    }

    fn admit_to_upstream(
        &mut self,
        req: &RouteRequest,
        key: UpstreamKey,
        deadline: Mono,
        now: Mono,
    ) -> Result<Decision, (RefusalReason, Duration)> {
        let remaining = millis(deadline, now);
        let upstream = &mut self.upstreams[key];
        if upstream.executor_count == 0 {
            return Err((RefusalReason::NoExecutor, DEFAULT_RETRY_AFTER));
        }
        if remaining < upstream.service_time.mean_ms() {
            return Err((RefusalReason::Deadline, DEFAULT_RETRY_AFTER));
        }
        if upstream.phase == HandoverPhase::Owned && upstream.queue.is_empty() {
            if let Some(grant) = self.grant_primary(key, &[], deadline, now) {
                return Ok(self.first_send(key, grant));
            }
            if let Some(peer) = self.slot_holder(key, req, deadline) {
                return Ok(Decision::Forward(peer));
            }
        }
        if let Some(peer) = self.overflow_peer(key, req, false, deadline, now) {
            return Ok(Decision::Forward(peer));
        }
        let caller = self.caller_key(req);
        let wait = self.predicted_wait(key, caller, now);
        if wait + self.upstreams[key].service_time.mean_with_margin_ms() > remaining {
            return self
                .try_cross_region(key, req, deadline, now)
                .ok_or((RefusalReason::Deadline, retry_delay(wait)));
        }
        self.enqueue(req, key, caller, deadline, now)
            .ok_or((RefusalReason::Overload, retry_delay(wait)))
    }

    fn first_send(&mut self, key: UpstreamKey, grant: Grant) -> Decision {
        let upstream = &mut self.upstreams[key];
        upstream.requests += 1;
        upstream.retry_budget.deposit();
        Decision::Send(grant)
    }

    fn caller_key(&self, req: &RouteRequest) -> CallerKey {
        req.caller
            .as_deref()
            .and_then(|name| self.caller_keys.get(name).copied())
            .unwrap_or(self.unknown_callers)
    }

    /// Returns the predicted queueing time of the next request of a caller, in milliseconds.
    fn predicted_wait(&self, key: UpstreamKey, caller: CallerKey, now: Mono) -> f64 {
        let upstream = &self.upstreams[key];
        let position = upstream.queue.next_position(caller);
        let ahead = upstream.queue.estimate_ahead(position) + 1;
        let blocked = match upstream.phase {
            HandoverPhase::Waiting => millis(upstream.wait_until, now),
            _ => 0.0,
        };
        blocked + self.expected_wait_ms(key, ahead)
    }

    /// Returns the expected time until `requests` requests have been given a slot, in milliseconds.
    pub(super) fn expected_wait_ms(&self, key: UpstreamKey, requests: usize) -> f64 {
        let upstream = &self.upstreams[key];
        let slots = f64::from(upstream.primary_slots().max(1));
        as_f64(requests) * upstream.service_time.mean_ms() / slots
    }

    /// Sends or forwards a request to another region if it can meet its deadline there, for
    /// requests that cannot meet it in this region.
    fn try_cross_region(
        &mut self,
        key: UpstreamKey,
        req: &RouteRequest,
        deadline: Mono,
        now: Mono,
    ) -> Option<Decision> {
        let service_ms = self.upstreams[key].service_time.mean_with_margin_ms();
        let owned = self.upstreams[key].phase == HandoverPhase::Owned;
        if !owned || service_ms + CROSS_REGION_MS > millis(deadline, now) {
            return None;
        }
        if let Some(grant) = self.try_grant(key, true, &[], deadline, now) {
            return Some(self.first_send(key, grant));
        }
        self.overflow_peer(key, req, true, deadline, now)
            .map(Decision::Forward)
    }

    /// Returns how many requests may be queued for an upstream now.
    ///
    /// A queue that empties regularly absorbs bursts, up to the deadlines. A standing queue only
    /// adds latency to every request and is kept short.
    pub(super) fn queue_limit(&self, key: UpstreamKey, now: Mono) -> usize {
        let limits = &self.cfg.limits;
        let upstream = &self.upstreams[key];
        let weights: u32 = self.upstreams.values().map(|other| other.weight).sum();
        let share = limits.max_queued_total * upstream.weight as usize / weights.max(1) as usize;
        let bound = limits.max_queued.min(share.max(MIN_QUEUE_LIMIT));
        let standing = now.since(upstream.queue.last_empty_at(now)) > limits.standing_queue_after;
        if upstream.phase != HandoverPhase::Owned || upstream.primary_slots() == 0 || !standing {
            return bound;
        }
        let standing_limit = u64::from(upstream.primary_slots())
            * u64::from(limits.standing_queue_delay_percent)
            / 100;
        bound.min(
            usize::try_from(standing_limit)
                .unwrap_or(bound)
                .max(MIN_QUEUE_LIMIT),
        )
    }

    fn enqueue(
        &mut self,
        req: &RouteRequest,
        key: UpstreamKey,
        caller: CallerKey,
        deadline: Mono,
        now: Mono,
    ) -> Option<Decision> {
        let limit = self.queue_limit(key, now);
        let upstream = &self.upstreams[key];
        if upstream.queue.len() >= limit {
            let position = upstream.queue.next_position(caller);
            let (last, _) = upstream.queue.last()?;
            if position.0 >= last.0 {
                return None;
            }
            self.evict_last_queued(key, now);
        }
        let weight = self.callers[caller].weight;
        let ticket = self.waiting.insert(WaitingRequest {
            upstream: Some(key),
            caller,
            position: (0, 0),
            route_request: req.clone(),
            deadline,
            expires_at: deadline,
            reason: RefusalReason::Deadline,
            is_first_send: true,
        });
        let position = self.upstreams[key].queue.push(caller, weight, ticket, now);
        self.waiting[ticket].position = position;
        Some(Decision::Wait(ticket))
    }

    pub(super) fn evict_last_queued(&mut self, key: UpstreamKey, now: Mono) {
        let Some((position, ticket)) = self.upstreams[key].queue.last() else {
            return;
        };
        let caller = self.waiting[ticket].caller;
        self.upstreams[key].queue.evict(caller, position, now);
        let wait = self.expected_wait_ms(key, self.upstreams[key].queue.len());
        let decision = self.refuse(RefusalReason::Overload, retry_delay(wait));
        self.resolve(ticket, decision);
    }

    /// Keeps a request waiting until the tables change, for a bounded time.
    fn park(
        &mut self,
        req: &RouteRequest,
        key: Option<UpstreamKey>,
        reason: RefusalReason,
        now: Mono,
    ) -> Decision {
        if self.parked.len() >= self.cfg.limits.max_queued {
            return self.refuse(RefusalReason::Overload, DEFAULT_RETRY_AFTER);
        }
        let deadline = self.deadline(req, key, now);
        let ticket = self.waiting.insert(WaitingRequest {
            upstream: None,
            caller: self.unknown_callers,
            position: (0, 0),
            route_request: req.clone(),
            deadline,
            expires_at: deadline.min(now.after(self.cfg.limits.handover_timeout)),
            reason,
            is_first_send: true,
        });
        self.parked.push(ticket);
        Decision::Wait(ticket)
    }

    /// Gives free slots to queued requests in queue order.
    pub(super) fn dispatch(&mut self, key: UpstreamKey, now: Mono) {
        if !self.may_serve(now) {
            return self.refuse_waiting(key, now);
        }
        while let Some(ticket) = self.next_queued(key) {
            let deadline = self.waiting[ticket].deadline;
            if millis(deadline, now) < self.upstreams[key].service_time.mean_ms() {
                self.upstreams[key].queue.pop(now);
                let decision = self.refuse(RefusalReason::Deadline, DEFAULT_RETRY_AFTER);
                self.resolve(ticket, decision);
                continue;
            }
            let Some(grant) = self.grant_primary(key, &[], deadline, now) else {
                return;
            };
            self.upstreams[key].queue.pop(now);
            let decision = match self.waiting[ticket].is_first_send {
                true => self.first_send(key, grant),
                false => Decision::Send(grant),
            };
            self.resolve(ticket, decision);
        }
    }

    /// Refuses all queued requests of an upstream because this daemon may not serve them.
    fn refuse_waiting(&mut self, key: UpstreamKey, now: Mono) {
        while let Some(ticket) = self
            .upstreams
            .get_mut(key)
            .and_then(|upstream| upstream.queue.pop(now))
        {
            let decision = self.refuse(RefusalReason::Isolated, DEFAULT_RETRY_AFTER);
            self.resolve(ticket, decision);
        }
    }

    fn next_queued(&self, key: UpstreamKey) -> Option<Ticket> {
        let upstream = self.upstreams.get(key)?;
        if upstream.phase != HandoverPhase::Owned {
            return None;
        }
        upstream.queue.first()
    }
}

/// Returns the milliseconds from `now` to `at`.
pub(super) fn millis(at: Mono, now: Mono) -> f64 {
    at.since(now).as_secs_f64() * 1e3
}

fn retry_delay(wait_ms: f64) -> Duration {
    Duration::from_secs_f64((wait_ms / 1e3).clamp(1.0, 60.0))
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
