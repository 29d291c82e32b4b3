//! Ties each message to the report that it follows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use model::Map;
use model::time::millis;
use tokio::time::Instant;

use super::Addressed;
use super::STALE;
use super::WorkerError;
use super::WorkerReport;
use super::Workers;
use crate::call::Call;
use crate::call::call;
use crate::error::CallError;

/// How much a span in whole milliseconds may fall short of the true one.
const CLOCK_STEP_MS: u64 = 1;

/// A message and the report that it follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Following {
    /// The message and where it goes.
    pub to: Addressed,
    /// The sequence number of the last report that came from there.
    pub after: Option<u64>,
}

/// Makes the call of the workers' agents from one that carries the report followed.
///
/// An agent counts the lease from when it sent the report that the message names. A message that
/// was long under way, or lay unread while the agent was paused, thus never grants more than its
/// sender counted with, although no clocks are compared. Where no report is known, or none that the
/// agent still goes by, a message that grants nothing fetches one first; as that report is younger
/// than the call, the lease granted then is shorter by the time that the call has taken already.
#[must_use]
pub fn follow(exchange: Call<Following, Result<WorkerReport, WorkerError>>) -> Workers {
    let reports = Reports::default();
    Workers {
        send: call(move |to| send(exchange.clone(), reports.clone(), to)),
    }
}

async fn send(
    exchange: Call<Following, Result<WorkerReport, WorkerError>>,
    reports: Reports,
    to: Addressed,
) -> Result<WorkerReport, WorkerError> {
    let address = to.address;
    let begun = Instant::now();
    let mut answer = Err(stale());
    if let Some(after) = reports.last(address) {
        answer = exchange(following(to.clone(), Some(after))).await;
    }
    if answer == Err(stale()) {
        answer = send_after_first_report(&exchange, to, begun).await;
    }
    match &answer {
        Ok(report) => reports.note(address, report.sequence),
        Err(_) => reports.forget(address),
    }
    answer
}

async fn send_after_first_report(
    exchange: &Call<Following, Result<WorkerReport, WorkerError>>,
    mut to: Addressed,
    begun: Instant,
) -> Result<WorkerReport, WorkerError> {
    let hello = Addressed {
        address: to.address,
        message: to.message.without_grant(),
    };
    let report = exchange(following(hello, None)).await?;
    let taken_ms = millis(begun.elapsed()) + CLOCK_STEP_MS;
    to.message.lease_ms = to.message.lease_ms.saturating_sub(taken_ms);
    exchange(following(to, Some(report.sequence))).await
}

const fn following(to: Addressed, after: Option<u64>) -> Following {
    Following { to, after }
}

fn stale() -> WorkerError {
    CallError::Refused(STALE.to_owned()).into()
}

/// The number of the last report of each worker.
#[derive(Clone, Debug, Default)]
struct Reports(Arc<Mutex<Map<SocketAddr, u64>>>);

impl Reports {
    fn last(&self, address: SocketAddr) -> Option<u64> {
        self.lock().get(&address).copied()
    }

    fn note(&self, address: SocketAddr, sequence: u64) {
        let mut last = self.lock();
        let known = last.entry(address).or_default();
        *known = sequence.max(*known);
    }

    fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
