//! A worker's agent over HTTP and JSON.

use std::time::Duration;

use model::id::Epoch;
use serde::Deserialize;
use serde::Serialize;

use super::Addressed;
use super::WorkerError;
use super::WorkerReport;
use super::Workers;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::Post;

/// The path of [`Workers::send`].
pub const MESSAGE_PATH: &str = "/v1/worker/message";

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
    Workers {
        send: call(move |to| {
            let client = client.clone();
            async move { exchange(&client, bounds, to).await }
        }),
    }
}

async fn exchange(
    client: &Client,
    bounds: Bounds,
    to: Addressed,
) -> Result<WorkerReport, WorkerError> {
    let endpoint = Endpoint::new(to.address, bounds.deadline, bounds.max_answer_bytes);
    let answer = client
        .post(&endpoint, Post::new(MESSAGE_PATH, &to.message))
        .await?;
    if answer.is_ok() {
        return Ok(answer.json()?);
    }
    if answer.is_conflict() {
        let FencedAnswer { epoch } = answer.json()?;
        return Err(WorkerError::Fenced { epoch });
    }
    Err(answer.failure().into())
}
