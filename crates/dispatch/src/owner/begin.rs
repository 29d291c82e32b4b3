//! How an owner begins: it reads what is stored, then asks every executor that may run something.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use job::id::JobId;
use job::interference::LearnedPair;
use job::record::JobRecord;
use job::record::SubmissionRecord;
use job::scheduler::Scheduler;
use job::scheduler::Submission;
use job::scheduler::Timing;
use model::Map;
use model::Mono;
use model::Set;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::GOES_ON_UNCONFIRMED;
use super::Owner;
use super::feeds;
use super::held;
use super::tidy;
use crate::events;
use crate::node::Node;
use crate::outside::Page;
use crate::outside::Range;
use crate::outside::Row;
use crate::outside::StoreError;
use crate::peers;
use crate::peers::Question;
use crate::rows;
use crate::rows::JobsKey;
use crate::rows::OwnerRecord;

/// The pause before what is stored is read again.
const READ_RETRY: Duration = Duration::from_millis(100);
/// A successor whose reads fail for so long lets another host try.
const READ_LIMIT: Duration = Duration::from_secs(4);
/// How often an earlier owner is told that another has begun, until it answers.
const TELL_INTERVAL: Duration = Duration::from_millis(300);
/// How long it may take to answer.
const TELL_TIMEOUT: Duration = Duration::from_millis(600);
/// A lease on a clock that runs slow ends later by one part in so many.
const CLOCK_DRIFT_PARTS: u32 = 49;
/// What is added for timers and messages that are late.
const MARGIN: Duration = Duration::from_millis(300);

/// A claim that the store has confirmed.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The owner's row.
    pub record: OwnerRecord,
    /// The row before it.
    pub earlier: OwnerRecord,
    /// The version of the row.
    pub version: u64,
    /// When the claim was sent.
    pub sent: Mono,
}

struct Stored {
    jobs: Vec<Row>,
    jobs_version: u64,
    runs: Vec<Row>,
    learned: Vec<Row>,
}

/// Begins to own the executors.
pub async fn begin(node: &Rc<Node>, claim: Claim) {
    let began = node.now();
    node.highest_epoch.set(claim.record.epoch);
    let Some(plan) = node.plan() else {
        return;
    };
    let Some(stored) = read_stored(node).await else {
        events::owner_ended(claim.record.epoch, "what is stored could not be read");
        return;
    };
    let spans = Timing {
        lease: node.spans.lease,
        max_lease: node.spans.longest_lease,
        stop_timeout: node.spans.stop,
    };
    let mut book = Scheduler::new(plan, spans);
    restore(node, &mut book, &stored);
    let inherited = book
        .fleet
        .iter()
        .map(|(_, executor)| executor.tasks.len())
        .sum();
    let lease = node.spans.lease + node.spans.lease / CLOCK_DRIFT_PARTS + MARGIN;
    let sends_until = claim.sent.after(GOES_ON_UNCONFIRMED);
    let assumed = sends_until.after(lease);
    book.inherit_leases(sends_until, assumed);
    if let Ok(list) = (node.outside.list.read)(()).await {
        book.update_executors(list, node.now());
    }
    let took = model::time::millis(node.now().since(began));
    node.metrics.takeovers.inc();
    events::takeover(
        claim.record.epoch,
        &claim.earlier.host,
        stored.jobs.len(),
        inherited,
        took,
    );
    let owner = Rc::new(Owner {
        node: node.clone(),
        epoch: claim.record.epoch,
        book: RefCell::new(book),
        record: RefCell::new(claim.record.clone()),
        version: Cell::new(claim.version),
        confirmed: Cell::new(claim.sent),
        learned_stored: Cell::new(claim.sent),
        jobs_heard: Cell::new(node.now()),
        changed: Notify::new(),
        stored: Notify::new(),
        place: Notify::new(),
        stop: CancellationToken::new(),
        releasing: Cell::new(false),
        gates: RefCell::new(Map::default()),
        looking: RefCell::new(Set::default()),
        asking: Semaphore::new(1),
    });
    *node.owner.borrow_mut() = Some(owner.clone());
    *node.known_owner.borrow_mut() = Some(claim.record.clone());
    start_parts(&owner, stored.jobs_version);
    tokio::task::spawn_local(settle_earlier(owner, claim.earlier, assumed, lease));
}

fn start_parts(owner: &Rc<Owner>, jobs_version: u64) {
    tokio::task::spawn_local(owner.clone().store_changes());
    tokio::task::spawn_local(owner.clone().place_whenever_changed());
    tokio::task::spawn_local(owner.clone().tick());
    tokio::task::spawn_local(feeds::follow_jobs(owner.clone(), jobs_version));
    tokio::task::spawn_local(feeds::follow_executors(owner.clone()));
    tokio::task::spawn_local(tidy::tidy(owner.clone()));
    tokio::task::spawn_local(held::tell_of_waiting(owner.clone()));
    owner.after_event();
}

