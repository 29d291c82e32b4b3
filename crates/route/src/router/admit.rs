//! Admission: by deadline, by fair share, by the bounds of the queues.

use std::time::Duration;

use model::Mono;

use super::MAX_HOPS;
use super::Router;
use super::Waiting;
use crate::key::CallerKey;
use crate::key::ExecutorKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::report::Phase;
use crate::verdict::Arrival;
use crate::verdict::Grant;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// What a caller is told to wait before it tries again when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// What a send to another region adds to the time of a request, in milliseconds.
const FAR_MS: f64 = 40.0;
/// The fewest requests that may wait, so that slots stay busy.
const MIN_WAITING: usize = 2;

impl Router {
    /// Takes in a request and says what to do with it.
    pub fn arrive(&mut self, req: &Arrival, now: Mono) -> Verdict {
        match self.admit(req, now) {
            Ok(verdict) => verdict,
            Err((reason, after)) => self.refuse(reason, after),
        }
    }

    fn admit(&mut self, req: &Arrival, now: Mono) -> Result<Verdict, (Reason, Duration)> {
        let refuse = |reason| Err((reason, DEFAULT_RETRY_AFTER));
        if self.document.is_none() {
            return refuse(Reason::NotReady);
        }
        if !self.may_serve(now) {
            return refuse(Reason::Isolated);
        }
        let key = self.upstream_of(&req.path);
        if req.version > self.version {
            return Ok(self.hold(req, key, Reason::NotReady, now));
        }
        let Some(key) = key else {
            return refuse(Reason::NoRoute);
        };
        let deadline = self.deadline(req, Some(key), now);
        match self.upstreams[key].phase {
            Phase::Owned | Phase::Waiting if !self.draining => self.enter(req, key, deadline, now),
            _ if req.hops >= MAX_HOPS => Ok(self.hold(req, Some(key), Reason::TooManyHops, now)),
            _ => {
                let half = self.upstreams[key].half.clone();
                match self.peer_of(&half, deadline) {
                    Some(peer) => Ok(Verdict::Pass(peer)),
                    None if self.draining => refuse(Reason::Draining),
                    None => Ok(self.hold(req, Some(key), Reason::NoOwner, now)),
                }
            }
        }
    }

    /// Returns whether this daemon may use its slots: it is not cut off, and its view of the members
    /// is recent enough that the others have not divided its slots among them.
    pub(super) fn may_serve(&self, now: Mono) -> bool {
        self.serving && now.since(self.view_at) <= self.cfg.limits.view_lease
    }

