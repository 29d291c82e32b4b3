//! A caller's request in the form in which it is sent to executors and peers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use model::Mono;
use model::id::DocVersion;
use salvo::http::ReqBody;

use super::body::RequestBody;
use super::config::ProxyLimits;
use super::head;
use super::head::RequestHead;
use super::reply::Reply;

/// Body of a request before it is sent.
enum BodySource {
    /// A buffered body that can be sent any number of times.
    Buffered(Bytes),
    /// A streamed body, `None` once it was sent, and the number of bytes that it may have.
    Stream(Option<ReqBody>, u64),
}

/// A caller's request.
pub(super) struct CallerRequest {
    pub(super) head: RequestHead,
    /// Id of the request, which the response has to repeat.
    pub(super) id: String,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    source: BodySource,
}

impl CallerRequest {
    /// Receives a request. A small body of known length is buffered, so that a slow caller occupies
    /// no slot and the request can be sent again.
    pub(super) async fn receive(
        req: &mut salvo::Request,
        limits: &ProxyLimits,
        generate_id: impl FnOnce() -> String,
    ) -> Result<Self, Box<Reply>> {
        let head = RequestHead::parse(req.method(), req.uri().path(), req.headers(), limits)?;
        let method = req.method().clone();
        let uri = req.uri().clone();
        let mut headers = req.headers().clone();
        head::strip_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        if !headers.contains_key(header::HOST)
            && let Some(authority) = uri.authority()
        {
            head::set(&mut headers, header::HOST, authority.as_str());
        }
        let known_id = head.id.clone().or_else(|| head.assigned_id.clone());
        let id = known_id.unwrap_or_else(generate_id);
        head::set(&mut headers, head::REQUEST_ID, &id);
        let source = read_body(req.take_body(), head.length, limits).await?;
        Ok(Self {
            head,
            id,
            method,
            uri,
            headers,
            source,
        })
    }

    /// Returns whether the request may be sent again although it may have been run.
    pub(super) fn is_replayable(&self) -> bool {
        self.head.idempotent && matches!(self.source, BodySource::Buffered(_))
    }

    /// Builds the request for an executor, or returns `None` if the body was already sent.
    pub(super) fn for_executor(&mut self, remaining: Duration) -> Option<Request<RequestBody>> {
        self.build(remaining, |headers| {
            headers.remove(head::HOPS);
            headers.remove(head::VERSION);
            headers.remove(head::ASSIGNED_ID);
        })
    }

    /// Builds the request for another daemon, or returns `None` if the body was already sent.
    pub(super) fn for_peer(
        &mut self,
        remaining: Duration,
        version: DocVersion,
    ) -> Option<Request<RequestBody>> {
        let hops = self.head.route_request.hops.saturating_add(1);
        let version = version.max(self.head.route_request.version);
        let assigned_id = self.head.id.is_none();
        self.build(remaining, |headers| {
            headers.insert(head::HOPS, u64::from(hops).into());
            headers.insert(head::VERSION, version.0.into());
            if assigned_id {
                head::set(headers, head::ASSIGNED_ID, "true");
            }
        })
    }

    fn build(
        &mut self,
        remaining: Duration,
        adapt: impl FnOnce(&mut HeaderMap),
    ) -> Option<Request<RequestBody>> {
        let body = match &mut self.source {
            BodySource::Buffered(bytes) if bytes.is_empty() => RequestBody::Empty,
            BodySource::Buffered(bytes) => RequestBody::Full(bytes.clone()),
            BodySource::Stream(body, left) => RequestBody::Stream {
                body: body.take()?,
                left: *left,
            },
        };
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(body)
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let ms = model::time::millis(remaining).max(1);
        headers.insert(head::DEADLINE_MS, ms.into());
        adapt(headers);
        Some(request)
    }

    /// Takes back the body of a request that was not sent.
    pub(super) fn recover(&mut self, request: Option<Box<Request<RequestBody>>>) {
        if let (BodySource::Stream(slot, left), Some(request)) = (&mut self.source, request)
            && let RequestBody::Stream { body, left: rest } = request.into_body()
        {
            *slot = Some(body);
            *left = rest;
        }
    }

    /// Returns whether the body is available for another send.
    pub(super) const fn has_body(&self) -> bool {
        !matches!(self.source, BodySource::Stream(None, _))
    }
}

async fn read_body(
    body: ReqBody,
    length: Option<u64>,
    limits: &ProxyLimits,
) -> Result<BodySource, Box<Reply>> {
    use http_body::Body;
    if body.is_end_stream() {
        return Ok(BodySource::Buffered(Bytes::new()));
    }
    if length.is_none_or(|length| length > limits.max_replay_bytes) {
        return Ok(BodySource::Stream(Some(body), limits.max_body_bytes));
    }
    let limit = usize::try_from(limits.max_replay_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(limits.body_read_timeout, collected).await {
        Ok(Ok(collected)) => Ok(BodySource::Buffered(collected.to_bytes())),
        Ok(Err(error)) => Err(broken_body(is_timeout(error.as_ref()))),
        Err(_) => Err(broken_body(true)),
    }
}

fn is_timeout(error: &(dyn std::error::Error + Send + Sync + 'static)) -> bool {
    error
        .downcast_ref::<io::Error>()
        .is_some_and(|error| error.kind() == io::ErrorKind::TimedOut)
}

fn broken_body(timed_out: bool) -> Box<Reply> {
    let status = if timed_out {
        StatusCode::REQUEST_TIMEOUT
    } else {
        StatusCode::BAD_REQUEST
    };
    let reason = "the body did not arrive whole";
    Box::new(Reply::not_run(status, reason))
}

/// Returns the time from `now` to `deadline`.
pub(super) fn remaining(deadline: Mono, now: Mono) -> Duration {
    deadline.since(now)
}
