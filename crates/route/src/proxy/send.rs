//! Sends of one request to executors: retries, hedges, and what became of each send.

use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http::StatusCode;
use model::outcome::Outcome;

use super::Inner;
use super::body::ResponseBody;
use super::caller_request::CallerRequest;
use super::caller_request::remaining;
use super::exchange::InFlightGuard;
use super::exchange::ResponseFuture;
use super::exchange::SendError;
use super::exchange::StartedResponse;
use super::exchange::Target;
use super::exchange::start_exchange;
use super::head;
use super::intent::Recorder;
use super::reply::Reply;
use super::response::check_response;
use super::response::is_not_run;
use super::serve::RETRY_AFTER;
use crate::decision::Decision;
use crate::decision::Grant;
use crate::decision::Resend;
use crate::decision::SendOutcome;
use crate::key::ExecutorKey;

/// Maximum number of sends of one request, including the first.
const MAX_SENDS: usize = 3;
/// Minimum delay before a hedge is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Result of one send, or of a send and its hedge.
enum Attempt {
    /// The head of a valid response has arrived.
    Response(Box<StartedResponse>, Grant),
    /// The request was certainly not run. It may be sent again as `resend`.
    NotRun { reason: String, resend: Resend },
    /// The request may have been run.
    Unknown(String),
    /// There was no response before the deadline.
    TimedOut,
    /// The body of the caller's request ended early or was too large.
    CallerBody(String),
}

impl Inner {
    /// Sends a request to executors until its outcome is known or no further send is allowed.
    pub(super) async fn send(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        grant: Grant,
    ) -> Reply {
        if caller_request.head.idempotent || caller_request.head.id.is_none() {
            return self.send_until_known(caller_request, grant).await.0;
        }
        let guard = InFlightGuard::slot(self, grant.clone());
        let deadline = self.clock.instant(grant.deadline);
        let upstream = self.with_router(|router, _| router.upstream_name(grant.upstream));
        let intent = match self
            .write_intent(&caller_request.head, &upstream, deadline)
            .await
        {
            Ok(intent) => intent,
            Err(reply) => return *reply,
        };
        let recorder = Recorder::new(self, intent);
        guard.disarm();
        let (reply, outcome) = self.send_until_known(caller_request, grant).await;
        recorder.record(outcome, reply.status);
        reply
    }

