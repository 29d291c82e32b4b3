//! Further sends of requests that were admitted before: retries and hedges.

use std::time::Duration;

use model::Mono;

use super::Router;
use super::WaitingRequest;
use super::admission::millis;
use crate::decision::Decision;
use crate::decision::Grant;
use crate::decision::RefusalReason;
use crate::decision::Resend;
use crate::decision::RouteRequest;
use crate::key::ExecutorKey;
use crate::report::HandoverPhase;

impl Router {
    /// Requests another send of a request that was admitted before, to an executor that is not in
    /// `exclude`.
    pub fn resend(
        &mut self,
        grant: &Grant,
        exclude: &[ExecutorKey],
        resend: Resend,
        now: Mono,
    ) -> Option<Decision> {
        let key = grant.upstream;
        let upstream = self.upstreams.get(key)?;
        let remaining = millis(grant.deadline, now);
        if upstream.phase != HandoverPhase::Owned || remaining < upstream.service_time.mean_ms() {
            return None;
        }
        if !self.may_serve(now) {
            return None;
        }
        let upstream = &mut self.upstreams[key];
        if resend.charges_budget() && !upstream.retry_budget.try_withdraw() {
            return None;
        }
        if let Some(grant) = self.grant_primary(key, exclude, grant.deadline, now) {
            return Some(Decision::Send(grant));
        }
        if !resend.may_wait() {
            return None;
        }
        let ticket = self.waiting.insert(WaitingRequest {
            upstream: Some(key),
            caller: self.unknown_callers,
            position: (0, 0),
            route_request: RouteRequest::default(),
            deadline: grant.deadline,
            expires_at: grant.deadline,
            reason: RefusalReason::Deadline,
            is_first_send: false,
        });
        self.waiting[ticket].position = self.upstreams[key].queue.push_front(ticket, now);
        Some(Decision::Wait(ticket))
    }

    /// Returns how long to wait for a response before a hedge is sent to a second executor: longer
    /// than most requests take, and at most half of the remaining time.
    #[must_use]
    pub fn hedge_delay(&self, grant: &Grant, now: Mono) -> Duration {
        let half = grant.deadline.since(now) / 2;
        let Some(upstream) = self.upstreams.get(grant.upstream) else {
            return half;
        };
        match upstream.service_time.tail_ms() {
            Some(ms) => half.min(Duration::from_secs_f64(ms / 1e3)),
            None => half,
        }
    }
}
