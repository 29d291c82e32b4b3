//! Serving of one request: it is received, routed, and sent or forwarded.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;

use super::Inner;
use super::caller_request::CallerRequest;
use super::head;
use super::reply::Reply;
use super::wait::AwaitedDecision;
use crate::decision::Decision;

/// Retry-After value after a fault of an executor or a peer.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Inner {
    /// Serves a request of a caller.
    pub(super) async fn serve(self: &Arc<Self>, req: &mut salvo::Request) -> Reply {
        let generate_id = || {
            let count = self.sequence.fetch_add(1, Ordering::Relaxed);
            format!("{}-{:x}-{count}", self.cfg.router.daemon, self.seed)
        };
        let mut caller_request =
            match CallerRequest::receive(req, &self.cfg.limits, generate_id).await {
                Ok(caller_request) => caller_request,
                Err(reply) => return *reply,
            };
        let mut reply = self.serve_request(&mut caller_request).await;
        head::set(&mut reply.headers, head::REQUEST_ID, &caller_request.id);
        reply
    }

    async fn serve_request(self: &Arc<Self>, caller_request: &mut CallerRequest) -> Reply {
        let hops = caller_request.head.route_request.hops;
        let awaited = self.route(caller_request).await;
        let mut reply = match awaited.decision {
            Some(Decision::Forward(peer)) => match self.forward(caller_request, peer).await {
                Some(reply) => reply,
                None => self.serve_locally(caller_request).await,
            },
            decision => self.serve_decision(caller_request, decision).await,
        };
        if awaited.waited && hops > 0 {
            head::set(&mut reply.headers, head::WAITED, "true");
        }
        reply
    }

    async fn route(&self, caller_request: &CallerRequest) -> AwaitedDecision {
        self.decide(|router, now| Some(router.route(&caller_request.head.route_request, now)))
            .await
    }

    /// Serves a request in this daemon, after no peer could be reached.
    async fn serve_locally(self: &Arc<Self>, caller_request: &mut CallerRequest) -> Reply {
        caller_request.head.route_request.hops = caller_request.head.route_request.hops.max(1);
        let awaited = self.route(caller_request).await;
        self.serve_decision(caller_request, awaited.decision).await
    }

    async fn serve_decision(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        decision: Option<Decision>,
    ) -> Reply {
        match decision {
            Some(Decision::Send(grant)) => self.send(caller_request, grant).await,
            Some(Decision::Refuse(refusal)) => Reply::from_refusal(&refusal),
            Some(Decision::Forward(_)) => {
                let reason = "no daemon of the owning half could be reached";
                Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(RETRY_AFTER)
            }
            Some(Decision::Wait(_)) | None => {
                Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping")
            }
        }
    }
}
