//! The agents of the workers over HTTP and JSON.

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

/// The response of an agent that has seen a higher epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedResponse {
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
}

/// The limits of a call to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The timeout of a call, from its start to the last byte of the response.
    pub timeout: Duration,
    /// The largest accepted response body, in bytes.
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

/// Creates the interface to the workers' agents.
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
    let response = client
        .post(&endpoint, PostRequest::new(MESSAGE_PATH, &to.message))
        .await?;
    if response.is_ok() {
        return Ok(response.json()?);
    }
    if response.is_conflict() {
        let FencedResponse { epoch } = response.json()?;
        return Err(WorkerError::Fenced { epoch });
    }
    Err(response.failure().into())
}
