//! Checks of the responses of executors and daemons, and their conversion to replies.

use http::Response;
use hyper::body::Incoming;
use salvo::http::ResBody;

use super::Inner;
use super::body::ResponseBody;
use super::caller_request::CallerRequest;
use super::exchange::Exchange;
use super::exchange::is_length_delimited;
use super::head;
use super::reply::Reply;
use crate::decision::SendOutcome;

impl Inner {
    /// Converts a response to a reply that streams its body; the end of the body ends the exchange.
    pub(super) fn stream_reply(
        &self,
        response: Response<Incoming>,
        exchange: Exchange,
        send_outcome: SendOutcome,
    ) -> Reply {
        let (parts, incoming) = response.into_parts();
        let mut headers = parts.headers;
        head::strip_hop_by_hop(&mut headers);
        let idle_timeout = self.cfg.limits.body_idle_timeout;
        let body = ResponseBody::new(incoming, exchange, send_outcome, idle_timeout);
        Reply {
            status: parts.status,
            headers,
            body: ResBody::Boxed(Box::pin(body)),
        }
    }
}

/// Checks that a response belongs to the request and that its end is recognizable.
pub(super) fn check_response(
    caller_request: &CallerRequest,
    response: &Response<Incoming>,
) -> Result<(), &'static str> {
    let echoed_id = response.headers().get(head::REQUEST_ID);
    if echoed_id.is_some_and(|echoed_id| echoed_id.as_bytes() != caller_request.id.as_bytes()) {
        return Err("an answer to another request arrived");
    }
    if !is_length_delimited(response) {
        return Err("the answer does not tell its length");
    }
    Ok(())
}

/// Returns whether a response states that the request was not run, by the outcome of a daemon or
/// the refusal of an executor; see `docs/PLATFORM.md`.
pub(super) fn is_not_run(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let outcome = headers.get(head::OUTCOME);
    outcome.is_some_and(|value| value == "not-run")
        || headers.contains_key(plat::client::REFUSED_HEADER)
}
