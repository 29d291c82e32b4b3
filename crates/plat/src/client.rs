//! The HTTP client for all calls to the platform.
//!
//! It sends each request exactly once: it follows no redirects, does not retry and ignores the
//! proxy settings of the environment. This module alone classifies failures, see "Failures" in
//! `docs/PLATFORM.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::CONTENT_TYPE;
use reqwest::redirect;
use reqwest::retry;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::error::CallError;

/// The header with the id of a request, which every response must echo.
pub const REQUEST_ID_HEADER: &str = "ff-request-id";
/// The header with which the server guarantees that it did not execute the request.
pub const REFUSED_HEADER: &str = "ff-refused";

/// The timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection stays in the pool.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of idle connections that a client of one service keeps open.
pub const MAX_IDLE_TO_SERVICE: usize = 8;
/// The number of idle connections per host that a client of many hosts keeps open.
pub const MAX_IDLE_TO_HOST: usize = 1;
/// The idle time after which the kernel sends keepalive probes, and the interval between them.
pub const TCP_KEEPALIVE: Duration = Duration::from_secs(5);
/// How long sent data may stay unacknowledged before the kernel closes the connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The address of a service with the limits of each call to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address of the service.
    pub address: SocketAddr,
    /// The timeout of a call, from its start to the last byte of the response.
    pub timeout: Duration,
    /// The largest accepted response body, in bytes.
    pub max_response_bytes: usize,
}

impl Endpoint {
    /// Creates an endpoint.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration, max_response_bytes: usize) -> Self {
        Self {
            address,
            timeout,
            max_response_bytes,
        }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the largest accepted response body, in bytes.
    #[must_use]
    pub const fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }
}

/// A POST request with a JSON body.
#[derive(Clone, Debug)]
pub struct PostRequest<'a, B> {
    /// The path, which starts with `/`.
    pub path: &'a str,
    /// The id that the response must echo; the client generates one if this is `None`.
    pub id: Option<&'a str>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, which is serialized as JSON.
    pub body: &'a B,
}

impl<'a, B> PostRequest<'a, B> {
    /// Creates a request with a generated id and without additional headers.
    pub const fn new(path: &'a str, body: &'a B) -> Self {
        Self {
            path,
            id: None,
            headers: Vec::new(),
            body,
        }
    }

    /// Sets the id that the response must echo.
    #[must_use]
    pub const fn id(mut self, id: &'a str) -> Self {
        self.id = Some(id);
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete response whose id matches its request.
#[derive(Clone, Debug)]
pub struct PostResponse {
    status: StatusCode,
    refused: Option<String>,
    body: Bytes,
}

impl PostResponse {
    /// Returns whether the request was executed (status 200).
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.status == StatusCode::OK
    }

    /// Returns whether the request conflicted with a newer state and was not executed (status 409).
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.status == StatusCode::CONFLICT
    }

    /// Deserializes the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the body violates the contract, since the request may
    /// have been executed nevertheless.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| CallError::Unknown(format!("unreadable answer: {error}")))
    }

    /// Returns the error for a response that is neither success nor conflict.
    ///
    /// Only a client error or a 503 with a reason in [`REFUSED_HEADER`] proves that the request was
    /// not executed; without the header the status may come from an intermediary after the service
    /// has executed the request.
    #[must_use]
    pub fn failure(&self) -> CallError {
        let refusal =
            self.status.is_client_error() || self.status == StatusCode::SERVICE_UNAVAILABLE;
        match &self.refused {
            Some(reason) if refusal => CallError::Refused(reason.clone()),
            _ => CallError::Unknown(format!("status {}", self.status.as_u16())),
        }
    }
}

#[derive(Debug)]
struct Pool {
    generation: u64,
    http: reqwest::Client,
}

#[derive(Debug)]
struct Inner {
    name: String,
    max_idle: usize,
    resets_on_timeout: bool,
    pool: Mutex<Pool>,
    request_count: AtomicU64,
}

/// The HTTP client of one interface; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client(Arc<Inner>);

impl Client {
    /// Creates a client for one service; generated request ids start with `name`.
    ///
    /// After a call has timed out, the client abandons all idle connections, because they may be
    /// permanently silent like the one that was used.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if the HTTP library cannot be set up.
    pub fn for_service(name: &str) -> Result<Self, CallError> {
        Self::build(name, MAX_IDLE_TO_SERVICE, true)
    }

