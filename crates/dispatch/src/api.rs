//! Requests of callers: submission, cancellation, state of a job, pending jobs.
//!
//! Acceptance of a job is reported only once the job is stored. A refusal states that the job has
//! not run and never will, so it is returned only when no write of the job can take effect any
//! more. While the store may still apply a write, the outcome is reported as unknown.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::record;
use job::record::SubmissionRecord;
use job::scheduler::JobState;
use job::spec::JobSpec;
use job::terms::Terms;
use link::client::TimeLimits;
use model::Map;
use model::Mono;

use crate::admission;
use crate::admission::StoredRow;
use crate::dependencies::Range;
use crate::dependencies::Row;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::events;
use crate::metrics::OutcomeLabel;
use crate::node::Node;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::rows;
use crate::rows::CancellationRecord;
use crate::store_call::StoreCall;
use crate::tombstones::RENEW_AFTER;

/// Time limit for storing a submission or a cancellation. It leaves the caller time to try another
/// host.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// A submission may use at most the caller's own deadline divided by this number.
const DEADLINE_DIVISOR: u32 = 2;
/// Time limit for reading the stored state of a job.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// A submission is refused once the store has rejected it for this long, unless an earlier attempt
/// may have been stored.
const REFUSE_AFTER: Duration = Duration::from_millis(400);
/// Delay before a write is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time limit for a request to the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Callers are refused at once, without a call to the store, if its last call failed and it has not
/// answered for this long.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Value of the `Retry-After` header of a refusal, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// How long a final state is cached; most requests for it arrive within the first seconds.
const FINAL_STATE_TTL: Duration = Duration::from_secs(20);
/// Maximum number of cached final states.
const MAX_FINAL_STATES: usize = 4_096;

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// Another job with the same id is already stored.
    NameTaken,
    /// The job is not stored and never will be.
    Refused,
    /// The job is not stored and never will be, because it could not be done while it has value.
    Overloaded {
        /// When the caller should retry, in seconds.
        retry_after_s: u64,
    },
    /// The job may have been stored, or may still be stored later.
    Unknown,
    /// This submission is not stored and never will be, because the job was cancelled before.
    Cancelled,
    /// The job is not stored because its row would be larger than the store accepts.
    TooLarge {
        /// The size of the row in bytes.
        bytes: usize,
        /// The largest size that is accepted, in bytes.
        max_bytes: usize,
    },
}

impl SubmitOutcome {
    /// Returns the value that logs and metrics show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NameTaken => "name_taken",
            Self::Refused => "store_away",
            Self::Overloaded { .. } => "overload",
            Self::Unknown => "outcome_unknown",
            Self::Cancelled => "cancelled",
            Self::TooLarge { .. } => "too_large",
        }
    }
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored.
    Accepted,
    /// No job with this id is stored, nor will a write of it that is on its way take effect.
    NoSuchJob,
    /// No job with this id is stored, and too many such cancellations arrive to store this one.
    TooMany,
    /// The store did not confirm the cancellation in time; it may still be stored.
    Unknown,
}

/// The result of looking up the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The state as reported by the owner or read from the store.
    State(JobState),
    /// No job with this id is stored.
    NoSuchJob,
    /// Neither the owner nor the store answered.
    Unknown,
}

