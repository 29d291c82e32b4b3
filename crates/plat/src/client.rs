//! The HTTP client that all calls to the platform share.
//!
//! It sends each request once and never again: no redirects, no retries of its own, no proxies of
//! the environment. What a failure allows to conclude is decided here and nowhere else, see
//! "Failures" in `docs/PLATFORM.md`.

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

/// The header that carries a request's id, and that every answer repeats.
pub const REQUEST_ID_HEADER: &str = "ff-request-id";
/// The header by which the other side vouches that it did not carry the request out.
pub const REFUSED_HEADER: &str = "ff-refused";

/// How long a connection may take to be made.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How many idle connections are kept to the one service of an interface.
pub const MAX_IDLE_TO_SERVICE: usize = 8;
/// How many idle connections are kept to each of many hosts.
pub const MAX_IDLE_TO_HOST: usize = 1;
/// How long a connection may be quiet before the kernel probes it.
pub const TCP_KEEPALIVE: Duration = Duration::from_secs(5);
/// How long sent bytes may stay unacknowledged before the kernel gives the connection up.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Where calls go and what limits each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address.
    pub address: SocketAddr,
    /// How long one call may take from its start to the last byte of its answer.
    pub timeout: Duration,
    /// The largest body of an answer that is read, in bytes.
    pub max_response_bytes: usize,
}

impl Endpoint {
    /// Makes an endpoint.
    #[must_use]
    pub const fn new(address: SocketAddr, timeout: Duration, max_response_bytes: usize) -> Self {
        Self {
            address,
            timeout,
            max_response_bytes,
        }
    }

    /// Sets the deadline of one call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the largest body of an answer that is read, in bytes.
    #[must_use]
    pub const fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }
}

/// One request: its path, its id if the caller has one, further headers and its body.
#[derive(Clone, Debug)]
pub struct PostRequest<'a, B> {
    /// The path, starting with `/`.
    pub path: &'a str,
    /// The id that the answer must repeat; a fresh one if absent.
    pub id: Option<&'a str>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, sent as JSON.
    pub body: &'a B,
}

impl<'a, B> PostRequest<'a, B> {
    /// Makes a request with a fresh id and no further headers.
    pub const fn new(path: &'a str, body: &'a B) -> Self {
        Self {
            path,
            id: None,
            headers: Vec::new(),
            body,
        }
    }

    /// Sets the id that the answer must repeat.
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

/// A whole answer to our own request.
#[derive(Clone, Debug)]
pub struct PostResponse {
    status: StatusCode,
    refused: Option<String>,
    body: Bytes,
}

impl PostResponse {
    /// Returns whether the request was carried out.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.status == StatusCode::OK
    }

    /// Returns whether the request met a newer state and was not carried out.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.status == StatusCode::CONFLICT
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the body is not what the contract says: the request may
    /// have been carried out all the same.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| CallError::Unknown(format!("unreadable answer: {error}")))
    }

    /// Returns what an answer that is neither success nor conflict allows to conclude.
    ///
    /// Only a client error or a 503 that names its reason in [`REFUSED_HEADER`] proves that nothing was
    /// done; a bare one may come from something in between, after the request went through.
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

/// The client of one interface.
#[derive(Clone, Debug)]
pub struct Client(Arc<Inner>);

impl Client {
    /// Makes a client of one service, whose requests are marked with `name`.
    ///
    /// After a call that met its deadline it leaves all idle connections behind, because those may
    /// have gone silent for good together with the one that was used.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if the HTTP library cannot be set up.
    pub fn for_service(name: &str) -> Result<Self, CallError> {
        Self::build(name, MAX_IDLE_TO_SERVICE, true)
    }

    /// Makes a client of many hosts, whose requests are marked with `name`.
    ///
    /// It keeps a single idle connection to each, so that one call at most meets a silent one, and
    /// a host that does not answer costs the others nothing.
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

    /// Sends a request once and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Refused`] if no connection was made, so that no byte was sent, and
    /// [`CallError::Unknown`] if the deadline passed, the connection broke, or the answer is too
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
            Ok(answer) => answer,
            Err(_) => {
                self.reset_pool(generation);
                Err(CallError::Unknown("deadline passed".to_owned()))
            }
        }
    }

    fn next_id(&self) -> String {
        let count = self.0.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{count}", self.0.name)
    }

    fn pool(&self) -> (u64, reqwest::Client) {
        let pool = self.0.pool.lock().unwrap_or_else(PoisonError::into_inner);
        (pool.generation, pool.http.clone())
    }

    /// Replaces the connections of `generation`, once even if many calls on them time out.
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