    /// Creates a client for many hosts; generated request ids start with `name`.
    ///
    /// It keeps a single idle connection per host, so that at most one call uses a silent
    /// connection and a host that does not respond does not affect the others.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if the HTTP library cannot be set up.
    pub fn for_hosts(name: &str) -> Result<Self, CallError> {
        Self::build(name, MAX_IDLE_TO_HOST, false)
    }

    fn build(name: &str, max_idle: usize, resets_on_timeout: bool) -> Result<Self, CallError> {
        let http =
            build_http_client(max_idle).map_err(|error| CallError::Refused(error.to_string()))?;
        Ok(Self(Arc::new(Inner {
            name: name.to_owned(),
            max_idle,
            resets_on_timeout,
            pool: Mutex::new(Pool {
                generation: 0,
                http,
            }),
            request_count: AtomicU64::new(0),
        })))
    }

    /// Sends a request once and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if no connection was opened, so that nothing was sent, and
    /// [`CallError::Unknown`] if the call timed out, the connection failed, or the response is too
    /// large or belongs to another request.
    pub async fn post<B: Serialize + Sync>(
        &self,
        to: &Endpoint,
        post: PostRequest<'_, B>,
    ) -> Result<PostResponse, CallError> {
        let body = serde_json::to_vec(post.body)
            .map_err(|error| CallError::Refused(format!("unwritable request: {error}")))?;
        let id = post.id.map_or_else(|| self.next_id(), str::to_owned);
        let (generation, http) = self.pool();
        let mut req = http
            .post(format!("http://{}{}", to.address, post.path))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, &id)
            .body(body);
        for (name, value) in post.headers {
            req = req.header(name, value);
        }
        let exchange = exchange(req, &id, to.max_response_bytes);
        match timeout(to.timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                self.reset_pool(generation);
                Err(CallError::Unknown("deadline passed".to_owned()))
            }
        }
    }

    /// Sends a request like [`Client::post`], whose response must have status 200 and a JSON body.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::post`], [`PostResponse::failure`] for any other status, and
    /// the error of [`PostResponse::json`] for any other body.
    pub async fn post_for<T: DeserializeOwned, B: Serialize + Sync>(
        &self,
        to: &Endpoint,
        post: PostRequest<'_, B>,
    ) -> Result<T, CallError> {
        let response = self.post(to, post).await?;
        if !response.is_ok() {
            return Err(response.failure());
        }
        response.json()
    }

    fn next_id(&self) -> String {
        let count = self.0.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{count}", self.0.name)
    }

    fn pool(&self) -> (u64, reqwest::Client) {
        let pool = self.0.pool.lock().unwrap_or_else(PoisonError::into_inner);
        (pool.generation, pool.http.clone())
    }

    /// Replaces the connection pool of `generation`, only once even if many of its calls time out.
    fn reset_pool(&self, generation: u64) {
        let mut pool = self.0.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.0.resets_on_timeout || pool.generation != generation {
            return;
        }
        if let Ok(http) = build_http_client(self.0.max_idle) {
            pool.http = http;
            pool.generation += 1;
        }
    }
}

fn build_http_client(max_idle: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .referer(false)
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .tcp_keepalive(TCP_KEEPALIVE)
        .tcp_keepalive_interval(TCP_KEEPALIVE)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .build()
}

async fn exchange(
    req: RequestBuilder,
    id: &str,
    max_bytes: usize,
) -> Result<PostResponse, CallError> {
    let response = req.send().await.map_err(|error| {
        if error.is_connect() {
            CallError::Refused(format!("no connection: {error}"))
        } else {
            CallError::Unknown(format!("no answer: {error}"))
        }
    })?;
    if header(&response, REQUEST_ID_HEADER).as_deref() != Some(id) {
        return Err(CallError::Unknown("answer to another request".to_owned()));
    }
    let status = response.status();
    let refused = header(&response, REFUSED_HEADER);
    let body = read_body(response, max_bytes).await?;
    Ok(PostResponse {
        status,
        refused,
        body,
    })
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn read_body(mut response: Response, max_bytes: usize) -> Result<Bytes, CallError> {
    let mut body = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(chunk)) if body.len() + chunk.len() <= max_bytes => {
                body.extend_from_slice(&chunk);
            }
            Ok(Some(_)) => return Err(CallError::Unknown("answer too large".to_owned())),
            Err(error) => return Err(CallError::Unknown(format!("answer cut short: {error}"))),
        }
    }
}