/// Stores a job. `deadline` is how long the caller waits for an answer, or `None` if its request
/// does not state that.
pub async fn submit(
    node: &Rc<Node>,
    queue: &Arc<str>,
    id: JobId,
    spec: JobSpec,
    deadline: Option<Duration>,
) -> SubmitOutcome {
    let started = node.now();
    let record = SubmissionRecord {
        queue: queue.clone(),
        accepted_unix_ms: (node.unix_ms)(),
        spec: Arc::new(spec),
        terms: node
            .plan()
            .and_then(|plan| plan.queue(queue).map(Terms::from)),
    };
    let outcome = if node.store_is_unavailable(STORE_UNAVAILABLE_AFTER) {
        SubmitOutcome::Refused
    } else {
        // A write that is cancelled by the timeout may still take effect.
        let outcome = tokio::time::timeout(
            write_timeout(deadline),
            admit_and_store(node, id, &record, started),
        )
        .await;
        outcome.unwrap_or_else(|_| {
            node.record_store_result(StoreCall::Request, false);
            SubmitOutcome::Unknown
        })
    };
    let elapsed = node.now().since(started);
    let took = model::time::millis(elapsed);
    node.metrics
        .submission_seconds
        .observe(elapsed.as_secs_f64());
    node.metrics
        .submissions
        .get_or_create(&OutcomeLabel {
            outcome: outcome.as_str(),
        })
        .inc();
    match outcome {
        SubmitOutcome::Accepted => {
            node.final_states.borrow_mut().remove(&id);
            events::accepted(id, queue, took);
        }
        SubmitOutcome::NameTaken | SubmitOutcome::Cancelled => {
            events::refused(id, queue, outcome.as_str(), 409, took);
        }
        SubmitOutcome::Refused => events::refused(id, queue, outcome.as_str(), 503, took),
        SubmitOutcome::Overloaded { .. } => {
            events::refused(id, queue, outcome.as_str(), 429, took);
        }
        SubmitOutcome::Unknown => events::refused(id, queue, outcome.as_str(), 504, took),
        SubmitOutcome::TooLarge { .. } => events::refused(id, queue, outcome.as_str(), 400, took),
    }
    outcome
}

/// Stores a job unless it is refused. What is stored under its id is read before anything is written,
/// because only a marker that was there before may be replaced: a later one belongs to a refusal of
/// another attempt, after which the job must not be stored.
async fn admit_and_store(
    node: &Rc<Node>,
    id: JobId,
    record: &SubmissionRecord,
    started: Mono,
) -> SubmitOutcome {
    let version = match admission::stored_row(node, id).await {
        StoredRow::Free(version) => version,
        StoredRow::Taken => return store_submission(node, id, record, (0, started)).await,
    };
    let refused = admission::refuse(node, &record.queue, id, &record.spec, version).await;
    if let Some(retry_after) = refused {
        let retry_after_s = retry_after.as_millis().div_ceil(1_000);
        return SubmitOutcome::Overloaded {
            retry_after_s: u64::try_from(retry_after_s).unwrap_or(RETRY_AFTER_S),
        };
    }
    store_submission(node, id, record, (version, started)).await
}

