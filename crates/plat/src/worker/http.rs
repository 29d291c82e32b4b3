//! A worker's agent over HTTP and JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use model::Map;
use model::id::Epoch;
use serde::Deserialize;
use serde::Serialize;

use super::Addressed;
use super::WorkerError;
use super::WorkerMessage;
use super::WorkerReport;
use super::Workers;
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

/// The sequence number of the last report of each worker.
#[derive(Clone, Debug, Default)]
pub struct LastReports(Arc<Mutex<Map<SocketAddr, u64>>>);

impl LastReports {
    /// Returns the number of the last report that came from `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<u64> {
        self.lock().get(&address).copied()
    }

    /// Notes a report, or forgets the last one so that the next message asks for a new one first.
    pub fn note(&self, address: SocketAddr, sequence: Option<u64>) {
        match sequence {
            Some(sequence) => {
                let mut last = self.lock();
                let known = last.entry(address).or_default();
                *known = sequence.max(*known);
            }
            None => {
                self.lock().remove(&address);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the call of the workers' agents.
///
/// Each message names the last report that came from the worker, from whose sending the agent
/// counts the lease. A message that was long under way thus never grants more than its sender
/// counted with. Where no report is known, an empty message fetches one first.
#[must_use]
pub fn http(client: &Client, bounds: Bounds) -> Workers {
    let client = client.clone();
    let reports = LastReports::default();
    Workers {
        send: call(move |to| send(client.clone(), reports.clone(), bounds, to)),
    }
}

async fn send(
    client: Client,
    reports: LastReports,
    bounds: Bounds,
    to: Addressed,
) -> Result<WorkerReport, WorkerError> {
    let endpoint = Endpoint::new(to.address, bounds.deadline, bounds.max_answer_bytes);
    let after = match reports.get(to.address) {
        Some(after) => after,
        None => {
            let hello = to.message.without_grant();
            exchange(&client, &endpoint, &hello, None).await?.sequence
        }
    };
    let answer = exchange(&client, &endpoint, &to.message, Some(after)).await;
    reports.note(
        to.address,
        answer.as_ref().ok().map(|report| report.sequence),
    );
    answer
}

async fn exchange(
    client: &Client,
    endpoint: &Endpoint,
    message: &WorkerMessage,
    after: Option<u64>,
) -> Result<WorkerReport, WorkerError> {
    let mut post = Post::new(MESSAGE_PATH, message);
    if let Some(after) = after {
        post = post.header(AFTER_REPORT, after.to_string());
    }
    let answer = client.post(endpoint, post).await?;
    if answer.is_ok() {
        return Ok(answer.json()?);
    }
    if answer.is_conflict() {
        let FencedAnswer { epoch } = answer.json()?;
        return Err(WorkerError::Fenced { epoch });
    }
    Err(answer.failure().into())
}
