//! Calls to a daemon's operators' address, and what may be concluded when one brings no answer.

use std::time::Duration;

use conf::api::Problem;
use model::outcome::Outcome;
use reqwest::StatusCode;
use reqwest::Url;
use reqwest::redirect::Policy;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::exit::Exit;

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an answer may take; putting a document into force waits for silent daemons.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// How long to wait before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a call did not bring what it was made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// How the command ends.
    pub exit: Exit,
    /// What the daemon said, or what is known without it.
    pub problem: Problem,
}

impl Failure {
    fn new(exit: Exit, outcome: Outcome, reason: String) -> Self {
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

/// Whether a call changes anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// It only reads.
    Reads,
    /// It changes something, and repeating it changes nothing more.
    Writes,
}

/// Calls the daemons at some addresses, in their order.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    addresses: Vec<String>,
    token: String,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Returns a failure if the library cannot be set up.
    pub fn new(addresses: Vec<String>, token: String) -> Result<Self, Failure> {
        let http = reqwest::Client::builder()
            .redirect(Policy::none())
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .build()
            .map_err(|error| Failure::new(Exit::NotDone, Outcome::NotRun, error.to_string()))?;
        Ok(Self {
            http,
            addresses,
            token,
        })
    }

    /// Reads something.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, Failure> {
        let send = |url: Url| self.http.get(url);
        self.call(path, query, Effect::Reads, send).await
    }

    /// Changes something that repeating changes no further.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Failure> {
        let send = |url: Url| self.http.post(url).json(body);
        self.call(path, &[], Effect::Writes, send).await
    }

    /// Asks one address after the other until an answer settles what became of the call.
    ///
    /// All calls of this client may be repeated: those that change something carry a name or an id
    /// by which the daemons find a repetition out.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
        effect: Effect,
        send: impl Fn(Url) -> reqwest::RequestBuilder,
    ) -> Result<T, Failure> {
        let mut last: Option<Failure> = None;
        for address in &self.addresses {
            if last.is_some() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let failure = match self.once(address, path, query, effect, &send).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let settled = !matches!(failure.exit, Exit::Unknown | Exit::Unreachable);
            let in_doubt = last.as_ref().is_some_and(|last| last.exit == Exit::Unknown);
            // After an unknown outcome only an answer settles the call, not a second silence.
            if settled {
                let mut failure = failure;
                if in_doubt && failure.problem.outcome == Outcome::NotRun {
                    failure.exit = Exit::Unknown;
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
            Failure::new(Exit::BadInput, Outcome::NotRun, reason)
        }))
    }

    async fn once<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        query: &[(&str, String)],
        effect: Effect,
        send: &impl Fn(Url) -> reqwest::RequestBuilder,
    ) -> Result<T, Failure> {
        let url = url(address, path, query)?;
        let answer = send(url).bearer_auth(&self.token).send().await;
        let answer = answer.map_err(|error| broken_off(address, effect, &error))?;
        let status = answer.status();
        let body = answer.bytes().await;
        let body = body.map_err(|error| broken_off(address, effect, &error))?;
        if status == StatusCode::OK {
            let read = serde_json::from_slice(&body);
            return read.map_err(|error| unreadable(address, effect, &error.to_string()));
        }
        let problem: Problem = serde_json::from_slice(&body)
            .map_err(|_| unreadable(address, effect, &format!("status {status}")))?;
        Err(Failure {
            exit: exit_of(status, &problem),
            problem,
        })
    }
}

fn url(address: &str, path: &str, query: &[(&str, String)]) -> Result<Url, Failure> {
    let parsed = Url::parse(&format!("http://{address}{path}"));
    let mut url = parsed.map_err(|error| {
        let reason = format!("{address} is no address: {error}");
        Failure::new(Exit::BadInput, Outcome::NotRun, reason)
    })?;
    if !query.is_empty() {
        url.query_pairs_mut().extend_pairs(query);
    }
    Ok(url)
}

fn broken_off(address: &str, effect: Effect, error: &reqwest::Error) -> Failure {
    if error.is_builder() {
        return Failure::new(Exit::BadInput, Outcome::NotRun, error.to_string());
    }
    if error.is_connect() {
        let reason = format!("{address} cannot be reached");
        return Failure::new(Exit::Unreachable, Outcome::NotRun, reason);
    }
    unreadable(address, effect, "the answer broke off")
}

fn unreadable(address: &str, effect: Effect, what: &str) -> Failure {
    let reason = format!("{address} gave no whole answer: {what}");
    match effect {
        Effect::Reads => Failure::new(Exit::Unreachable, Outcome::NotRun, reason),
        Effect::Writes => Failure::new(Exit::Unknown, Outcome::Unknown, reason),
    }
}

fn exit_of(status: StatusCode, problem: &Problem) -> Exit {
    let bad_input = [
        StatusCode::BAD_REQUEST,
        StatusCode::UNAUTHORIZED,
        StatusCode::FORBIDDEN,
        StatusCode::UNPROCESSABLE_ENTITY,
    ];
    match problem.outcome {
        Outcome::Unknown => Exit::Unknown,
        Outcome::NotRun if bad_input.contains(&status) => Exit::BadInput,
        Outcome::NotRun | Outcome::Answered => Exit::NotDone,
    }
}
