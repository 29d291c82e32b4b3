//! Responses that a daemon generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use model::outcome::Outcome;
use salvo::http::ResBody;

use super::head;
use crate::decision::Refusal;
use crate::decision::RefusalReason;

/// A response to a caller.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: ResBody,
}

impl Reply {
    /// Creates a response with an outcome and a textual reason as a JSON body.
    #[must_use]
    pub fn from_outcome(status: StatusCode, outcome: Outcome, reason: &str) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let text = serde_json::json!({ "outcome": outcome, "reason": reason }).to_string();
        Self {
            status,
            headers,
            body: ResBody::Once(Bytes::from(text)),
        }
        .outcome(outcome)
    }

    /// Creates a response to a request that was certainly not run.
    #[must_use]
    pub fn not_run(status: StatusCode, reason: &str) -> Self {
        Self::from_outcome(status, Outcome::NotRun, reason)
    }

    /// Creates a response to a request that may have been run.
    #[must_use]
    pub fn unknown(status: StatusCode, reason: &str) -> Self {
        Self::from_outcome(status, Outcome::Unknown, reason)
    }

    /// Creates the response to a request that the router has refused.
    #[must_use]
    pub fn from_refusal(refusal: &Refusal) -> Self {
        let reply = Self::not_run(status_of(refusal.reason), &refusal.reason.to_string());
        match refusal.reason {
            RefusalReason::NoRoute => reply,
            _ => reply.retry_after(refusal.retry_after),
        }
    }

    /// Sets the header with the outcome of the request.
    #[must_use]
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        let value = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.headers
            .insert(head::OUTCOME, HeaderValue::from_static(value));
        self
    }

    /// Sets the `Retry-After` header, rounded up to whole seconds.
    #[must_use]
    pub fn retry_after(mut self, duration: Duration) -> Self {
        let seconds = duration.as_secs() + u64::from(duration.subsec_nanos() > 0);
        self.headers
            .insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        self
    }
}

const fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::Overload => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
