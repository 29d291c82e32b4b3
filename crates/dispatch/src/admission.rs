//! Admission control on the host that a caller asks: the estimate that the owner sent last, and
//! refusals after which no earlier write of the job can apply.
//!
//! A refusal says that the job is not and never will be stored. An earlier attempt, at any host, may
//! have sent a write that the store applies seconds later. So a refusal first replaces the row of the
//! job, which must be absent, by a marker: a late write expects an absent row and no longer applies.
//! The repeated submission reads the marker before it writes, and expects its version.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::admission::backlog::is_first_step;
use job::admission::decision::Admit;
use job::admission::decision::JobTerms;
use job::admission::decision::Verdict;
use job::admission::decision::judge;
use job::admission::estimate::AdmissionEstimate;
use job::id::JobId;
use job::spec::JobSpec;
use job::spec::StepSpec;
use link::client::TimeLimits;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::api;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::node::Node;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::rows;
use crate::rows::RefusalRecord;
use crate::store_call::StoreCall;

/// An older estimate is not used: the host accepts all jobs.
const MAX_ESTIMATE_AGE: Duration = Duration::from_millis(2_500);
/// Time limit for the owner's answer. Without one the job is accepted.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Refused callers may retry for so long after the last estimate in which jobs wait: the longest
/// `Retry-After` and the time that callers take besides.
const RETURN_PERIOD: Duration = Duration::from_secs(75);
/// How often a marker is written if the row has changed in between.
const MAX_MARKER_ATTEMPTS: usize = 3;

/// The estimate as sent to hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EstimateReport {
    /// The estimate.
    pub estimate: AdmissionEstimate,
    /// Its age, in milliseconds.
    pub age_ms: u64,
}

/// Asks the owner about a job that is hopeless by the estimate of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// Id of the job.
    pub id: JobId,
    /// What the decision depends on.
    pub terms: JobTerms,
    /// The steps with which the job begins.
    pub first_steps: Vec<StepSpec>,
}

/// The owner's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitReply {
    /// When the caller should retry, in milliseconds; `None` if the job may be stored.
    pub retry_after_ms: Option<u64>,
}

impl From<Admit> for AdmitReply {
    fn from(admit: Admit) -> Self {
        let retry_after_ms = match admit {
            Admit::Accept => None,
            Admit::Refuse { retry_after } => Some(model::time::millis(retry_after)),
        };
        Self { retry_after_ms }
    }
}

/// What a host knows about admission.
#[derive(Debug, Default)]
pub struct HostAdmission {
    /// The latest estimate and when it was made, on this host's clock.
    estimate: RefCell<Option<(AdmissionEstimate, Mono)>>,
    /// When jobs last waited by an estimate, or a marker was found.
    overloaded_at: Cell<Option<Mono>>,
}

impl HostAdmission {
    /// Records the owner's answer to a ping.
    pub fn record(&self, report: Option<EstimateReport>, now: Mono) {
        let estimate = report.map(|report| {
            let age = Duration::from_millis(report.age_ms);
            (report.estimate, now.before(age).unwrap_or(Mono::ZERO))
        });
        let waits = |(estimate, _): &(AdmissionEstimate, Mono)| !estimate.queues.is_empty();
        if estimate.as_ref().is_some_and(waits) {
            self.overloaded_at.set(Some(now));
        }
        *self.estimate.borrow_mut() = estimate;
    }

    /// Returns the estimate and its age, unless it is too old.
    #[must_use]
    pub fn estimate(&self, now: Mono) -> Option<(AdmissionEstimate, Duration)> {
        self.with_estimate(now, |estimate, age| (estimate.clone(), age))
    }

    /// Records that the marker of a refusal was found: other jobs may have been refused as well.
    pub(crate) fn record_marker(&self, now: Mono) {
        self.overloaded_at.set(Some(now));
    }

    /// Returns whether callers whose jobs were refused may retry now.
    fn expects_returns(&self, now: Mono) -> bool {
        let at = self.overloaded_at.get();
        at.is_some_and(|at| now.since(at) <= RETURN_PERIOD)
    }

