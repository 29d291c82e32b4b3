//! A client of the operators' API for the quick start, the tests and the measurements.

use std::net::SocketAddr;
use std::time::Duration;

use conf::api;
use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::api::Problem;
use conf::api::StatusView;
use conf::api::Submission;
use conf::api::TaskPage;
use conf::api::TaskView;
use derive_more::Display;
use derive_more::Error;
use model::id::OpId;
use model::id::TaskId;
use model::outcome::Outcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::system::TOKEN;
use crate::system::wait_until;

/// A request that failed.
#[derive(Clone, Debug, Display, Error)]
#[display("{outcome}: {reason}")]
pub struct RequestError {
    /// Whether the request was run, as far as it is known.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: String,
}

/// Applies a document through one daemon and waits until it is in force on all daemons.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn apply(to: SocketAddr, op: &str, text: &str) -> Result<ApplyReply, RequestError> {
    let req = ApplyRequest {
        op: OpId::from(op),
        text: text.to_owned(),
        by: "quickstart".into(),
        base: None,
        without: Vec::new(),
        wait: true,
    };
    post(to, api::APPLY, &req).await
}

/// Applies a document through one daemon, repeating the request under the same operation id until it
/// is accepted.
///
/// # Panics
///
/// Panics if that does not happen within `timeout`.
pub async fn apply_until_accepted(to: SocketAddr, op: &str, text: &str, timeout: Duration) {
    let mut last_reply = String::new();
    let accepted = wait_until(timeout, async || {
        let reply = apply(to, op, text).await;
        last_reply = format!("{reply:?}");
        matches!(reply, Ok(ApplyReply::Accepted { .. }))
    });
    assert!(accepted.await, "{op} was not accepted: {last_reply}");
}

/// Submits a task.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn submit(to: SocketAddr, submission: &Submission) -> Result<TaskView, RequestError> {
    post(to, api::TASKS, submission).await
}

/// Cancels a task.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn cancel(to: SocketAddr, task: &TaskId) -> Result<api::Done, RequestError> {
    post(to, &api::cancel_path(task), &serde_json::json!({})).await
}

/// Returns the status of a daemon.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn status(to: SocketAddr) -> Result<StatusView, RequestError> {
    let url = format!("http://{to}{}", api::STATUS);
    send(http().get(url).bearer_auth(TOKEN)).await
}

/// Returns the first page of the tasks in a state.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn tasks(to: SocketAddr, state: api::TaskState) -> Result<TaskPage, RequestError> {
    let url = format!("http://{to}{}?state={}", api::TASKS, state.as_str());
    send(http().get(url).bearer_auth(TOKEN)).await
}

/// Sends a GET request to any URL of the API.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn get<T: DeserializeOwned>(url: &str) -> Result<T, RequestError> {
    send(http().get(url).bearer_auth(TOKEN)).await
}

/// Sends a POST request with a JSON body to any path of the API.
///
/// # Errors
///
/// Returns the outcome and the reason if the request fails.
pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
    to: SocketAddr,
    path: &str,
    body: &B,
) -> Result<T, RequestError> {
    send(
        http()
            .post(format!("http://{to}{path}"))
            .bearer_auth(TOKEN)
            .json(body),
    )
    .await
}

async fn send<T: DeserializeOwned>(req: reqwest::RequestBuilder) -> Result<T, RequestError> {
    let transport_error = |error: reqwest::Error| RequestError {
        outcome: if error.is_connect() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        },
        reason: error.to_string(),
    };
    let res = req.send().await.map_err(transport_error)?;
    if res.status().is_success() {
        return res.json().await.map_err(transport_error);
    }
    let problem: Problem = res.json().await.map_err(transport_error)?;
    Err(RequestError {
        outcome: problem.outcome,
        reason: problem.reason,
    })
}

fn http() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .unwrap_or_default()
}
