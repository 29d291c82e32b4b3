//! Calls to the operator API of the daemons, and the outcome of calls without a valid response.

use std::time::Duration;

use conf::api::Problem;
use model::outcome::Outcome;
use reqwest::StatusCode;
use reqwest::Url;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::exit::ExitStatus;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a response; it is long because `apply` waits for unresponsive daemons.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a call is repeated at the next address.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The reason why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFailure {
    /// The exit status of the command.
    pub exit: ExitStatus,
    /// The problem that the daemon returned, or that the client derived without a response.
    pub problem: Problem,
}

impl CallFailure {
    fn new(exit: ExitStatus, outcome: Outcome, reason: String) -> Self {
        Self {
            exit,
            problem: Problem {
                outcome,
                reason,
                retry_after_ms: None,
                findings: Vec::new(),
            },
        }
    }
}

/// Whether a call changes state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// The call only reads.
    Reads,
    /// The call changes state and is idempotent.
    Writes,
}

/// A client that tries several daemon addresses in order.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    token: String,
}

impl Client {
    /// Creates a client for these addresses, which sends the operator token with each call.
    ///
    /// # Errors
    ///
    /// Returns a failure if the HTTP client cannot be set up.
    pub fn new(addresses: Vec<String>, token: String) -> Result<Self, CallFailure> {
        let http = reqwest::Client::builder()
            .redirect(Policy::none())
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .build()
            .map_err(|error| {
                CallFailure::new(ExitStatus::NotDone, Outcome::NotRun, error.to_string())
            })?;
        Ok(Self {
            http,
            addresses,
            token,
        })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CallFailure> {
        let send = |url: Url| self.http.get(url);
        self.call(path, query, Effect::Reads, send).await
    }

    /// Sends an idempotent POST request.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no valid response.
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CallFailure> {
        let send = |url: Url| self.http.post(url).json(body);
        self.call(path, &[], Effect::Writes, send).await
    }

    /// Tries one address after the other until a response determines the outcome of the call.
    ///
    /// All calls of this client may be repeated: those that change state carry a name or an ID by
    /// which the daemons recognise a repetition.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
        effect: Effect,
        send: impl Fn(Url) -> reqwest::RequestBuilder,
    ) -> Result<T, CallFailure> {
        let mut last: Option<CallFailure> = None;
        for address in &self.addresses {
            if last.is_some() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let failure = match self.call_address(address, path, query, effect, &send).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let definite = !matches!(failure.exit, ExitStatus::Unknown | ExitStatus::Unreachable);
            let in_doubt = last
                .as_ref()
                .is_some_and(|last| last.exit == ExitStatus::Unknown);
            // Once an outcome is unknown, a refusal by another daemon does not prove that the call
            // had no effect, and a further call without a response proves nothing.
            if definite {
                let mut failure = failure;
                if in_doubt && failure.problem.outcome == Outcome::NotRun {
                    failure.exit = ExitStatus::Unknown;
                    failure.problem.outcome = Outcome::Unknown;
                }
                return Err(failure);
            }
            if !in_doubt {
                last = Some(failure);
            }
        }
        Err(last.unwrap_or_else(|| {
            let reason = "no address was given".to_owned();
            CallFailure::new(ExitStatus::BadInput, Outcome::NotRun, reason)
        }))
    }

    async fn call_address<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        query: &[(&str, String)],
        effect: Effect,
        send: &impl Fn(Url) -> reqwest::RequestBuilder,
    ) -> Result<T, CallFailure> {
        let url = build_url(address, path, query)?;
        let response = send(url).bearer_auth(&self.token).send().await;
        let response = response.map_err(|error| transport_failure(address, effect, &error))?;
        let status = response.status();
        let body = response.bytes().await;
        let body = body.map_err(|error| transport_failure(address, effect, &error))?;
        if status == StatusCode::OK {
            let read = serde_json::from_slice(&body);
            return read.map_err(|error| incomplete_response(address, effect, &error.to_string()));
        }
        let problem: Problem = serde_json::from_slice(&body)
            .map_err(|_| incomplete_response(address, effect, &format!("status {status}")))?;
        Err(CallFailure {
            exit: exit_for(status, &problem),
            problem,
        })
    }
}

fn build_url(address: &str, path: &str, query: &[(&str, String)]) -> Result<Url, CallFailure> {
    let parsed = Url::parse(&format!("http://{address}{path}"));
    let mut url = parsed.map_err(|error| {
        let reason = format!("{address} is not a valid address: {error}");
        CallFailure::new(ExitStatus::BadInput, Outcome::NotRun, reason)
    })?;
    if !query.is_empty() {
        url.query_pairs_mut().extend_pairs(query);
    }
    Ok(url)
}

fn transport_failure(address: &str, effect: Effect, error: &reqwest::Error) -> CallFailure {
    if error.is_builder() {
        return CallFailure::new(ExitStatus::BadInput, Outcome::NotRun, error.to_string());
    }
    if error.is_connect() {
        let reason = format!("{address} cannot be reached");
        return CallFailure::new(ExitStatus::Unreachable, Outcome::NotRun, reason);
    }
    incomplete_response(
        address,
        effect,
        "the connection broke before the response was complete",
    )
}

fn incomplete_response(address: &str, effect: Effect, detail: &str) -> CallFailure {
    let reason = format!("{address} returned no valid response: {detail}");
    match effect {
        Effect::Reads => CallFailure::new(ExitStatus::Unreachable, Outcome::NotRun, reason),
        Effect::Writes => CallFailure::new(ExitStatus::Unknown, Outcome::Unknown, reason),
    }
}

fn exit_for(status: StatusCode, problem: &Problem) -> ExitStatus {
    let bad_input = [
        StatusCode::BAD_REQUEST,
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
        StatusCode::UNPROCESSABLE_ENTITY,
    ];
    match problem.outcome {
        Outcome::Unknown => ExitStatus::Unknown,
        Outcome::NotRun if bad_input.contains(&status) => ExitStatus::BadInput,
        Outcome::NotRun | Outcome::Answered => ExitStatus::NotDone,
    }
}
