//! Takeover: a new owner reads the stored state and then polls every executor that may have tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use job::authority::Authority;
use job::id::JobId;
use job::interference::LearnedPair;
use job::lease_record::LeaseRecord;
use job::record;
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

use super::Owner;
use super::admission::OwnerAdmission;
use super::calls;
use super::cleanup;
use super::evacuations;
use super::evacuations::EvacuationFeed;
use super::evacuations::EvacuationSnapshot;
use super::feeds;
use super::keep_claim;
use super::lease_row;
use super::lease_row::LeaseRow;
use super::load;
use super::load::OwnerLoad;
use super::predecessor::Predecessor;
use super::waiting;
use super::witnesses;
use crate::dependencies::Page;
use crate::dependencies::Range;
use crate::dependencies::Row;
use crate::dependencies::StoreError;
use crate::events;
use crate::lease_events;
use crate::node::Node;
use crate::node::SendTime;
use crate::relay::pool::RelayPool;
use crate::rows;
use crate::rows::JobsKey;
use crate::rows::OwnerRecord;
use crate::store_call::StoreCall;
use crate::supervise::spawn_part;
use crate::tombstones::Tombstones;

/// Delay before the stored state is read again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A successor that cannot read the stored state for this long leaves the takeover to another host.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// A claim that the store has confirmed.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The owner's row as written by the claim.
    pub record: OwnerRecord,
    /// The owner's row before the claim.
    pub earlier: OwnerRecord,
    /// When the owner's row was first read as it was before the claim. The store has not confirmed the
    /// earlier owner since.
    pub earlier_read_at: Mono,
    /// Version of the owner's row after the claim.
    pub version: u64,
    /// When the claim was sent.
    pub sent: SendTime,
}

struct StoredState {
    jobs: Vec<Row>,
    jobs_version: u64,
    runs: Vec<Row>,
    learned: Vec<Row>,
    leases: LeaseRecord,
    evacuations: Option<EvacuationSnapshot>,
}

