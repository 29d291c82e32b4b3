//! What callers are answered.
//!
//! A caller hears that its job is accepted only once the job is stored. A refusal says that the job
//! has not run and never will, so it is only given when no write of the job can take effect; when
//! the store may still carry one out, the outcome is unknown and the caller is told so.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::book::JobState;
use job::id::JobId;
use job::record::JobRecord;
use job::record::SubmissionRecord;
use job::spec::JobSpec;
use model::Map;
use model::Mono;

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

/// How long a submission or a cancellation tries to be stored before its caller is told, so that there
/// is time left to try another host.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// The part of a caller's own deadline that it may take at most, as one part in so many.
const DEADLINE_DIVISOR: u32 = 2;
/// How long reading what is stored of a job may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// A submission that the store has turned away for so long, and that it cannot have stored, is refused.
const REFUSE_AFTER: Duration = Duration::from_millis(400);
/// The pause before a write is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long the owner may take to answer a question.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// When nothing has been heard of the store for so long and the last call failed, nothing is sent and
/// callers are refused at once.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_200);
/// When a caller that was refused should come back, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// How long a final state is remembered; callers ask for it most in the first seconds.
const FINAL_STATE_TTL: Duration = Duration::from_secs(20);
/// The most final states that are remembered.
const MAX_FINAL_STATES: usize = 4_096;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// Another job has this name.
    NameTaken,
    /// The job is not stored and never will be.
    Refused,
    /// The job may have been stored, or may be later.
    Unknown,
}

impl SubmitOutcome {
    /// Returns a word for it in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NameTaken => "name_taken",
            Self::Refused => "store_away",
            Self::Unknown => "outcome_unknown",
        }
    }
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is stored.
    Accepted,
    /// There is no such job.
    NoSuchJob,
    /// The store is away.
    Unknown,
}

/// How a job stands, as far as can be said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// It stands so.
    State(JobState),
    /// There is no such job.
    NoSuchJob,
    /// Neither the owner nor the store can be asked.
    Unknown,
}