/// Stores a job in the place of a row of this version, 0 for an absent one.
async fn store_submission(
    node: &Node,
    id: JobId,
    record: &SubmissionRecord,
    (version, started): (u64, Mono),
) -> SubmitOutcome {
    let Ok(value) = serde_json::to_vec(record) else {
        return SubmitOutcome::Refused;
    };
    let max_bytes = node.dependencies.store.max_value_bytes();
    if value.len() > max_bytes {
        return SubmitOutcome::TooLarge {
            bytes: value.len(),
            max_bytes,
        };
    }
    let mut may_be_stored = false;
    loop {
        let transaction = Transaction {
            expect: vec![
                (rows::job_row_id(id), version),
                (rows::cancellation_row_id(id), 0),
            ],
            puts: vec![(rows::job_row_id(id), value.clone())],
            removes: Vec::new(),
        };
        let result = (node.dependencies.store.commit)(transaction).await;
        node.record_store_result(
            StoreCall::Request,
            matches!(result, Ok(_) | Err(StoreError::Conflict { .. })),
        );
        match result {
            Ok(_) => return SubmitOutcome::Accepted,
            Err(StoreError::Conflict { rows }) if rows.iter().any(rows::is_refusal) => {
                node.admission.record_marker(node.now());
                return SubmitOutcome::Overloaded {
                    retry_after_s: RETRY_AFTER_S,
                };
            }
            Err(StoreError::Conflict { rows }) => return compare_with_stored(id, &rows, record),
            Err(StoreError::Unanswered) => may_be_stored = true,
            // The store would reject the same write again.
            Err(StoreError::Protocol) if !may_be_stored => return SubmitOutcome::Refused,
            Err(StoreError::Protocol) => {}
            Err(StoreError::Refused | StoreError::HistoryGone) => {}
        }
        if !may_be_stored && node.now().since(started) > REFUSE_AFTER {
            return SubmitOutcome::Refused;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn write_timeout(deadline: Option<Duration>) -> Duration {
    deadline.map_or(WRITE_TIMEOUT, |deadline| {
        WRITE_TIMEOUT.min(deadline / DEADLINE_DIVISOR)
    })
}

/// Compares a submission with the job stored under its id: an identical job counts as accepted, so
/// that callers can safely submit again.
fn compare_with_stored(id: JobId, rows: &[Row], record: &SubmissionRecord) -> SubmitOutcome {
    let stored = rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| serde_json::from_slice::<SubmissionRecord>(value).ok());
    match stored {
        Some(stored) if stored.spec == record.spec => SubmitOutcome::Accepted,
        Some(_) => SubmitOutcome::NameTaken,
        None if has_row(rows, &rows::cancellation_row_id(id).key) => SubmitOutcome::Cancelled,
        None => SubmitOutcome::Unknown,
    }
}

fn has_row(rows: &[Row], key: &str) -> bool {
    rows.iter().any(|row| row.key == key && row.value.is_some())
}

/// Stores the cancellation of a job.
pub async fn cancel(node: &Rc<Node>, id: JobId) -> CancelOutcome {
    let outcome = tokio::time::timeout(WRITE_TIMEOUT, store_cancellation(node, id))
        .await
        .unwrap_or(CancelOutcome::Unknown);
    let label = match outcome {
        CancelOutcome::Accepted => "accepted",
        CancelOutcome::NoSuchJob => "no_such_job",
        CancelOutcome::TooMany => "too_many",
        CancelOutcome::Unknown => "outcome_unknown",
    };
    node.metrics
        .cancellations
        .get_or_create(&OutcomeLabel { outcome: label })
        .inc();
    events::cancelled(id, label);
    outcome
}

async fn store_cancellation(node: &Node, id: JobId) -> CancelOutcome {
    let started = node.now();
    let mut has_budget = false;
    while node.now().since(started) <= WRITE_TIMEOUT {
        let Ok(rows) = read_rows(node, id).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        // The marker of a refusal may be replaced by a submission that is on its way.
        let job_row = rows.iter().find(|row| row.key == id.as_str());
        let job_version = job_row.map_or(0, |row| row.version);
        let has_job = job_row.is_some_and(|row| !rows::is_refusal(row));
        if !has_job {
            if has_lasting_tombstone(node, id, &rows) {
                return CancelOutcome::NoSuchJob;
            }
            has_budget = has_budget || take_tombstone_budget(node);
            if !has_budget {
                return CancelOutcome::TooMany;
            }
        }
        let value = serde_json::to_vec(&CancellationRecord {
            cancelled_unix_ms: (node.unix_ms)(),
        });
        // A cancellation that is stored late must not apply to another job under the same id.
        let transaction = Transaction {
            expect: vec![(rows::job_row_id(id), job_version)],
            puts: vec![(rows::cancellation_row_id(id), value.unwrap_or_default())],
            removes: Vec::new(),
        };
        let result = (node.dependencies.store.commit)(transaction).await;
        let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
        node.record_store_result(StoreCall::Request, answered);
        match result {
            Ok(_) if !has_job => return CancelOutcome::NoSuchJob,
            Ok(_) => return CancelOutcome::Accepted,
            Err(StoreError::Conflict { .. }) => {}
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    CancelOutcome::Unknown
}

fn take_tombstone_budget(node: &Node) -> bool {
    let mut budget = node.tombstone_budget.get();
    let is_free = budget.take(node.now());
    node.tombstone_budget.set(budget);
    is_free
}

/// Returns whether a tombstone of a job is stored that will outlast a write on its way. The caller
/// writes an older one again.
fn has_lasting_tombstone(node: &Node, id: JobId, rows: &[Row]) -> bool {
    let key = rows::cancellation_row_id(id).key;
    let row = rows.iter().find(|row| row.key == key);
    let record = row
        .and_then(|row| serde_json::from_slice::<CancellationRecord>(row.value.as_deref()?).ok());
    record.is_some_and(|record| {
        let age_ms = (node.unix_ms)().abs_diff(record.cancelled_unix_ms);
        Duration::from_millis(age_ms) < RENEW_AFTER
    })
}

/// Returns the state of a job from the cache, the owner or the store.
pub async fn state(node: &Rc<Node>, id: JobId) -> JobLookup {
    if let Some(state) = cached_state(node, id) {
        return JobLookup::State(state);
    }
    let found = match query_owner(node, id).await {
        Some(state) => JobLookup::State(state),
        None if node.store_is_unavailable(STORE_UNAVAILABLE_AFTER) => JobLookup::Unknown,
        None => tokio::time::timeout(READ_TIMEOUT, stored_state(node, id))
            .await
            .unwrap_or(JobLookup::Unknown),
    };
    if let JobLookup::State(state) = found
        && state.is_final()
    {
        cache_state(node, id, state);
    }
    found
}

fn cached_state(node: &Node, id: JobId) -> Option<JobState> {
    let (state, learned) = *node.final_states.borrow().get(&id)?;
    (node.now().since(learned) < FINAL_STATE_TTL).then_some(state)
}

fn cache_state(node: &Node, id: JobId, state: JobState) {
    let mut states = node.final_states.borrow_mut();
    if states.len() >= MAX_FINAL_STATES {
        states.clear();
    }
    states.insert(id, (state, node.now()));
}

async fn query_owner(node: &Rc<Node>, id: JobId) -> Option<JobState> {
    if let Some(owner) = node.owner() {
        return owner.state(id);
    }
    let address = owner_address(node)?;
    let reply = peers::send(
        node,
        &address,
        PeerRequest::State(id),
        TimeLimits::total(OWNER_TIMEOUT),
    )
    .await?;
    match reply {
        PeerResponse::State(Some(code)) => Some(record::decode_state(code)),
        _ => None,
    }
}

pub(crate) fn owner_address(node: &Node) -> Option<Arc<str>> {
    let owner = node.known_owner.borrow();
    Some(owner.as_ref()?.address.as_str().into())
}

/// Reads the rows of a job and of its cancellation, without the marker of a refusal.
async fn read_job(node: &Node, id: JobId) -> Result<Vec<Row>, StoreError> {
    let mut rows = read_rows(node, id).await?;
    rows.retain(|row| !rows::is_refusal(row));
    Ok(rows)
}

/// Reads the rows under the id of a job.
pub(crate) async fn read_rows(node: &Node, id: JobId) -> Result<Vec<Row>, StoreError> {
    let range = Range {
        table: rows::JOBS_TABLE,
        part: rows::jobs_part(id),
        from: id.to_string(),
        to: Some(format!("{id}~")),
    };
    let result = (node.dependencies.store.read)(range).await;
    node.record_store_result(StoreCall::JobState, result.is_ok());
    Ok(result?.rows)
}

async fn stored_state(node: &Node, id: JobId) -> JobLookup {
    let Ok(rows) = read_job(node, id).await else {
        return JobLookup::Unknown;
    };
    if !rows.iter().any(|row| row.key == id.as_str()) {
        return JobLookup::NoSuchJob;
    }
    let cancelled = has_row(&rows, &rows::cancellation_row_id(id).key);
    let range = Range {
        table: rows::RUNS_TABLE,
        part: rows::OWNED_PART,
        from: id.to_string(),
        to: Some(format!("{id}~")),
    };
    let result = (node.dependencies.store.read)(range).await;
    node.record_store_result(StoreCall::JobState, result.is_ok());
    let Ok(page) = result else {
        return JobLookup::Unknown;
    };
    let recorded = page
        .rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| record::decode(value).ok())
        .map_or(JobState::Queued, |record| record.state());
    if cancelled && !recorded.is_final() {
        return JobLookup::State(JobState::Cancelled);
    }
    JobLookup::State(recorded)
}

/// Returns the number of jobs per queue that have not started, or `None` if the owner does not
/// answer.
pub async fn pending(node: &Rc<Node>) -> Option<Map<Arc<str>, usize>> {
    if let Some(owner) = node.owner() {
        return Some(owner.pending());
    }
    let address = owner_address(node)?;
    match peers::send(
        node,
        &address,
        PeerRequest::Pending,
        TimeLimits::total(OWNER_TIMEOUT),
    )
    .await?
    {
        PeerResponse::Pending(pending) => Some(pending),
        _ => None,
    }
}