    async fn send_until_known(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        first: Grant,
    ) -> (Reply, Outcome) {
        let mut grant = first;
        let mut tried = Vec::new();
        loop {
            tried.push(grant.executor);
            let last = grant.clone();
            let (resend, failure) = match self.attempt(caller_request, grant).await {
                Attempt::Response(started, grant) => {
                    return (self.relay_response(*started, &grant), Outcome::Answered);
                }
                Attempt::NotRun { reason, resend } => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    let reply = Reply::not_run(status, &reason).retry_after(RETRY_AFTER);
                    (resend, (reply, Outcome::NotRun))
                }
                Attempt::Unknown(reason) => {
                    let reply = Reply::unknown(StatusCode::BAD_GATEWAY, &reason);
                    if !caller_request.is_replayable() {
                        return (reply, Outcome::Unknown);
                    }
                    (Resend::Retry, (reply, Outcome::Unknown))
                }
                Attempt::TimedOut => {
                    let reason = "no answer before the deadline";
                    let reply = Reply::unknown(StatusCode::GATEWAY_TIMEOUT, reason);
                    return (reply, Outcome::Unknown);
                }
                Attempt::CallerBody(reason) => {
                    let reply = Reply::unknown(StatusCode::BAD_REQUEST, &reason);
                    return (reply, Outcome::Unknown);
                }
            };
            if tried.len() >= MAX_SENDS || !caller_request.has_body() {
                return failure;
            }
            match self.resend(&last, &tried, resend).await {
                Some(next) => grant = next,
                None => return failure,
            }
        }
    }

    /// Requests another send from the router and waits for its slot.
    async fn resend(&self, last: &Grant, tried: &[ExecutorKey], resend: Resend) -> Option<Grant> {
        let decision = self
            .decide(|router, now| router.resend(last, tried, resend, now))
            .await
            .decision?;
        match decision {
            Decision::Send(grant) => Some(grant),
            _ => None,
        }
    }

    /// Sends a request once, and to a second executor if the first is slow and the request may be
    /// hedged.
    async fn attempt(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        grant: Grant,
    ) -> Attempt {
        let deadline = self.clock.instant(grant.deadline);
        let Some(first) = self.start_send(caller_request, &grant) else {
            return Attempt::NotRun {
                reason: "the body of the request is used up".to_owned(),
                resend: Resend::NotReceived,
            };
        };
        let raced = async {
            if self.cfg.limits.hedge && caller_request.is_replayable() {
                self.send_hedged(caller_request, first, grant).await
            } else {
                (first.await, grant)
            }
        };
        match tokio::time::timeout_at(deadline, raced).await {
            Ok((result, grant)) => self.classify(caller_request, result, grant),
            Err(_) => Attempt::TimedOut,
        }
    }

    fn start_send(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        grant: &Grant,
    ) -> Option<ResponseFuture> {
        let guard = InFlightGuard::slot(self, grant.clone());
        let request = caller_request.for_executor(remaining(grant.deadline, self.clock.now()))?;
        let target = Target {
            address: grant.address,
            cross_region: grant.cross_region,
            non_idempotent: !caller_request.head.idempotent,
            deadline: self.clock.instant(grant.deadline),
        };
        Some(start_exchange(self, target, request, guard))
    }

    async fn send_hedged(
        self: &Arc<Self>,
        caller_request: &mut CallerRequest,
        mut first: ResponseFuture,
        grant: Grant,
    ) -> (Result<StartedResponse, SendError>, Grant) {
        let delay = self.with_router(|router, now| router.hedge_delay(&grant, now));
        if let Ok(result) = tokio::time::timeout(delay.max(MIN_HEDGE_DELAY), &mut first).await {
            return (result, grant);
        }
        let exclude = [grant.executor];
        let other =
            self.with_router(|router, now| router.resend(&grant, &exclude, Resend::Hedge, now));
        let Some(Decision::Send(other)) = other else {
            return (first.await, grant);
        };
        let Some(second) = self.start_send(caller_request, &other) else {
            return (first.await, grant);
        };
        match select(first, second).await {
            Either::Left((Ok(started), _)) => (Ok(started), grant),
            Either::Left((_, second)) => (second.await, other),
            Either::Right((Ok(started), _)) => (Ok(started), other),
            Either::Right((_, first)) => (first.await, grant),
        }
    }

    /// Determines the result of a send from the response or its absence.
    fn classify(
        &self,
        caller_request: &mut CallerRequest,
        result: Result<StartedResponse, SendError>,
        grant: Grant,
    ) -> Attempt {
        let (response, exchange) = match result {
            Ok(started) => started,
            Err(SendError::NotRun { reason, request }) => {
                caller_request.recover(request);
                return Attempt::NotRun {
                    reason,
                    resend: Resend::NotReceived,
                };
            }
            Err(SendError::Unknown(reason)) => return Attempt::Unknown(reason),
            Err(SendError::CallerBody(reason)) => return Attempt::CallerBody(reason),
        };
        if let Err(reason) = check_response(caller_request, &response) {
            exchange.fail();
            return Attempt::Unknown(reason.to_owned());
        }
        if is_not_run(&response) {
            let idle_timeout = self.cfg.limits.body_idle_timeout;
            drop(ResponseBody::new(
                response.into_body(),
                exchange,
                SendOutcome::Refused,
                idle_timeout,
            ));
            return Attempt::NotRun {
                reason: "the executor refused it".to_owned(),
                resend: Resend::Retry,
            };
        }
        Attempt::Response(Box::new((response, exchange)), grant)
    }

    /// Converts the response of an executor to the response to the caller.
    fn relay_response(&self, (response, exchange): StartedResponse, grant: &Grant) -> Reply {
        let send_outcome = if response.status().is_server_error() {
            SendOutcome::Failed
        } else {
            SendOutcome::Answered
        };
        let mut reply = self.stream_reply(response, exchange, send_outcome);
        head::set(
            &mut reply.headers,
            head::EXECUTOR,
            grant.executor_id.as_str(),
        );
        reply.outcome(Outcome::Answered)
    }
}