/// Makes sure that the earlier owner grants nothing any more, so that its leases need not be waited
/// for as long as it could go on unconfirmed.
async fn settle_earlier(owner: Rc<Owner>, earlier: OwnerRecord, assumed: Mono, lease: Duration) {
    let node = &owner.node;
    let is_over = earlier.epoch == 0 || earlier.released || node.identity.succeeds(&earlier);
    let address: Arc<str> = earlier.address.as_str().into();
    let question = Question::Superseded(owner.epoch);
    let mut stopped = is_over;
    while !stopped && node.now() < assumed && !owner.stop.is_cancelled() {
        // Any answer will do: a later life of the process grants nothing that the earlier one did.
        stopped = peers::ask(node, &address, question.clone(), TELL_TIMEOUT)
            .await
            .is_some();
        if !stopped {
            tokio::time::sleep(TELL_INTERVAL).await;
        }
    }
    if stopped {
        let until = node.now().after(lease);
        owner
            .book
            .borrow_mut()
            .previous_owner_stopped(until, assumed);
    }
}

async fn read_stored(node: &Node) -> Option<Stored> {
    let limit = node.now().after(READ_LIMIT);
    while node.now() < limit {
        let jobs = read_jobs(node).await;
        let runs = read_all(node, rows::RUNS_TABLE, rows::OWNED_PART).await;
        let learned = read_all(node, rows::LEARNED_TABLE, rows::OWNED_PART).await;
        if let (Ok((jobs, jobs_version)), Ok((runs, _)), Ok((learned, _))) = (jobs, runs, learned) {
            return Some(Stored {
                jobs,
                jobs_version,
                runs,
                learned,
            });
        }
        tokio::time::sleep(READ_RETRY).await;
    }
    None
}

/// Reads all accepted jobs and cancellations, and the version from which changes to them can be
/// followed.
pub(super) async fn read_jobs(node: &Node) -> Result<(Vec<Row>, u64), StoreError> {
    let parts = rows::JOBS_PARTS.map(|part| read_all(node, rows::JOBS_TABLE, part));
    let mut all = Vec::new();
    let mut oldest = u64::MAX;
    for part in join_all(parts).await {
        let (rows, version) = part?;
        all.extend(rows);
        oldest = oldest.min(version);
    }
    Ok((all, oldest))
}

/// Reads all rows of a part, and the version from which changes to them can be followed.
async fn read_all(
    node: &Node,
    table: &'static str,
    part: &'static str,
) -> Result<(Vec<Row>, u64), StoreError> {
    let mut rows = Vec::new();
    let mut version = None;
    let mut from = String::new();
    loop {
        let range = Range {
            table,
            part,
            from: from.clone(),
            to: None,
        };
        let result: Result<Page, StoreError> = (node.outside.store.read)(range).await;
        node.store_answered(result.is_ok());
        let page = result?;
        version.get_or_insert(page.version);
        let Some(last) = page.rows.last() else {
            break;
        };
        from = format!("{}\0", last.key);
        let has_more = page.has_more;
        rows.extend(page.rows);
        if !has_more {
            break;
        }
    }
    Ok((rows, version.unwrap_or(0)))
}

fn restore(node: &Node, book: &mut Scheduler, stored: &Stored) {
    let records: Map<JobId, JobRecord> = stored.runs.iter().filter_map(run_record).collect();
    let now = node.now();
    let mut accepted: Set<JobId> = Set::default();
    let mut cancelled = Vec::new();
    for row in &stored.jobs {
        match JobsKey::parse(&row.key) {
            Some(JobsKey::Job(id)) => {
                accepted.insert(id);
                if let Some(submission) = submission(node, id, row) {
                    match records.get(&id) {
                        Some(record) => book.restore(submission, record, now),
                        None => {
                            book.submit(submission, now);
                        }
                    }
                }
            }
            Some(JobsKey::Cancel(id)) => cancelled.push(id),
            None => events::unreadable(rows::JOBS_TABLE, &row.key, "no job's name"),
        }
    }
    for id in cancelled {
        book.cancel(id);
    }
    for id in records.keys().filter(|id| !accepted.contains(*id)) {
        book.add_orphaned_record(*id);
    }
    for row in &stored.learned {
        match serde_json::from_slice::<Vec<LearnedPair>>(row.value.as_deref().unwrap_or_default()) {
            Ok(learned) => book.interference.restore(&learned),
            Err(error) => {
                events::unreadable(rows::LEARNED_TABLE, &row.key, &error.to_string());
            }
        }
    }
}

fn run_record(row: &Row) -> Option<(JobId, JobRecord)> {
    let id = JobId::parse(&row.key).ok()?;
    match serde_json::from_slice(row.value.as_deref()?) {
        Ok(record) => Some((id, record)),
        Err(error) => {
            events::unreadable(rows::RUNS_TABLE, &row.key, &error.to_string());
            None
        }
    }
}

/// Reads an accepted job.
pub(super) fn submission(node: &Node, id: JobId, row: &Row) -> Option<Submission> {
    let value = row.value.as_deref()?;
    match serde_json::from_slice::<SubmissionRecord>(value) {
        Ok(record) => Some(Submission {
            id,
            queue: record.queue,
            age_ms: (node.unix_ms)().saturating_sub(record.accepted_unix_ms),
            spec: record.spec,
            row_version: row.version,
        }),
        Err(error) => {
            events::unreadable(rows::JOBS_TABLE, &row.key, &error.to_string());
            None
        }
    }
}
