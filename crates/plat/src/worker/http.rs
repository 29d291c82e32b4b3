//! A worker's agent over HTTP and JSON.

use std::time::Duration;

use model::id::Epoch;
use serde::Deserialize;
use serde::Serialize;

use super::Following;
use super::WorkerError;
use super::WorkerReport;
use super::Workers;
use super::follow;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::Post;

/// The path of [`Workers::send`].
pub const MESSAGE_PATH: &str = "/v1/worker/message";
/// The header that names the report which a message follows, by its sequence number.
pub const AFTER_REPORT: &str = "ff-after-report";

/// The answer of an agent that obeys a higher epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedAnswer {
    /// The epoch that it obeys.
    pub epoch: Epoch,
}

/// The bounds of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How long one call may take.
    pub deadline: Duration,
    /// The largest answer that is read, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            deadline: super::DEADLINE,
            max_answer_bytes: super::MAX_ANSWER_BYTES,
        }
    }
}

/// Makes the call of the workers' agents.
#[must_use]
pub fn http(client: &Client, bounds: Bounds) -> Workers {
    let client = client.clone();
    follow(call(move |following| {
        let client = client.clone();
        async move { exchange(&client, bounds, following).await }
    }))
}

async fn exchange(
    client: &Client,
    bounds: Bounds,
    following: Following,
) -> Result<WorkerReport, WorkerError> {
    let Following { to, after } = following;
    let endpoint = Endpoint::new(to.address, bounds.deadline, bounds.max_answer_bytes);
    let mut post = Post::new(MESSAGE_PATH, &to.message);
    if let Some(after) = after {
        post = post.header(AFTER_REPORT, after.to_string());
    }
    let answer = client.post(&endpoint, post).await?;
    if answer.is_ok() {
        return Ok(answer.json()?);
    }
    if answer.is_conflict() {
        let FencedAnswer { epoch } = answer.json()?;
        return Err(WorkerError::Fenced { epoch });
    }
    Err(answer.failure().into())
}
