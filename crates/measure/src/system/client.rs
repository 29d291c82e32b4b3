//! The operators' API as the quick start and the tests use it.

use std::net::SocketAddr;

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

/// A request that was not answered as asked.
#[derive(Clone, Debug, Display, Error)]
#[display("{outcome}: {reason}")]
pub struct Failed {
    /// What is known of it.
    pub outcome: Outcome,
    /// Why.
    pub reason: String,
}

/// Applies a document at one daemon and waits until it is in force everywhere.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn apply(to: SocketAddr, op: &str, text: &str) -> Result<ApplyReply, Failed> {
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

/// Submits a task.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn submit(to: SocketAddr, submission: &Submission) -> Result<TaskView, Failed> {
    post(to, api::TASKS, submission).await
}

/// Cancels a task.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn cancel(to: SocketAddr, task: &TaskId) -> Result<api::Done, Failed> {
    post(to, &api::cancel_path(task), &serde_json::json!({})).await
}

/// Returns the status of a daemon.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn status(to: SocketAddr) -> Result<StatusView, Failed> {
    let url = format!("http://{to}{}", api::STATUS);
    answer(http().get(url).bearer_auth(TOKEN)).await
}

/// Returns the tasks in a state.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn tasks(to: SocketAddr, state: api::TaskState) -> Result<TaskPage, Failed> {
    let url = format!("http://{to}{}?state={}", api::TASKS, state.as_str());
    answer(http().get(url).bearer_auth(TOKEN)).await
}

/// Gets any address of the API.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn get<T: DeserializeOwned>(url: &str) -> Result<T, Failed> {
    answer(http().get(url).bearer_auth(TOKEN)).await
}

/// Posts a body to any path of the API.
///
/// # Errors
///
/// Returns what became of the request if it was not answered.
pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(
    to: SocketAddr,
    path: &str,
    body: &B,
) -> Result<T, Failed> {
    answer(
        http()
            .post(format!("http://{to}{path}"))
            .bearer_auth(TOKEN)
            .json(body),
    )
    .await
}

async fn answer<T: DeserializeOwned>(req: reqwest::RequestBuilder) -> Result<T, Failed> {
    let unknown = |error: reqwest::Error| Failed {
        outcome: if error.is_connect() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        },
        reason: error.to_string(),
    };
    let res = req.send().await.map_err(unknown)?;
    if res.status().is_success() {
        return res.json().await.map_err(unknown);
    }
    let problem: Problem = res.json().await.map_err(unknown)?;
    Err(Failed {
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