    fn is_hopeless(&self, terms: &JobTerms, now: Mono) -> bool {
        let verdict = self.with_estimate(now, |estimate, age| {
            judge(estimate, terms, Duration::ZERO, age)
        });
        verdict.is_some_and(|verdict| verdict != Verdict::MayHaveValue)
    }

    /// Passes the estimate and its age to a function, unless it is too old.
    fn with_estimate<R>(
        &self,
        now: Mono,
        f: impl FnOnce(&AdmissionEstimate, Duration) -> R,
    ) -> Option<R> {
        let known = self.estimate.borrow();
        let (estimate, made_at) = known.as_ref()?;
        let age = now.since(*made_at);
        (age <= MAX_ESTIMATE_AGE).then(|| f(estimate, age))
    }
}

/// The version of the row that a submission has to expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoredRow {
    /// Nothing or the marker of a refusal, with its version.
    Free(u64),
    /// A job, or a row that cannot be read.
    Taken,
}

/// Returns what is stored under the id of a job. It is read only while refused callers may retry,
/// and counts as absent otherwise and if the store does not answer: then the write itself finds out.
pub(crate) async fn stored_row(node: &Node, id: JobId) -> StoredRow {
    if !node.admission.expects_returns(node.now()) {
        return StoredRow::Free(0);
    }
    let Ok(rows) = api::read_rows(node, id).await else {
        return StoredRow::Free(0);
    };
    let row = rows.iter().find(|row| row.key == id.as_str());
    match row {
        None => StoredRow::Free(0),
        Some(row) if rows::is_refusal(row) => StoredRow::Free(row.version),
        Some(_) => StoredRow::Taken,
    }
}

/// Refuses a job if the owner decides so. Returns when its caller should retry, or `None` if the job
/// is to be stored: it is not hopeless, the owner does not answer, or an earlier attempt may be stored.
pub(crate) async fn refuse(
    node: &Rc<Node>,
    queue: &Arc<str>,
    id: JobId,
    spec: &JobSpec,
    version: u64,
) -> Option<Duration> {
    let plan = node.plan()?;
    let terms = JobTerms::new(plan.queue(queue)?, spec)?;
    if node.owner().is_none() && !node.admission.is_hopeless(&terms, node.now()) {
        return None;
    }
    let first_steps = spec.steps.iter().filter(|step| is_first_step(step));
    let request = AdmitRequest {
        id,
        terms,
        first_steps: first_steps.cloned().collect(),
    };
    let retry_after = ask_owner(node, request).await?;
    store_marker(node, id, version).await.then_some(retry_after)
}

/// Returns when the caller should retry if the owner refuses the job.
async fn ask_owner(node: &Rc<Node>, request: AdmitRequest) -> Option<Duration> {
    let reply = if let Some(owner) = node.owner() {
        owner.admit(&request)
    } else {
        let address = api::owner_address(node)?;
        let request = PeerRequest::Admit(request);
        let limits = TimeLimits::total(OWNER_TIMEOUT);
        match peers::send(node, &address, request, limits).await? {
            PeerResponse::Admission(reply) => reply,
            _ => return None,
        }
    };
    reply.retry_after_ms.map(Duration::from_millis)
}

/// Stores the marker of a refusal. Returns whether the store confirmed it, so that no earlier write of
/// the job can apply.
async fn store_marker(node: &Node, id: JobId, mut version: u64) -> bool {
    let record = RefusalRecord {
        refused_unix_ms: (node.unix_ms)(),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return false;
    };
    for _ in 0..MAX_MARKER_ATTEMPTS {
        let transaction = Transaction {
            expect: vec![(rows::job_row_id(id), version)],
            puts: vec![(rows::job_row_id(id), value.clone())],
            removes: Vec::new(),
        };
        let result = (node.dependencies.store.commit)(transaction).await;
        node.record_store_result(
            StoreCall::Request,
            matches!(result, Ok(_) | Err(StoreError::Conflict { .. })),
        );
        match result {
            Ok(_) => return true,
            Err(StoreError::Conflict { rows }) => {
                let row = rows.iter().find(|row| row.value.is_some());
                match row {
                    None => version = 0,
                    Some(row) if rows::is_refusal(row) => version = row.version,
                    Some(_) => return false,
                }
            }
            Err(_) => return false,
        }
    }
    false
}
