//! The heads of requests and answers: what callers say, and what is handed on.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use model::id::DocVersion;

use super::config::ProxyLimits;
use super::reply::Reply;
use crate::decision::RouteRequest;

/// The caller's id of a request, told again with the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("ff-request-id");
/// Whether a request is idempotent: `true` or `false`.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("ff-idempotent");
/// How long the caller waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("ff-deadline-ms");
/// Who the caller is.
pub const CALLER: HeaderName = HeaderName::from_static("ff-caller");
/// What became of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("ff-outcome");
/// Which executor answered.
pub const EXECUTOR: HeaderName = HeaderName::from_static("ff-executor");
/// How often daemons have passed a request on.
pub const HOPS: HeaderName = HeaderName::from_static("ff-hops");
/// The version of the document at the daemon that passed a request on.
pub const VERSION: HeaderName = HeaderName::from_static("ff-version");

/// Told by a daemon that passes a request on: its id was made up by a daemon, not by the caller.
pub const ASSIGNED_ID: HeaderName = HeaderName::from_static("ff-assigned-id");
/// Told to a daemon that passed a request on: it had to wait for a slot.
pub const WAITED: HeaderName = HeaderName::from_static("ff-waited");

/// The most characters of a request id or a caller's name.
const MAX_ID_LENGTH: usize = 128;

/// Headers that concern one connection only and are never handed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What a caller says about its request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id, if it gave one.
    pub id: Option<String>,
    /// The id that another daemon made up for it.
    pub assigned_id: Option<String>,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// What the router needs to know.
    pub route_request: RouteRequest,
    /// The length of the body, where it is told in advance.
    pub length: Option<u64>,
}

impl RequestHead {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal, always as not run, if a header cannot be understood or is too large.
    pub fn parse(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        limits: &ProxyLimits,
    ) -> Result<Self, Box<Reply>> {
        let size: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if size > limits.max_head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(refusal(status, "the headers are too large"));
        }
        if *method == Method::CONNECT || headers.contains_key(header::UPGRADE) {
            return Err(bad("neither CONNECT nor an upgrade is served"));
        }
        let length = number(headers, &header::CONTENT_LENGTH)?;
        if length.is_some_and(|length| length > limits.max_body_bytes) {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(refusal(status, "the body is too large"));
        }
        let timeout = number(headers, &DEADLINE_MS)?
            .map(|ms| Duration::from_millis(ms).min(limits.max_deadline));
        if timeout.is_some_and(|timeout| timeout.is_zero()) {
            return Err(bad("ff-deadline-ms is not above 0"));
        }
        let hops = number(headers, &HOPS)?.unwrap_or_default();
        let id = name(headers, &REQUEST_ID)?;
        let (id, assigned_id) = if headers.contains_key(ASSIGNED_ID) {
            (None, id)
        } else {
            (id, None)
        };
        Ok(Self {
            id,
            assigned_id,
            idempotent: idempotent(method, headers)?,
            route_request: RouteRequest {
                path: path.to_owned(),
                caller: name(headers, &CALLER)?,
                timeout,
                hops: u8::try_from(hops).unwrap_or(u8::MAX),
                version: DocVersion(number(headers, &VERSION)?.unwrap_or_default()),
            },
            length,
        })
    }
}

fn refusal(status: StatusCode, reason: &str) -> Box<Reply> {
    Box::new(Reply::not_run(status, reason))
}

fn bad(reason: &str) -> Box<Reply> {
    refusal(StatusCode::BAD_REQUEST, reason)
}

fn single<'a>(headers: &'a HeaderMap, key: &HeaderName) -> Result<Option<&'a str>, Box<Reply>> {
    let mut values = headers.get_all(key).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    match (first.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text)),
        _ => Err(bad(&format!("{key} is given twice or is not text"))),
    }
}

fn number(headers: &HeaderMap, key: &HeaderName) -> Result<Option<u64>, Box<Reply>> {
    single(headers, key)?
        .map(|text| text.parse())
        .transpose()
        .map_err(|_| bad(&format!("{key} is not a number")))
}

fn name(headers: &HeaderMap, key: &HeaderName) -> Result<Option<String>, Box<Reply>> {
    let Some(text) = single(headers, key)? else {
        return Ok(None);
    };
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:".contains(&byte);
    if text.is_empty() || text.len() > MAX_ID_LENGTH || !text.bytes().all(plain) {
        return Err(bad(&format!(
            "{key} is not 1 to {MAX_ID_LENGTH} letters, digits or any of - . _ :"
        )));
    }
    Ok(Some(text.to_owned()))
}

fn idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, Box<Reply>> {
    match single(headers, &IDEMPOTENT)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(bad("ff-idempotent is neither true nor false")),
        None => Ok(method.is_idempotent()),
    }
}

/// Removes the headers that concern one connection only, those named by `Connection` included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Sets a header to a text that is known to be printable, and leaves it out otherwise.
pub fn set(headers: &mut HeaderMap, key: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(key, value);
    }
}
