//! The way of one request: routing, sending, retries, and the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use model::outcome::Outcome;
use salvo::http::ResBody;
use tokio::time::Instant;

use super::Inner;
use super::body::Answer;
use super::exchange::Exchange;
use super::exchange::Failure;
use super::exchange::Headed;
use super::exchange::Hold;
use super::exchange::Pending;
use super::exchange::Target;
use super::exchange::has_length;
use super::exchange::launch;
use super::head;
use super::intent::Recorder;
use super::job::Job;
use super::job::remaining;
use super::reply::Reply;
use super::wait::Asked;
use crate::verdict::Finish;
use crate::verdict::Grant;
use crate::verdict::Peer;
use crate::verdict::Verdict;

/// The most sends of one request, the first included.
const MAX_SENDS: usize = 3;
/// The most daemons that are tried when a request is passed on.
const MAX_PEERS: usize = 3;
/// The least time before a second executor is asked.
const MIN_HEDGE: Duration = Duration::from_millis(20);

/// What a caller is told to wait after a failure that is not this daemon's.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What came of one send.
enum Attempt {
    /// The head of a sound answer.
    Headed(Box<Headed>, Grant),
    /// It was certainly not run. `sent` tells whether an executor spent work on refusing it.
    NotRun { reason: String, sent: bool },
    /// It may have been run.
    Lost(String),
    /// The deadline has passed without an answer.
    TimedOut,
    /// The caller's own body broke off.
    Caller(String),
}

impl Inner {
    /// Serves one request of a caller.
    pub(super) async fn serve(self: &Arc<Self>, req: &mut salvo::Request) -> Reply {
        let fresh_id = || {
            let count = self.sequence.fetch_add(1, Ordering::Relaxed);
            format!("{}-{:x}-{count}", self.cfg.router.daemon, self.seed)
        };
        let mut job = match Job::take(req, &self.cfg.bounds, fresh_id).await {
            Ok(job) => job,
            Err(reply) => return *reply,
        };
        let mut reply = self.serve_job(&mut job).await;
        head::set(&mut reply.headers, head::REQUEST_ID, &job.id);
        reply
    }

    async fn serve_job(self: &Arc<Self>, job: &mut Job) -> Reply {
        let hops = job.intake.arrival.hops;
        let asked = self.arrive(job).await;
        let mut reply = match asked.verdict {
            Some(Verdict::Pass(peer)) => match self.pass(job, peer).await {
                Some(reply) => reply,
                None => self.serve_here(job).await,
            },
            verdict => self.serve_verdict(job, verdict).await,
        };
        if asked.waited && hops > 0 {
            head::set(&mut reply.headers, head::WAITED, "true");
        }
        reply
    }

    async fn arrive(&self, job: &Job) -> Asked {
        self.ask(|router, now| Some(router.arrive(&job.intake.arrival, now)))
            .await
    }

    /// Serves a request by itself that no peer could be reached for.
    async fn serve_here(self: &Arc<Self>, job: &mut Job) -> Reply {
        job.intake.arrival.hops = job.intake.arrival.hops.max(1);
        let asked = self.arrive(job).await;
        self.serve_verdict(job, asked.verdict).await
    }

    async fn serve_verdict(self: &Arc<Self>, job: &mut Job, verdict: Option<Verdict>) -> Reply {
        match verdict {
            Some(Verdict::Send(grant)) => self.send(job, grant).await,
            Some(Verdict::Refuse(refusal)) => Reply::refused(&refusal),
            Some(Verdict::Pass(_)) => {
                let reason = "no daemon of the owning half could be reached";
                Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(RETRY_AFTER)
            }
            Some(Verdict::Wait(_)) | None => {
                Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping")
            }
        }
    }

    /// Sends a request to executors until it has an outcome.
    async fn send(self: &Arc<Self>, job: &mut Job, grant: Grant) -> Reply {
        if job.intake.idempotent || job.intake.id.is_none() {
            return self.send_until_known(job, grant).await.0;
        }
        let hold = Hold::slot(self, grant.clone());
        let deadline = self.clock.instant(grant.deadline);
        let upstream = self.with(|router, _| router.upstream_name(grant.upstream));
        let intent = match self.begin(&job.intake, &upstream, deadline).await {
            Ok(intent) => intent,
            Err(reply) => return *reply,
        };
        let recorder = Recorder::new(self, intent);
        hold.hand_over();
        let (reply, outcome) = self.send_until_known(job, grant).await;
        recorder.record(outcome, reply.status);
        reply
    }

