//! A worker's agent over HTTP and JSON.

use std::time::Duration;

use model::id::Epoch;
use serde::Deserialize;
use serde::Serialize;

use super::WorkerError;
use super::WorkerReport;
use super::WorkerRequest;
use super::Workers;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::PostRequest;

/// The path of [`Workers::send`].
pub const MESSAGE_PATH: &str = "/v1/worker/message";

/// The answer of an agent that obeys a higher epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedResponse {
    /// The epoch that it obeys.
    pub epoch: Epoch,
}

/// The limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How long one call may take.
    pub timeout: Duration,
    /// The largest answer that is read, in bytes.
    pub max_response_bytes: usize,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            timeout: super::CALL_TIMEOUT,
            max_response_bytes: super::MAX_RESPONSE_BYTES,
        }
    }
}

/// Makes the call of the workers' agents.
#[must_use]
pub fn http(client: &Client, limits: CallLimits) -> Workers {
    let client = client.clone();
    Workers {
        send: call(move |to| {
            let client = client.clone();
            async move { exchange(&client, limits, to).await }
        }),
    }
}

async fn exchange(
    client: &Client,
    limits: CallLimits,
    to: WorkerRequest,
) -> Result<WorkerReport, WorkerError> {
    let endpoint = Endpoint::new(to.address, limits.timeout, limits.max_response_bytes);
    let answer = client
        .post(&endpoint, PostRequest::new(MESSAGE_PATH, &to.message))
        .await?;
    if answer.is_ok() {
        return Ok(answer.json()?);
    }
    if answer.is_conflict() {
        let FencedResponse { epoch } = answer.json()?;
        return Err(WorkerError::Fenced { epoch });
    }
    Err(answer.failure().into())
}
