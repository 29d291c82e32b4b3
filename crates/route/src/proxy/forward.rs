//! Forwarding of one request to the daemons that own slots of its upstream.

use std::sync::Arc;

use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Inner;
use super::caller_request::CallerRequest;
use super::caller_request::remaining;
use super::exchange::InFlightGuard;
use super::exchange::SendError;
use super::exchange::StartedResponse;
use super::exchange::Target;
use super::exchange::start_exchange;
use super::head;
use super::reply::Reply;
use super::response::check_response;
use super::response::is_not_run;
use crate::decision::Peer;
use crate::decision::SendOutcome;

/// Maximum number of daemons that a request is forwarded to in turn while they are unreachable.
const MAX_PEER_ATTEMPTS: usize = 3;

impl Inner {
    /// Forwards a request to a daemon, or to others while they are unreachable. Returns `None` if
    /// none was reached.
    pub(super) async fn forward(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        first: Peer,
    ) -> Option<Reply> {
        let mut peer = first;
        for _ in 0..MAX_PEER_ATTEMPTS {
            match self.forward_once(caller_request, &peer).await {
                Ok(started) => {
                    let (response, exchange) = started;
                    if let Err(reason) = check_response(caller_request, &response) {
                        exchange.fail();
                        return Some(Reply::unknown(StatusCode::BAD_GATEWAY, reason));
                    }
                    if peer_had_no_slot(&response) {
                        self.with_router(|router, now| router.mark_peer_busy(&peer.id, now));
                    }
                    return Some(self.stream_reply(response, exchange, SendOutcome::Answered));
                }
                Err(SendError::NotRun { request, .. }) => caller_request.recover(request),
                Err(SendError::Unknown(reason)) => {
                    return Some(Reply::unknown(StatusCode::BAD_GATEWAY, &reason));
                }
                Err(SendError::CallerBody(reason)) => {
                    return Some(Reply::unknown(StatusCode::BAD_REQUEST, &reason));
                }
            }
            self.with_router(|router, now| router.mark_peer_busy(&peer.id, now));
            let other = self.with_router(|router, _| router.alternative_peer(&peer));
            match other {
                Some(other) if caller_request.has_body() => peer = other,
                _ => break,
            }
        }
        None
    }

    async fn forward_once(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        peer: &Peer,
    ) -> Result<StartedResponse, SendError> {
        let body_consumed = || SendError::Unknown("the body of the request is used up".to_owned());
        let guard = InFlightGuard::forwarded(self);
        let version = self.with_router(|router, _| router.version());
        let now = self.clock.now();
        let request = caller_request
            .for_peer(remaining(peer.deadline, now), version)
            .ok_or_else(body_consumed)?;
        let deadline: Instant = self.clock.instant(peer.deadline);
        let target = Target {
            address: peer.address,
            cross_region: peer.cross_region,
            non_idempotent: !caller_request.head.idempotent,
            deadline,
        };
        let pending = start_exchange(self, target, request, guard);
        match tokio::time::timeout_at(deadline, pending).await {
            Ok(result) => result,
            Err(_) => Err(SendError::Unknown(
                "no answer before the deadline".to_owned(),
            )),
        }
    }
}

/// Returns whether a daemon had no free slot for a forwarded request.
fn peer_had_no_slot(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(head::WAITED) || is_not_run(response)
}
