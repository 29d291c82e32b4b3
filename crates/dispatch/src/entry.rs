//! What callers are answered.
//!
//! A caller hears that its job is accepted only once the job is stored. A refusal says that the job
//! has not run and never will, so it is only given when no write of the job can take effect; when
//! the store may still carry one out, the outcome is unknown and the caller is told so.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::record::JobRecord;
use job::record::SubmissionRecord;
use job::scheduler::JobState;
use job::spec::JobSpec;
use model::Map;
use model::Mono;

use crate::events;
use crate::metrics::Outcome;
use crate::node::Node;
use crate::outside::Range;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::outside::Transaction;
use crate::peers;
use crate::peers::Question;
use crate::peers::Reply;
use crate::rows;

/// How long a submission or a cancellation tries to be stored before its caller is told, so that there
/// is time left to try another host.
const STORE_WITHIN: Duration = Duration::from_millis(900);
/// The part of a caller's own deadline that it may take at most, as one part in so many.
const DEADLINE_PARTS: u32 = 2;
/// How long reading what is stored of a job may take.
const READ_WITHIN: Duration = Duration::from_millis(700);
/// A submission that the store has turned away for so long, and that it cannot have stored, is refused.
const REFUSE_AFTER: Duration = Duration::from_millis(400);
/// The pause before a write is sent again.
const RETRY: Duration = Duration::from_millis(60);
/// How long the owner may take to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// When nothing has been heard of the store for so long and the last call failed, nothing is sent and
/// callers are refused at once.
const STORE_AWAY: Duration = Duration::from_millis(1_200);
/// When a caller that was refused should come back, in seconds.
pub const RETRY_AFTER_S: u64 = 1;
/// How long a final state is remembered; callers ask for it most in the first seconds.
const REMEMBERED_FOR: Duration = Duration::from_secs(20);
/// The most final states that are remembered.
const MOST_STATES: usize = 4_096;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is stored.
    Accepted,
    /// Another job has this name.
    NameTaken,
    /// The job is not stored and never will be.
    Refused,
    /// The job may have been stored, or may be later.
    Unknown,
}

impl Submitted {
    /// Returns a word for it in logs and metrics.
    #[must_use]
    pub const fn word(self) -> &'static str {
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
pub enum Cancelled {
    /// It is stored.
    Accepted,
    /// There is no such job.
    NoSuchJob,
    /// The store is away.
    Unknown,
}

/// How a job stands, as far as can be said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
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
) -> Submitted {
    let begin = node.now();
    let record = SubmissionRecord {
        queue: queue.clone(),
        accepted_unix_ms: (node.unix_ms)(),
        spec: Arc::new(spec),
    };
    let outcome = if node.store_is_away(STORE_AWAY) {
        Submitted::Refused
    } else {
        // Whether a write that is broken off here takes effect is not known.
        let outcome =
            tokio::time::timeout(store_within(deadline), store(node, id, &record, begin)).await;
        outcome.unwrap_or_else(|_| {
            node.store_answered(false);
            Submitted::Unknown
        })
    };
    let span = node.now().since(begin);
    let took = model::time::millis(span);
    node.metrics.submission_seconds.observe(span.as_secs_f64());
    node.metrics
        .submissions
        .get_or_create(&Outcome {
            outcome: outcome.word(),
        })
        .inc();
    match outcome {
        Submitted::Accepted => {
            node.final_states.borrow_mut().remove(&id);
            events::accepted(id, queue, took);
        }
        Submitted::NameTaken => events::refused(id, queue, outcome.word(), 409, took),
        Submitted::Refused => events::refused(id, queue, outcome.word(), 503, took),
        Submitted::Unknown => events::refused(id, queue, outcome.word(), 504, took),
    }
    outcome
}

async fn store(node: &Node, id: JobId, record: &SubmissionRecord, begin: Mono) -> Submitted {
    let Ok(value) = serde_json::to_vec(record) else {
        return Submitted::Refused;
    };
    let mut may_be_stored = false;
    loop {
        let transaction = Transaction {
            expect: vec![(rows::job_place(id), 0)],
            puts: vec![(rows::job_place(id), value.clone())],
            removes: Vec::new(),
        };
        let result = (node.outside.store.commit)(transaction).await;
        node.store_answered(matches!(result, Ok(_) | Err(StoreError::Conflict { .. })));
        match result {
            Ok(_) => return Submitted::Accepted,
            Err(StoreError::Conflict { rows }) => return compare(&rows, record),
            Err(StoreError::Unanswered | StoreError::Misunderstood) => may_be_stored = true,
            Err(StoreError::Refused | StoreError::HistoryGone) => {}
        }
        if !may_be_stored && node.now().since(begin) > REFUSE_AFTER {
            return Submitted::Refused;
        }
        tokio::time::sleep(RETRY).await;
    }
}

fn store_within(deadline: Option<Duration>) -> Duration {
    deadline.map_or(STORE_WITHIN, |deadline| {
        STORE_WITHIN.min(deadline / DEADLINE_PARTS)
    })
}

