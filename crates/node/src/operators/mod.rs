//! The HTTP server for operators: the API of [`conf::api`], readiness, and the console.
//!
//! Every path of the API except readiness requires the operator token from the settings, which is
//! compared in constant time. The size of request bodies is limited. Invalid requests get an error
//! response and never terminate the daemon.

pub mod commands;
pub mod queries;
pub mod wait_reasons;

use std::sync::Arc;

use conf::api;
use conf::api::Problem;
use http::Method;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use model::id::TaskId;
use model::id::WorkerId;
use model::outcome::Outcome;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;

use crate::console;
use crate::console::Console;
use crate::context::DaemonContext;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The maximum length of a task or worker name in a path, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The request handler for the operators' address.
#[derive(Clone)]
pub struct Operators {
    /// The state that the components of the daemon share.
    pub cx: Arc<DaemonContext>,
    /// Cancelled when an operator requests that the daemon drains.
    pub drain: CancellationToken,
    console: Console,
}

/// The JSON body of a successful API response, or an error.
pub type ApiResult = Result<Value, ApiError>;

/// An error response of the API.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// The JSON body, which states the outcome and the reason.
    pub problem: Problem,
}

impl ApiError {
    /// Creates an error for a request that was certainly not executed.
    #[must_use]
    pub fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, reason)
    }

    /// Creates an error with status 502 for a request that may or may not have been executed.
    #[must_use]
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, reason)
    }

    /// Creates an error with status 503 for a request that was not executed and may be retried
    /// after the given delay.
    #[must_use]
    pub fn retry_later(reason: impl Into<String>, retry_after_ms: u64) -> Self {
        let mut error = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        error.problem.retry_after_ms = Some(retry_after_ms);
        error
    }

    fn new(status: StatusCode, outcome: Outcome, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        let problem = Problem {
            outcome,
            reason,
            retry_after_ms: None,
            findings: Vec::new(),
        };
        Self { status, problem }
    }
}

/// Serializes a response as JSON.
///
/// # Errors
///
/// Returns an error if serialization fails, which does not occur for the types of the API.
pub fn to_json<T: Serialize>(answer: &T) -> ApiResult {
    serde_json::to_value(answer).map_err(|error| ApiError::unknown(error.to_string()))
}

#[async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == api::READY {
            return self.ready(res);
        }
        if console::is_console_path(req.uri().path()) {
            return self.console.handle(req, res).await;
        }
        let answered = match self.is_authorized(req) {
            true => self.dispatch(req).await,
            false => Err(ApiError::not_run(
                StatusCode::UNAUTHORIZED,
                "the token is missing or wrong",
            )),
        };
        write_response(res, answered);
    }
}

impl Operators {
    /// Creates a handler whose console has no sessions.
    #[must_use]
    pub fn new(cx: Arc<DaemonContext>, drain: CancellationToken) -> Self {
        let console = Console::new(cx.clone());
        Self { cx, drain, console }
    }

    fn ready(&self, res: &mut Response) {
        let ready = self.cx.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        res.status_code(status);
        res.render(if ready { "ready\n" } else { "not ready\n" });
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let header = req
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        token.is_some_and(|token| is_operator_token(&self.cx, token))
    }

    async fn dispatch(&self, req: &mut Request) -> ApiResult {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let get = method == Method::GET;
        let post = method == Method::POST;
        match path.as_str() {
            api::DOCUMENT if get => to_json(&queries::document(&self.cx)?),
            api::STATUS if get => to_json(&queries::status(&self.cx).await),
            api::DUMP if get => queries::dump(&self.cx).await,
            api::TASKS if get => to_json(&queries::tasks(&self.cx, &parse_query(req)?).await?),
            api::CHECK if post => {
                let req: api::CheckRequest = parse_body(req).await?;
                to_json(&queries::check(&self.cx, &req.text))
            }
            api::APPLY if post => commands::apply(&self.cx, parse_body(req).await?).await,
            api::TASKS if post => commands::submit(&self.cx, parse_body(req).await?).await,
            api::DRAIN if post => {
                let _: api::DrainRequest = parse_body(req).await?;
                self.drain.cancel();
                to_json(&api::Done {
                    message: "draining".into(),
                })
            }
            path if post => self.dispatch_named(path).await,
            _ => Err(unknown_path(&method, &path)),
        }
    }

    /// Handles POST requests to paths that contain the name of a task or a worker.
    async fn dispatch_named(&self, path: &str) -> ApiResult {
        let between = |start: &str, end: &str| {
            let name = path.strip_prefix(start)?.strip_suffix(end)?;
            let valid = !name.is_empty() && !name.contains('/') && name.len() <= MAX_NAME_BYTES;
            valid.then(|| name.to_owned())
        };
        if let Some(task) = between("/v1/tasks/", "/cancel") {
            return commands::cancel(&self.cx, TaskId::from(task)).await;
        }
        if let Some(worker) = between("/v1/workers/", "/lost") {
            return commands::worker_lost(&self.cx, WorkerId::from(worker)).await;
        }
        Err(unknown_path(&Method::POST, path))
    }
}

/// Returns whether this is the operator token. The comparison takes constant time, so that its
/// duration does not reveal how much of a guess is right.
#[must_use]
pub fn is_operator_token(cx: &DaemonContext, token: &str) -> bool {
    let expected = cx.settings.operator_token.as_bytes();
    bool::from(token.as_bytes().ct_eq(expected))
}

fn unknown_path(method: &Method, path: &str) -> ApiError {
    ApiError::not_run(
        StatusCode::NOT_FOUND,
        format!("there is no {method} {path}"),
    )
}

async fn parse_body<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let bytes = req
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            let reason =
                format!("the body cannot be read, at most {MAX_BODY_BYTES} bytes: {error}");
            ApiError::not_run(StatusCode::BAD_REQUEST, reason)
        })?;
    let bytes: &[u8] = if bytes.is_empty() { b"{}" } else { bytes };
    serde_json::from_slice(bytes).map_err(|error| {
        ApiError::not_run(
            StatusCode::BAD_REQUEST,
            format!("the body is not as expected: {error}"),
        )
    })
}

fn parse_query<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    req.parse_queries().map_err(|error| {
        ApiError::not_run(
            StatusCode::BAD_REQUEST,
            format!("the query is not as expected: {error}"),
        )
    })
}

fn write_response(res: &mut Response, answered: ApiResult) {
    let (status, text) = match answered {
        Ok(answer) => (StatusCode::OK, answer.to_string()),
        Err(error) => {
            if error.status == StatusCode::UNAUTHORIZED {
                res.headers_mut()
                    .insert(WWW_AUTHENTICATE, http::HeaderValue::from_static("Bearer"));
            }
            if let Some(ms) = error.problem.retry_after_ms {
                res.headers_mut()
                    .insert(RETRY_AFTER, ms.div_ceil(1000).into());
            }
            (
                error.status,
                serde_json::to_string(&error.problem).unwrap_or_default(),
            )
        }
    };
    res.status_code(status);
    res.headers_mut().insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    res.body(text);
}