/// Takes over the executors after a claim.
pub async fn take_over(node: &Rc<Node>, claim: Claim) {
    let started = node.now();
    node.highest_epoch.set(claim.record.epoch);
    let Some(plan) = node.plan() else {
        return;
    };
    let (stored, kept, confirmed_at) = match read_and_keep_claim(node, &claim).await {
        Ok(read) => read,
        Err(reason) => {
            events::owner_ended(claim.record.epoch, reason);
            return;
        }
    };
    let timing = Timing {
        lease: node.timing.lease,
        max_lease: node.timing.max_lease,
        stop_timeout: node.timing.stop_timeout,
        warmup: node.timing.warmup,
        remote_slowdown: node.timing.remote_slowdown,
    };
    let mut scheduler = Scheduler::new(plan, timing);
    scheduler.calls_may_stray = !claim.record.binds_calls;
    scheduler.max_record_bytes = node.dependencies.store.max_value_bytes();
    let tombstones = restore(node, &mut scheduler, &stored);
    let inherited = scheduler
        .fleet
        .iter()
        .map(|(_, executor)| executor.tasks.len())
        .sum();
    let predecessor = Predecessor::new(&claim, node.timing.lease);
    let inherited_leases = predecessor.inherit_leases(&mut scheduler, &stored.leases, node.now());
    let authority = Authority::new(confirmed_at.boot, predecessor.witnesses(&stored.leases));
    let mut rejected = Vec::new();
    if let Ok(list) = (node.dependencies.executor_list.read)(()).await {
        scheduler.update_executors(list.listings, node.now());
        rejected = list.rejected;
    }
    // One that came meanwhile found no owner to put it into force.
    if let Some(plan) = node.plan() {
        scheduler.set_plan(plan, node.now());
    }
    if let Some(snapshot) = &stored.evacuations {
        scheduler.replace_evacuations(&snapshot.data_centres, node.now());
    }
    let took = model::time::millis(node.now().since(started));
    node.metrics.takeovers.inc();
    events::takeover(
        claim.record.epoch,
        &claim.earlier.host,
        stored.jobs.len(),
        inherited,
        took,
    );
    lease_events::leases_inherited(claim.record.epoch, &claim.earlier.host, &inherited_leases);
    let owner = Rc::new(Owner {
        node: node.clone(),
        epoch: claim.record.epoch,
        scheduler: RefCell::new(scheduler),
        record: RefCell::new(kept.record.clone()),
        row_version: Cell::new(kept.version),
        confirmed_at: Cell::new(confirmed_at.mono),
        authority: RefCell::new(authority),
        lease_row: LeaseRow::default(),
        answer_margins: RefCell::default(),
        reports_requested: RefCell::default(),
        asked_executors: RefCell::default(),
        settled: Cell::new(false),
        majority: Notify::new(),
        interference_stored_at: Cell::new(claim.sent.mono),
        interference_refused: Cell::new(false),
        tombstones: RefCell::new(tombstones),
        jobs_synced_at: Cell::new(node.now()),
        commit_requested: Notify::new(),
        committed: Notify::new(),
        placement_requested: Notify::new(),
        shutdown: CancellationToken::new(),
        failed: Cell::new(false),
        owned_since: node.now(),
        stopping: Cell::new(false),
        releasing: Cell::new(false),
        command_slots: RefCell::new(Map::default()),
        unsent_starts: RefCell::default(),
        pending_stops: RefCell::default(),
        polled_executors: RefCell::new(Set::default()),
        window: RefCell::default(),
        processor_pace: Cell::default(),
        starts_in_flight: Cell::new(0),
        starts_unstored: Cell::new(0),
        relays: RelayPool::default(),
        relays_wanted: Cell::new(false),
        admission: OwnerAdmission::default(),
        load: OwnerLoad::default(),
        evacuations: EvacuationFeed::new(stored.evacuations.as_ref()),
        advisor_slot: Semaphore::new(1),
        rejected_entries: RefCell::default(),
    });
    owner.record_rejected_entries(rejected);
    owner.add_markers(&stored.jobs);
    *node.owner.borrow_mut() = Some(owner.clone());
    *node.known_owner.borrow_mut() = Some(kept.record);
    spawn_tasks(&owner, &stored);
    spawn_part(&owner, "witnesses", witnesses::maintain(owner.clone()));
    let stop = predecessor.stop(owner.clone());
    spawn_part(&owner, "stop_earlier_owner", stop);
}

fn spawn_tasks(owner: &Rc<Owner>, stored: &StoredState) {
    let own = || owner.clone();
    let jobs_version = stored.jobs_version;
    spawn_part(owner, "commits", own().run_commits());
    spawn_part(owner, "placement", own().run_placement());
    spawn_part(owner, "tick", own().tick());
    spawn_part(owner, "jobs", feeds::follow_jobs(own(), jobs_version));
    spawn_part(owner, "executors", feeds::follow_executors(own()));
    if let Some(snapshot) = &stored.evacuations {
        let evacuations = feeds::follow_evacuations(own(), snapshot.version);
        spawn_part(owner, "evacuations", evacuations);
    }
    spawn_part(owner, "relays", calls::maintain_relays(own()));
    spawn_part(owner, "cleanup", cleanup::run(own()));
    spawn_part(owner, "waiting", waiting::log_waiting_jobs(own()));
    spawn_part(owner, "load", load::log_load(own()));
    spawn_part(owner, "admission", own().observe_queues());
    spawn_part(owner, "markers", own().remove_markers());
    owner.dispatch_pending();
}

/// Reads the stored state and keeps the claim meanwhile. Returns the state, the claim as last written
/// and when the store last confirmed it.
///
/// # Errors
///
/// Returns why the takeover ends.
async fn read_and_keep_claim(
    node: &Node,
    claim: &Claim,
) -> Result<(StoredState, Claim, SendTime), &'static str> {
    let done = CancellationToken::new();
    let mut keep = pin!(keep_claim::keep(node, claim, &done));
    let stored = tokio::select! {
        stored = read_stored_state(node) => stored,
        _ = &mut keep => return Err("another host claimed during the takeover"),
    };
    done.cancel();
    let kept = keep.await;
    let (kept, confirmed_at) = kept.map_err(|_| "another host claimed during the takeover")?;
    let stored = stored.ok_or("the stored state could not be read")?;
    Ok((stored, kept, confirmed_at))
}