    async fn send_until_known(self: &Arc<Self>, job: &mut Job, first: Grant) -> (Reply, Outcome) {
        let mut grant = first;
        let mut tried = Vec::new();
        loop {
            tried.push(grant.executor);
            let last = grant.clone();
            let (paid, failed) = match self.attempt(job, grant).await {
                Attempt::Headed(headed, grant) => {
                    return (self.answer(*headed, &grant), Outcome::Answered);
                }
                Attempt::NotRun { reason, sent } => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    let reply = Reply::not_run(status, &reason).retry_after(RETRY_AFTER);
                    (sent, (reply, Outcome::NotRun))
                }
                Attempt::Lost(reason) => {
                    let reply = Reply::unknown(StatusCode::BAD_GATEWAY, &reason);
                    if !job.repeatable() {
                        return (reply, Outcome::Unknown);
                    }
                    (true, (reply, Outcome::Unknown))
                }
                Attempt::TimedOut => {
                    let reason = "no answer before the deadline";
                    let reply = Reply::unknown(StatusCode::GATEWAY_TIMEOUT, reason);
                    return (reply, Outcome::Unknown);
                }
                Attempt::Caller(reason) => {
                    let reply = Reply::unknown(StatusCode::BAD_REQUEST, &reason);
                    return (reply, Outcome::Unknown);
                }
            };
            if tried.len() >= MAX_SENDS || !job.sendable() {
                return failed;
            }
            match self.again(&last, &tried, paid).await {
                Some(next) => grant = next,
                None => return failed,
            }
        }
    }

    /// Asks for a further send and waits for its slot.
    async fn again(
        &self,
        last: &Grant,
        tried: &[crate::key::ExecutorKey],
        paid: bool,
    ) -> Option<Grant> {
        let verdict = self
            .ask(|router, now| router.again(last, tried, paid, true, now))
            .await
            .verdict?;
        match verdict {
            Verdict::Send(grant) => Some(grant),
            _ => None,
        }
    }

    /// Sends once, and to a second executor too if the first is slow and the request allows it.
    async fn attempt(self: &Arc<Self>, job: &mut Job, grant: Grant) -> Attempt {
        let deadline = self.clock.instant(grant.deadline);
        let Some(first) = self.launch_to(job, &grant) else {
            return Attempt::NotRun {
                reason: "the body of the request is used up".to_owned(),
                sent: false,
            };
        };
        let raced = async {
            if self.cfg.bounds.hedge && job.repeatable() {
                self.hedged(job, first, grant).await
            } else {
                (first.await, grant)
            }
        };
        match tokio::time::timeout_at(deadline, raced).await {
            Ok((result, grant)) => self.judge(job, result, grant),
            Err(_) => Attempt::TimedOut,
        }
    }

    fn launch_to(self: &Arc<Self>, job: &mut Job, grant: &Grant) -> Option<Pending> {
        let hold = Hold::slot(self, grant.clone());
        let request = job.for_executor(remaining(grant.deadline, self.clock.now()))?;
        let target = Target {
            address: grant.address,
            far: grant.far,
            once: !job.intake.idempotent,
            deadline: self.clock.instant(grant.deadline),
        };
        Some(launch(self, target, request, hold))
    }

    async fn hedged(
        self: &Arc<Self>,
        job: &mut Job,
        mut first: Pending,
        grant: Grant,
    ) -> (Result<Headed, Failure>, Grant) {
        let delay = self.with(|router, now| router.hedge_after(&grant, now));
        if let Ok(result) = tokio::time::timeout(delay.max(MIN_HEDGE), &mut first).await {
            return (result, grant);
        }
        let exclude = [grant.executor];
        let other = self.with(|router, now| router.again(&grant, &exclude, true, false, now));
        let Some(Verdict::Send(other)) = other else {
            return (first.await, grant);
        };
        let Some(second) = self.launch_to(job, &other) else {
            return (first.await, grant);
        };
        match select(first, second).await {
            Either::Left((Ok(headed), _)) => (Ok(headed), grant),
            Either::Left((_, second)) => (second.await, other),
            Either::Right((Ok(headed), _)) => (Ok(headed), other),
            Either::Right((_, first)) => (first.await, grant),
        }
    }

    /// Decides what an answer or its absence proves.
    fn judge(&self, job: &mut Job, result: Result<Headed, Failure>, grant: Grant) -> Attempt {
        let (response, exchange) = match result {
            Ok(headed) => headed,
            Err(Failure::NotRun { reason, request }) => {
                job.recover(request);
                return Attempt::NotRun {
                    reason,
                    sent: false,
                };
            }
            Err(Failure::Lost(reason)) => return Attempt::Lost(reason),
            Err(Failure::Caller(reason)) => return Attempt::Caller(reason),
        };
        if let Err(reason) = own_and_whole(job, &response) {
            exchange.fail();
            return Attempt::Lost(reason.to_owned());
        }
        if says_not_run(&response) {
            let silence = self.cfg.bounds.chunk_silence;
            drop(Answer::new(
                response.into_body(),
                exchange,
                Finish::Refused,
                silence,
            ));
            return Attempt::NotRun {
                reason: "the executor refused it".to_owned(),
                sent: true,
            };
        }
        Attempt::Headed(Box::new((response, exchange)), grant)
    }

    /// Makes the caller's answer of an executor's.
    fn answer(&self, (response, exchange): Headed, grant: &Grant) -> Reply {
        let finish = if response.status().is_server_error() {
            Finish::Failed
        } else {
            Finish::Answered
        };
        let mut reply = self.stream(response, exchange, finish);
        head::set(&mut reply.headers, head::EXECUTOR, grant.name.as_str());
        reply.outcome(Outcome::Answered)
    }

    fn stream(&self, response: Response<Incoming>, exchange: Exchange, finish: Finish) -> Reply {
        let (parts, incoming) = response.into_parts();
        let mut headers = parts.headers;
        head::strip_hop_by_hop(&mut headers);
        let silence = self.cfg.bounds.chunk_silence;
        let answer = Answer::new(incoming, exchange, finish, silence);
        Reply {
            status: parts.status,
            headers,
            body: ResBody::Boxed(Box::pin(answer)),
        }
    }

    /// Passes a request to another daemon, and to a further one if the first cannot be reached;
    /// returns `None` if none can and the request is still whole.
    async fn pass(self: &Arc<Self>, job: &mut Job, first: Peer) -> Option<Reply> {
        let mut peer = first;
        for _ in 0..MAX_PEERS {
            match self.pass_once(job, &peer).await {
                Ok(headed) => {
                    let (response, exchange) = headed;
                    if let Err(reason) = own_and_whole(job, &response) {
                        exchange.fail();
                        return Some(Reply::unknown(StatusCode::BAD_GATEWAY, reason));
                    }
                    if had_no_slot(&response) {
                        self.with(|router, now| router.peer_busy(&peer.id, now));
                    }
                    return Some(self.stream(response, exchange, Finish::Answered));
                }
                Err(Failure::NotRun { request, .. }) => job.recover(request),
                Err(Failure::Lost(reason)) => {
                    return Some(Reply::unknown(StatusCode::BAD_GATEWAY, &reason));
                }
                Err(Failure::Caller(reason)) => {
                    return Some(Reply::unknown(StatusCode::BAD_REQUEST, &reason));
                }
            }
            self.with(|router, now| router.peer_busy(&peer.id, now));
            let other = self.with(|router, _| router.other_peer(&peer));
            match other {
                Some(other) if job.sendable() => peer = other,
                _ => break,
            }
        }
        None
    }

    async fn pass_once(self: &Arc<Self>, job: &mut Job, peer: &Peer) -> Result<Headed, Failure> {
        let used_up = || Failure::Lost("the body of the request is used up".to_owned());
        let hold = Hold::passing(self);
        let version = self.with(|router, _| router.version());
        let now = self.clock.now();
        let request = job
            .for_peer(remaining(peer.deadline, now), version)
            .ok_or_else(used_up)?;
        let deadline: Instant = self.clock.instant(peer.deadline);
        let target = Target {
            address: peer.address,
            far: peer.far,
            once: !job.intake.idempotent,
            deadline,
        };
        let pending = launch(self, target, request, hold);
        match tokio::time::timeout_at(deadline, pending).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Lost("no answer before the deadline".to_owned())),
        }
    }
}

/// Checks that an answer belongs to the request and that its end can be told.
fn own_and_whole(job: &Job, response: &Response<Incoming>) -> Result<(), &'static str> {
    let echo = response.headers().get(head::REQUEST_ID);
    if echo.is_some_and(|echo| echo.as_bytes() != job.id.as_bytes()) {
        return Err("an answer to another request arrived");
    }
    if !has_length(response) {
        return Err("the answer does not tell its length");
    }
    Ok(())
}

/// Returns whether a daemon had no free slot for a request passed to it.
fn had_no_slot(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(head::WAITED) || says_not_run(response)
}

/// Whether a daemon's outcome or an executor's refusal says that the request was not run; see
/// `docs/PLATFORM.md`.
fn says_not_run(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let outcome = headers.get(head::OUTCOME);
    outcome.is_some_and(|value| value == "not-run")
        || headers.contains_key(plat::client::REFUSED_HEADER)
}
