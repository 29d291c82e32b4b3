//! New decisions on waiting requests after an update of the tables.

use std::time::Duration;

use model::Mono;

use super::Router;
use crate::decision::Decision;
use crate::decision::RefusalReason;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;

/// Retry-After value if the upstream of a waiting request was removed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Decides again on the requests that wait for a table update, and on those queued for
    /// upstreams that this daemon no longer serves or that have no executors.
    pub(super) fn reevaluate_waiting(&mut self, now: Mono) {
        let mut tickets: Vec<Ticket> = std::mem::take(&mut self.parked);
        for upstream in self.upstreams.values_mut() {
            let serves = matches!(
                upstream.phase,
                HandoverPhase::Owned | HandoverPhase::Waiting
            );
            if !serves || !upstream.listed || upstream.executor_count == 0 {
                while let Some(ticket) = upstream.queue.pop(now) {
                    tickets.push(ticket);
                }
            }
        }
        for ticket in tickets {
            self.reevaluate(ticket, now);
        }
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            self.dispatch(key, now);
        }
    }

    fn reevaluate(&mut self, ticket: Ticket, now: Mono) {
        let Some(previous) = self.waiting.get(ticket) else {
            return;
        };
        let (deadline, expires_at) = (previous.deadline, previous.expires_at);
        let mut req = previous.route_request.clone();
        if req.path.is_empty() {
            let decision = self.refuse(RefusalReason::NoOwner, RETRY_AFTER);
            return self.resolve(ticket, decision);
        }
        req.timeout = Some(deadline.since(now));
        match self.route(&req, now) {
            Decision::Wait(new) => self.reuse_ticket(ticket, new, expires_at),
            decision => self.resolve(ticket, decision),
        }
    }

    /// Keeps the original ticket of a waiting request that was admitted again under a new one.
    fn reuse_ticket(&mut self, ticket: Ticket, new: Ticket, expires_at: Mono) {
        let Some(mut waiting) = self.waiting.remove(new) else {
            return;
        };
        match waiting.upstream {
            Some(key) => self.upstreams[key]
                .queue
                .replace_ticket(waiting.position, ticket),
            None => {
                waiting.expires_at = waiting.expires_at.min(expires_at);
                self.parked.retain(|parked| *parked != new);
                self.parked.push(ticket);
            }
        }
        self.waiting[ticket] = waiting;
    }
}