    /// Returns the upstream whose route is the longest prefix of `path`, by whole segments.
    #[must_use]
    pub fn upstream_of(&self, path: &str) -> Option<UpstreamKey> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(key) = self.routes.get(prefix) {
                return Some(*key);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn deadline(&self, req: &Arrival, key: Option<UpstreamKey>, now: Mono) -> Mono {
        let usual = key.map_or(self.cfg.limits.handover_wait, |key| {
            self.upstreams[key].deadline
        });
        now.after(req.patience.unwrap_or(usual))
    }

    fn enter(
        &mut self,
        req: &Arrival,
        key: UpstreamKey,
        deadline: Mono,
        now: Mono,
    ) -> Result<Verdict, (Reason, Duration)> {
        let remaining = millis(deadline, now);
        let upstream = &mut self.upstreams[key];
        if upstream.executors == 0 {
            return Err((Reason::NoExecutor, DEFAULT_RETRY_AFTER));
        }
        if remaining < upstream.service.mean_ms() {
            return Err((Reason::Deadline, DEFAULT_RETRY_AFTER));
        }
        if upstream.phase == Phase::Owned && upstream.queue.is_empty() {
            if let Some(grant) = self.pick_home(key, &[], deadline, now) {
                return Ok(self.first_send(key, grant));
            }
            if let Some(peer) = self.holder_of(key, req, deadline) {
                return Ok(Verdict::Pass(peer));
            }
        }
        if let Some(peer) = self.overflow_peer(key, req, false, deadline, now) {
            return Ok(Verdict::Pass(peer));
        }
        let caller = self.caller_of(req);
        let wait = self.predicted_wait(key, caller, now);
        if wait + self.upstreams[key].service.likely_ms() > remaining {
            return self
                .go_far(key, req, deadline, now)
                .ok_or((Reason::Deadline, after(wait)));
        }
        self.enqueue(req, key, caller, deadline, now)
            .ok_or((Reason::Overload, after(wait)))
    }

    fn first_send(&mut self, key: UpstreamKey, grant: Grant) -> Verdict {
        let upstream = &mut self.upstreams[key];
        upstream.requests += 1;
        upstream.budget.earn();
        Verdict::Send(grant)
    }

    fn caller_of(&self, req: &Arrival) -> CallerKey {
        req.caller
            .as_deref()
            .and_then(|name| self.caller_names.get(name).copied())
            .unwrap_or(self.other)
    }

    /// Returns how long the next request of a caller would wait, in milliseconds.
    fn predicted_wait(&self, key: UpstreamKey, caller: CallerKey, now: Mono) -> f64 {
        let upstream = &self.upstreams[key];
        let place = upstream.queue.place_of_next(caller);
        let ahead = upstream.queue.ahead_of(place) + 1;
        let blocked = match upstream.phase {
            Phase::Waiting => millis(upstream.wait_until, now),
            _ => 0.0,
        };
        blocked + self.turn_ms(key, ahead)
    }

    /// Returns how long it takes until `turns` requests have found a slot, in milliseconds.
    pub(super) fn turn_ms(&self, key: UpstreamKey, turns: usize) -> f64 {
        let upstream = &self.upstreams[key];
        let slots = f64::from(upstream.home_slots().max(1));
        as_f64(turns) * upstream.service.mean_ms() / slots
    }

    /// Sends or passes a request to another region that cannot make its deadline in this one.
    fn go_far(
        &mut self,
        key: UpstreamKey,
        req: &Arrival,
        deadline: Mono,
        now: Mono,
    ) -> Option<Verdict> {
        let likely = self.upstreams[key].service.likely_ms();
        let owned = self.upstreams[key].phase == Phase::Owned;
        if !owned || likely + FAR_MS > millis(deadline, now) {
            return None;
        }
        if let Some(grant) = self.pick(key, true, &[], deadline, now) {
            return Some(self.first_send(key, grant));
        }
        self.overflow_peer(key, req, true, deadline, now)
            .map(Verdict::Pass)
    }

    /// Returns how many requests may wait for an upstream now.
    ///
    /// A queue that empties regularly absorbs bursts up to the deadlines; one that has been standing
    /// for a while only adds to every request's time and is kept short.
    pub(super) fn queue_limit(&self, key: UpstreamKey, now: Mono) -> usize {
        let limits = &self.cfg.limits;
        let upstream = &self.upstreams[key];
        let weights: u32 = self.upstreams.values().map(|other| other.weight).sum();
        let share = limits.max_waiting_total * upstream.weight as usize / weights.max(1) as usize;
        let bound = limits.max_waiting.min(share.max(MIN_WAITING));
        let standing = now.since(upstream.queue.emptied(now)) > limits.standing_after;
        if upstream.phase != Phase::Owned || upstream.home_slots() == 0 || !standing {
            return bound;
        }
        let short =
            u64::from(upstream.home_slots()) * u64::from(limits.standing_delay_percent) / 100;
        bound.min(usize::try_from(short).unwrap_or(bound).max(MIN_WAITING))
    }

    fn enqueue(
        &mut self,
        req: &Arrival,
        key: UpstreamKey,
        caller: CallerKey,
        deadline: Mono,
        now: Mono,
    ) -> Option<Verdict> {
        let limit = self.queue_limit(key, now);
        let upstream = &self.upstreams[key];
        if upstream.queue.len() >= limit {
            let place = upstream.queue.place_of_next(caller);
            let (last, _) = upstream.queue.last()?;
            if place.0 >= last.0 {
                return None;
            }
            self.evict_last(key, now);
        }
        let weight = self.callers[caller].weight;
        let ticket = self.waiting.insert(Waiting {
            upstream: Some(key),
            caller,
            place: (0, 0),
            arrival: req.clone(),
            deadline,
            give_up: deadline,
            reason: Reason::Deadline,
            first: true,
        });
        let place = self.upstreams[key].queue.push(caller, weight, ticket, now);
        self.waiting[ticket].place = place;
        Some(Verdict::Wait(ticket))
    }

    pub(super) fn evict_last(&mut self, key: UpstreamKey, now: Mono) {
        let Some((place, ticket)) = self.upstreams[key].queue.last() else {
            return;
        };
        let caller = self.waiting[ticket].caller;
        self.upstreams[key].queue.evict(caller, place, now);
        let wait = self.turn_ms(key, self.upstreams[key].queue.len());
        let verdict = self.refuse(Reason::Overload, after(wait));
        self.resolve(ticket, verdict);
    }

    /// Holds a request until the tables change, for a bounded time.
    fn hold(
        &mut self,
        req: &Arrival,
        key: Option<UpstreamKey>,
        reason: Reason,
        now: Mono,
    ) -> Verdict {
        if self.held.len() >= self.cfg.limits.max_waiting {
            return self.refuse(Reason::Overload, DEFAULT_RETRY_AFTER);
        }
        let deadline = self.deadline(req, key, now);
        let ticket = self.waiting.insert(Waiting {
            upstream: None,
            caller: self.other,
            place: (0, 0),
            arrival: req.clone(),
            deadline,
            give_up: deadline.min(now.after(self.cfg.limits.handover_wait)),
            reason,
            first: true,
        });
        self.held.push(ticket);
        Verdict::Wait(ticket)
    }

    /// Asks for a further send of a request that was admitted before.
    ///
    /// A send that may have reached an executor before is paid for from the budget (`paid`); one
    /// after a refused connection is not. The request waits at the head of the queue if no slot is
    /// free and `wait` allows it.
    pub fn again(
        &mut self,
        grant: &Grant,
        exclude: &[ExecutorKey],
        paid: bool,
        wait: bool,
        now: Mono,
    ) -> Option<Verdict> {
        let key = grant.upstream;
        let upstream = self.upstreams.get(key)?;
        let remaining = millis(grant.deadline, now);
        if upstream.phase != Phase::Owned || remaining < upstream.service.mean_ms() {
            return None;
        }
        if !self.may_serve(now) {
            return None;
        }
        let upstream = &mut self.upstreams[key];
        if paid && !upstream.budget.spend() {
            return None;
        }
        if let Some(grant) = self.pick_home(key, exclude, grant.deadline, now) {
            return Some(Verdict::Send(grant));
        }
        if !wait {
            return None;
        }
        let ticket = self.waiting.insert(Waiting {
            upstream: Some(key),
            caller: self.other,
            place: (0, 0),
            arrival: Arrival::default(),
            deadline: grant.deadline,
            give_up: grant.deadline,
            reason: Reason::Deadline,
            first: false,
        });
        self.waiting[ticket].place = self.upstreams[key].queue.push_front(ticket, now);
        Some(Verdict::Wait(ticket))
    }

    /// Returns how long to wait for an answer before a second executor is asked: longer than most
    /// requests take, and half of what is left at most.
    #[must_use]
    pub fn hedge_after(&self, grant: &Grant, now: Mono) -> Duration {
        let half = grant.deadline.since(now) / 2;
        let Some(upstream) = self.upstreams.get(grant.upstream) else {
            return half;
        };
        match upstream.service.rarely_ms() {
            Some(ms) => half.min(Duration::from_secs_f64(ms / 1e3)),
            None => half,
        }
    }

    /// Gives free slots to waiting requests, in the fair order.
    pub(super) fn dispatch(&mut self, key: UpstreamKey, now: Mono) {
        if !self.may_serve(now) {
            return self.refuse_waiting(key, now);
        }
        while let Some(ticket) = self.next_in_turn(key) {
            let deadline = self.waiting[ticket].deadline;
            if millis(deadline, now) < self.upstreams[key].service.mean_ms() {
                self.upstreams[key].queue.pop(now);
                let verdict = self.refuse(Reason::Deadline, DEFAULT_RETRY_AFTER);
                self.resolve(ticket, verdict);
                continue;
            }
            let Some(grant) = self.pick_home(key, &[], deadline, now) else {
                return;
            };
            self.upstreams[key].queue.pop(now);
            let verdict = match self.waiting[ticket].first {
                true => self.first_send(key, grant),
                false => Verdict::Send(grant),
            };
            self.resolve(ticket, verdict);
        }
    }

    /// Tells all requests that wait for an upstream that this daemon may not serve them.
    fn refuse_waiting(&mut self, key: UpstreamKey, now: Mono) {
        while let Some(ticket) = self
            .upstreams
            .get_mut(key)
            .and_then(|one| one.queue.pop(now))
        {
            let verdict = self.refuse(Reason::Isolated, DEFAULT_RETRY_AFTER);
            self.resolve(ticket, verdict);
        }
    }

    fn next_in_turn(&self, key: UpstreamKey) -> Option<Ticket> {
        let upstream = self.upstreams.get(key)?;
        if upstream.phase != Phase::Owned {
            return None;
        }
        upstream.queue.first()
    }
}

/// Returns the milliseconds from `now` to `at`.
pub(super) fn millis(at: Mono, now: Mono) -> f64 {
    at.since(now).as_secs_f64() * 1e3
}

fn after(wait_ms: f64) -> Duration {
    Duration::from_secs_f64((wait_ms / 1e3).clamp(1.0, 60.0))
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