async fn read_stored_state(node: &Node) -> Option<StoredState> {
    let limit = node.now().after(READ_TIMEOUT);
    while node.now() < limit {
        let jobs = read_jobs(node).await;
        let runs = read_all(node, rows::RUNS_TABLE, rows::OWNED_PART).await;
        let learned = read_all(node, rows::LEARNED_TABLE, rows::OWNED_PART).await;
        let leases = lease_row::read(node).await;
        let evacuations = evacuations::read(node).await;
        if let (
            Ok((jobs, jobs_version)),
            Ok((runs, _)),
            Ok((learned, _)),
            Ok(leases),
            Ok(evacuations),
        ) = (jobs, runs, learned, leases, evacuations)
        {
            return Some(StoredState {
                jobs,
                jobs_version,
                runs,
                learned,
                leases,
                evacuations,
            });
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
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
        let result: Result<Page, StoreError> = (node.dependencies.store.read)(range).await;
        node.record_store_result(StoreCall::Jobs, result.is_ok());
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

fn restore(node: &Node, scheduler: &mut Scheduler, stored: &StoredState) -> Tombstones {
    let records: Map<JobId, JobRecord> = stored.runs.iter().filter_map(parse_job_record).collect();
    let now = node.now();
    let mut accepted: Set<JobId> = Set::default();
    let mut cancelled = Vec::new();
    for row in &stored.jobs {
        match JobsKey::parse(&row.key) {
            Some(JobsKey::Job(_)) if rows::is_refusal(row) => {}
            Some(JobsKey::Job(id)) => {
                accepted.insert(id);
                if let Some(submission) = parse_submission(node, id, row) {
                    match records.get(&id) {
                        Some(record) => scheduler.restore(submission, record, now),
                        None => {
                            scheduler.submit(submission, now);
                        }
                    }
                }
            }
            Some(JobsKey::Cancel(id)) => cancelled.push((id, row.version)),
            None => events::unreadable_row(rows::JOBS_TABLE, &row.key, "not a job id"),
        }
    }
    let mut tombstones = Tombstones::default();
    for (id, version) in cancelled {
        scheduler.cancel(id);
        if !accepted.contains(&id) {
            tombstones.add(id, version, now);
        }
    }
    for id in records.keys().filter(|id| !accepted.contains(*id)) {
        scheduler.add_orphaned_record(*id);
    }
    for row in &stored.learned {
        match serde_json::from_slice::<Vec<LearnedPair>>(row.value.as_deref().unwrap_or_default()) {
            Ok(learned) => scheduler.interference.restore(&learned),
            Err(error) => {
                events::unreadable_row(rows::LEARNED_TABLE, &row.key, &error.to_string());
            }
        }
    }
    tombstones
}

fn parse_job_record(row: &Row) -> Option<(JobId, JobRecord)> {
    let id = JobId::parse(&row.key).ok()?;
    match record::decode(row.value.as_deref()?) {
        Ok(record) => Some((id, record)),
        Err(error) => {
            events::unreadable_row(rows::RUNS_TABLE, &row.key, &error);
            None
        }
    }
}

/// Parses an accepted job; returns `None` and logs the row if that fails or the job is not valid.
pub(super) fn parse_submission(node: &Node, id: JobId, row: &Row) -> Option<Submission> {
    let value = row.value.as_deref()?;
    let record = serde_json::from_slice::<SubmissionRecord>(value)
        .map_err(|error| error.to_string())
        .and_then(|record| match record.spec.check() {
            Ok(()) => Ok(record),
            Err(invalid) => Err(invalid.to_string()),
        });
    match record {
        Ok(record) => Some(Submission {
            id,
            queue: record.queue,
            age_ms: (node.unix_ms)().saturating_sub(record.accepted_unix_ms),
            spec: record.spec,
            row_version: row.version,
            terms: record.terms,
        }),
        Err(error) => {
            events::unreadable_row(rows::JOBS_TABLE, &row.key, &error);
            None
        }
    }
}