/// Stores a job. The caller waits for `deadline`, if it said so.
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
    };
    let outcome = if node.store_is_unavailable(STORE_UNAVAILABLE_AFTER) {
        SubmitOutcome::Refused
    } else {
        // Whether a write that is broken off here takes effect is not known.
        let outcome = tokio::time::timeout(
            write_timeout(deadline),
            store_submission(node, id, &record, started),
        )
        .await;
        outcome.unwrap_or_else(|_| {
            node.record_store_result(false);
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
        SubmitOutcome::NameTaken => events::refused(id, queue, outcome.as_str(), 409, took),
        SubmitOutcome::Refused => events::refused(id, queue, outcome.as_str(), 503, took),
        SubmitOutcome::Unknown => events::refused(id, queue, outcome.as_str(), 504, took),
    }
    outcome
}

async fn store_submission(
    node: &Node,
    id: JobId,
    record: &SubmissionRecord,
    started: Mono,
) -> SubmitOutcome {
    let Ok(value) = serde_json::to_vec(record) else {
        return SubmitOutcome::Refused;
    };
    let mut may_be_stored = false;
    loop {
        let transaction = Transaction {
            expect: vec![(rows::job_row_id(id), 0)],
            puts: vec![(rows::job_row_id(id), value.clone())],
            removes: Vec::new(),
        };
        let result = (node.dependencies.store.commit)(transaction).await;
        node.record_store_result(matches!(result, Ok(_) | Err(StoreError::Conflict { .. })));
        match result {
            Ok(_) => return SubmitOutcome::Accepted,
            Err(StoreError::Conflict { rows }) => return compare_with_stored(&rows, record),
            Err(StoreError::Unanswered | StoreError::Protocol) => may_be_stored = true,
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

/// The same job again is one job.
fn compare_with_stored(rows: &[Row], record: &SubmissionRecord) -> SubmitOutcome {
    let stored = rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| serde_json::from_slice::<SubmissionRecord>(value).ok());
    match stored {
        Some(stored) if stored.spec == record.spec => SubmitOutcome::Accepted,
        Some(_) => SubmitOutcome::NameTaken,
        None => SubmitOutcome::Unknown,
    }
}

/// Stores that a job is cancelled.
pub async fn cancel(node: &Rc<Node>, id: JobId) -> CancelOutcome {
    let outcome = tokio::time::timeout(WRITE_TIMEOUT, store_cancellation(node, id))
        .await
        .unwrap_or(CancelOutcome::Unknown);
    let label = match outcome {
        CancelOutcome::Accepted => "accepted",
        CancelOutcome::NoSuchJob => "no_such_job",
        CancelOutcome::Unknown => "outcome_unknown",
    };
    events::cancelled(id, label);
    outcome
}

async fn store_cancellation(node: &Node, id: JobId) -> CancelOutcome {
    let started = node.now();
    while node.now().since(started) <= WRITE_TIMEOUT {
        match read_job(node, id).await {
            Ok(rows) if rows.iter().any(|row| row.key == id.as_str()) => {}
            Ok(_) => return CancelOutcome::NoSuchJob,
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        let transaction = Transaction {
            expect: Vec::new(),
            puts: vec![(rows::cancellation_row_id(id), b"{}".to_vec())],
            removes: Vec::new(),
        };
        let result = (node.dependencies.store.commit)(transaction).await;
        node.record_store_result(result.is_ok());
        if result.is_ok() {
            return CancelOutcome::Accepted;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    CancelOutcome::Unknown
}

/// Returns how a job stands.
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
    let reply = peers::send(node, &address, PeerRequest::State(id), OWNER_TIMEOUT).await?;
    match reply {
        PeerResponse::State(Some(letter)) => Some(job::record::state_of(letter)),
        _ => None,
    }
}

fn owner_address(node: &Node) -> Option<Arc<str>> {
    let owner = node.known_owner.borrow();
    Some(owner.as_ref()?.address.as_str().into())
}

/// Reads a job and its cancellation.
async fn read_job(node: &Node, id: JobId) -> Result<Vec<Row>, StoreError> {
    let range = Range {
        table: rows::JOBS_TABLE,
        part: rows::jobs_part(id),
        from: id.to_string(),
        to: Some(format!("{id}~")),
    };
    let result = (node.dependencies.store.read)(range).await;
    node.record_store_result(result.is_ok());
    Ok(result?.rows)
}

async fn stored_state(node: &Node, id: JobId) -> JobLookup {
    let Ok(rows) = read_job(node, id).await else {
        return JobLookup::Unknown;
    };
    if !rows.iter().any(|row| row.key == id.as_str()) {
        return JobLookup::NoSuchJob;
    }
    let cancelled = rows.len() > 1;
    let range = Range {
        table: rows::RUNS_TABLE,
        part: rows::OWNED_PART,
        from: id.to_string(),
        to: Some(format!("{id}~")),
    };
    let result = (node.dependencies.store.read)(range).await;
    node.record_store_result(result.is_ok());
    let Ok(page) = result else {
        return JobLookup::Unknown;
    };
    let recorded = page
        .rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| serde_json::from_slice::<JobRecord>(value).ok())
        .map_or(JobState::Queued, |record| record.state());
    if cancelled && !recorded.is_final() {
        return JobLookup::State(JobState::Cancelled);
    }
    JobLookup::State(recorded)
}

/// Returns how many jobs of each queue have not started, if the owner can be asked.
pub async fn pending(node: &Rc<Node>) -> Option<Map<Arc<str>, usize>> {
    if let Some(owner) = node.owner() {
        return Some(owner.pending());
    }
    let address = owner_address(node)?;
    match peers::send(node, &address, PeerRequest::Pending, OWNER_TIMEOUT).await? {
        PeerResponse::Pending(pending) => Some(pending),
        _ => None,
    }
}
