//! Admission control at the owner: it estimates the waits, decides about the jobs that hosts ask for,
//! and removes the markers of refusals.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use job::admission::Admission;
use job::admission::OBSERVATION_INTERVAL;
use job::admission::decision::Admit;
use job::id::JobId;
use job::scheduler::Scheduler;
use model::Map;
use model::Mono;

use super::Owner;
use crate::admission::AdmitReply;
use crate::admission::AdmitRequest;
use crate::admission::EstimateReport;
use crate::dependencies::Row;
use crate::dependencies::StoreError;
use crate::dependencies::Transaction;
use crate::events;
use crate::rows;
use crate::rows::JobsKey;
use crate::store_call::StoreCall;

/// Nothing is refused if the store has not confirmed the ownership for this long: a successor may
/// decide already.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(900);
/// How long a marker stays: longer than a write of the job may be late (6 s were observed), and than
/// a refused caller takes to retry.
const MARKER_RETENTION: Duration = Duration::from_secs(75);
/// No more jobs are refused while this many markers are stored.
const MAX_MARKERS: usize = 8_192;
/// Interval between removals of markers.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of markers that a transaction removes.
const MAX_REMOVED: usize = 90;
/// Shortest interval between log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the owner knows about admission.
#[derive(Default)]
pub(super) struct OwnerAdmission {
    state: RefCell<Admission>,
    /// The markers in the store: their versions and when this owner learned of them.
    markers: RefCell<Map<JobId, (u64, Mono)>>,
    /// The number of refusals at the latest log line about them, and its time.
    logged: Cell<(u64, Mono)>,
}

impl OwnerAdmission {
    /// Records a marker that was read from the store.
    pub(super) fn add_marker(&self, id: JobId, version: u64, now: Mono) {
        self.markers.borrow_mut().insert(id, (version, now));
    }
}

impl Owner {
    /// Returns the estimate for hosts, or `None` if there is none.
    #[must_use]
    pub fn admission_estimate(&self) -> Option<EstimateReport> {
        let state = self.admission.state.borrow();
        let (estimate, age) = state.estimate(self.now())?;
        Some(EstimateReport {
            estimate: estimate.clone(),
            age_ms: model::time::millis(age),
        })
    }

    /// Returns the number of refusals by this owner and of callers that are expected to retry.
    #[must_use]
    pub fn admission_counts(&self) -> (u64, usize) {
        let state = self.admission.state.borrow();
        (state.refused(), state.returning())
    }

    /// Decides about a job.
    #[must_use]
    pub fn admit(&self, request: &AdmitRequest) -> AdmitReply {
        let now = self.now();
        let is_certain = now.since(self.confirmed_at.get()) <= MAX_CONFIRMATION_AGE
            && !self.shutdown.is_cancelled()
            && !self.releasing.get();
        if !is_certain || self.admission.markers.borrow().len() >= MAX_MARKERS {
            return Admit::Accept.into();
        }
        let scheduler = self.scheduler.borrow();
        let Some(queue) = scheduler.plan.queue(&request.terms.queue) else {
            return Admit::Accept.into();
        };
        let has_room = scheduler.has_room_to_begin(&queue.service, &request.first_steps, now);
        let mut state = self.admission.state.borrow_mut();
        state
            .admit(request.id, &request.terms, has_room, now)
            .into()
    }

    /// Records the markers of refusals among rows of the table of jobs.
    pub(super) fn add_markers(&self, rows: &[Row]) {
        let now = self.now();
        for row in rows.iter().filter(|row| rows::is_refusal(row)) {
            if let Some(JobsKey::Job(id)) = JobsKey::parse(&row.key) {
                self.admission.add_marker(id, row.version, now);
            }
        }
    }

    /// Observes the queues, and forgets earlier observations while no queue of the document has a target
    /// or the executors are not known.
    pub(super) async fn observe_queues(self: Rc<Self>) {
        while !self.shutdown.is_cancelled() {
            tokio::time::sleep(OBSERVATION_INTERVAL).await;
            let now = self.now();
            let mut scheduler = self.scheduler.borrow_mut();
            let mut queues = scheduler.plan.queues.iter();
            let applies = queues.any(|queue| !queue.target.is_zero());
            let mut state = self.admission.state.borrow_mut();
            if applies && knows_fleet(&scheduler) {
                let backlog = scheduler.take_backlog(now);
                state.observe(&backlog, now);
            } else {
                state.reset();
            }
            self.log_refusals(&state, now);
        }
    }

    fn log_refusals(&self, state: &Admission, now: Mono) {
        let (refused, logged_at) = self.admission.logged.get();
        if state.refused() == refused || now.since(logged_at) < LOG_INTERVAL {
            return;
        }
        self.admission.logged.set((state.refused(), now));
        let refused_since = state.refused() - refused;
        if let Some((estimate, _)) = state.estimate(now)
            && let Some(queue) = estimate.queues.first()
        {
            let row = queue.rows.iter().max_by_key(|row| row.start_ms(0));
            let ahead_ms = row.map_or(0, |row| row.ahead_ms);
            events::overload(&queue.queue, refused_since, state.returning(), ahead_ms);
        }
    }

    /// Removes old markers until this host is no longer the owner.
    pub(super) async fn remove_markers(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.shutdown.cancelled() => return,
                () = tokio::time::sleep(CLEANUP_INTERVAL) => {}
            }
            for part in rows::JOBS_PARTS {
                let old = self.old_markers(part);
                if !old.is_empty() {
                    self.remove(old).await;
                }
            }
        }
    }

    fn old_markers(&self, part: &str) -> Vec<(JobId, u64)> {
        let now = self.now();
        let markers = self.admission.markers.borrow();
        let old = markers.iter().filter(|(id, (_, since))| {
            rows::jobs_part(**id) == part && now.since(*since) >= MARKER_RETENTION
        });
        old.take(MAX_REMOVED)
            .map(|(id, (version, _))| (*id, *version))
            .collect()
    }

    /// Removes markers of one part. Each is removed only in the version that was read, so that a job
    /// that was accepted in its place stays.
    async fn remove(&self, markers: Vec<(JobId, u64)>) {
        let transaction = Transaction {
            expect: markers
                .iter()
                .map(|(id, version)| (rows::job_row_id(*id), *version))
                .collect(),
            puts: Vec::new(),
            removes: markers
                .iter()
                .map(|(id, _)| rows::job_row_id(*id))
                .collect(),
        };
        let result = (self.node.dependencies.store.commit)(transaction).await;
        let answered = matches!(result, Ok(_) | Err(StoreError::Conflict { .. }));
        self.node.record_store_result(StoreCall::Cleanup, answered);
        let mut known = self.admission.markers.borrow_mut();
        match result {
            Ok(_) => known.retain(|id, _| !markers.iter().any(|(removed, _)| removed == id)),
            Err(StoreError::Conflict { rows }) => known.retain(|id, (version, _)| {
                let row = rows.iter().find(|row| row.key == id.as_str());
                row.is_none_or(|row| row.value.is_some() && row.version == *version)
            }),
            Err(_) => {}
        }
    }
}

/// Returns whether each executor that may run tasks of an earlier owner has been polled, unless it does
/// not answer. Until then the free capacity is not known.
fn knows_fleet(scheduler: &Scheduler) -> bool {
    let executors = scheduler.fleet.iter().map(|(_, executor)| executor);
    let mut answering = executors.filter(|executor| executor.failing_since.is_none());
    !answering.any(|executor| {
        let mut tasks = executor.tasks.iter();
        tasks.any(|task| scheduler.is_inherited(*task))
    })
}