/// The same job again is one job.
fn compare(rows: &[Row], record: &SubmissionRecord) -> Submitted {
    let stored = rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| serde_json::from_slice::<SubmissionRecord>(value).ok());
    match stored {
        Some(stored) if stored.spec == record.spec => Submitted::Accepted,
        Some(_) => Submitted::NameTaken,
        None => Submitted::Unknown,
    }
}

/// Stores that a job is cancelled.
pub async fn cancel(node: &Rc<Node>, id: JobId) -> Cancelled {
    let outcome = tokio::time::timeout(STORE_WITHIN, store_cancel(node, id))
        .await
        .unwrap_or(Cancelled::Unknown);
    let text = match outcome {
        Cancelled::Accepted => "accepted",
        Cancelled::NoSuchJob => "no_such_job",
        Cancelled::Unknown => "outcome_unknown",
    };
    events::cancelled(id, text);
    outcome
}

async fn store_cancel(node: &Node, id: JobId) -> Cancelled {
    let begin = node.now();
    while node.now().since(begin) <= STORE_WITHIN {
        match read_job(node, id).await {
            Ok(rows) if rows.iter().any(|row| row.key == id.as_str()) => {}
            Ok(_) => return Cancelled::NoSuchJob,
            Err(_) => {
                tokio::time::sleep(RETRY).await;
                continue;
            }
        }
        let transaction = Transaction {
            expect: Vec::new(),
            puts: vec![(rows::cancel_place(id), b"{}".to_vec())],
            removes: Vec::new(),
        };
        let result = (node.outside.store.commit)(transaction).await;
        node.store_answered(result.is_ok());
        if result.is_ok() {
            return Cancelled::Accepted;
        }
        tokio::time::sleep(RETRY).await;
    }
    Cancelled::Unknown
}

/// Returns how a job stands.
pub async fn state(node: &Rc<Node>, id: JobId) -> Found {
    if let Some(state) = remembered(node, id) {
        return Found::State(state);
    }
    let found = match ask_owner(node, id).await {
        Some(state) => Found::State(state),
        None if node.store_is_away(STORE_AWAY) => Found::Unknown,
        None => tokio::time::timeout(READ_WITHIN, stored_state(node, id))
            .await
            .unwrap_or(Found::Unknown),
    };
    if let Found::State(state) = found
        && state.is_final()
    {
        remember(node, id, state);
    }
    found
}

fn remembered(node: &Node, id: JobId) -> Option<JobState> {
    let (state, learned) = *node.final_states.borrow().get(&id)?;
    (node.now().since(learned) < REMEMBERED_FOR).then_some(state)
}

fn remember(node: &Node, id: JobId, state: JobState) {
    let mut states = node.final_states.borrow_mut();
    if states.len() >= MOST_STATES {
        states.clear();
    }
    states.insert(id, (state, node.now()));
}

async fn ask_owner(node: &Rc<Node>, id: JobId) -> Option<JobState> {
    if let Some(owner) = node.owner() {
        return owner.state(id);
    }
    let address = owner_address(node)?;
    let reply = peers::ask(node, &address, Question::State(id), ASK_TIMEOUT).await?;
    match reply {
        Reply::State(Some(letter)) => Some(job::record::decode_state(letter)),
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
    let result = (node.outside.store.read)(range).await;
    node.store_answered(result.is_ok());
    Ok(result?.rows)
}

async fn stored_state(node: &Node, id: JobId) -> Found {
    let Ok(rows) = read_job(node, id).await else {
        return Found::Unknown;
    };
    if !rows.iter().any(|row| row.key == id.as_str()) {
        return Found::NoSuchJob;
    }
    let cancelled = rows.len() > 1;
    let range = Range {
        table: rows::RUNS_TABLE,
        part: rows::OWNED_PART,
        from: id.to_string(),
        to: Some(format!("{id}~")),
    };
    let result = (node.outside.store.read)(range).await;
    node.store_answered(result.is_ok());
    let Ok(page) = result else {
        return Found::Unknown;
    };
    let recorded = page
        .rows
        .iter()
        .filter_map(|row| row.value.as_deref())
        .find_map(|value| serde_json::from_slice::<JobRecord>(value).ok())
        .map_or(JobState::Queued, |record| record.state());
    if cancelled && !recorded.is_final() {
        return Found::State(JobState::Cancelled);
    }
    Found::State(recorded)
}

/// Returns how many jobs of each queue have not started, if the owner can be asked.
pub async fn pending(node: &Rc<Node>) -> Option<Map<Arc<str>, usize>> {
    if let Some(owner) = node.owner() {
        return Some(owner.pending());
    }
    let address = owner_address(node)?;
    match peers::ask(node, &address, Question::Pending, ASK_TIMEOUT).await? {
        Reply::Pending(pending) => Some(pending),
        _ => None,
    }
}
