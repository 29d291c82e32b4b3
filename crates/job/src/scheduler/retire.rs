//! Removal of ended jobs from memory and from the store.
//!
//! Once the end of a job is stored and none of its tasks is assigned, only its state is kept in
//! memory, because callers may still query it. The job's rows are removed later. The submission row
//! goes first: a record without a submission has no effect, whereas a submission without its record
//! would run the job again.

use std::collections::VecDeque;
use std::sync::Arc;

use model::Map;
use model::Mono;

use super::AbandonedRun;
use super::JobKey;
use super::JobState;
use super::Scheduler;
use crate::id::JobId;
use crate::id::TaskId;
use crate::spec::JobSpec;
use crate::task::RunNumber;

/// Ended jobs whose rows have not been removed.
#[derive(Clone, Debug, Default)]
pub(super) struct RetiredJobs {
    by_id: Map<JobId, RetiredJob>,
    /// The jobs by the time at which they were removed from memory, oldest first.
    by_retirement_time: VecDeque<(Mono, JobId)>,
    /// Jobs whose end is stored and that may still have assigned tasks.
    cleanup_pending: Vec<JobKey>,
    /// Jobs whose record is the only row left.
    records: Vec<JobId>,
}

/// The data kept in memory for an ended job.
#[derive(Clone, Debug)]
struct RetiredJob {
    state: JobState,
    row_version: u64,
    abandoned: Option<Box<RetiredRuns>>,
}

/// The abandoned runs of an ended job, with what is needed to recognise them by their task.
#[derive(Clone, Debug)]
struct RetiredRuns {
    spec: Arc<JobSpec>,
    runs: Vec<AbandonedRun>,
}

/// An ended job whose rows may be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredJob {
    /// The job's identifier.
    pub id: JobId,
    /// The version of the row that records the submission. A row with another version belongs to
    /// another job with the same identifier.
    pub row_version: u64,
}

impl RetiredJobs {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn state(&self, id: JobId) -> Option<JobState> {
        Some(self.by_id.get(&id)?.state)
    }

    /// Returns whether this job, and not an earlier one under the same identifier, has ended.
    pub(super) fn is_retired(&self, id: JobId, row_version: u64) -> bool {
        let retired = self.by_id.get(&id);
        retired.is_some_and(|job| job.row_version == row_version)
    }

    /// Removes the ended job whose identifier is used again. Its record is overwritten by that of
    /// the new job.
    pub(super) fn forget_reused(&mut self, id: JobId) {
        if self.by_id.remove(&id).is_some() {
            self.by_retirement_time.retain(|(_, other)| *other != id);
        }
        self.records.retain(|other| *other != id);
    }

    /// Returns whether a run of an ended job was abandoned.
    pub(super) fn is_abandoned(&self, task: TaskId, run: RunNumber) -> bool {
        let retired = self.by_id.get(&task.job);
        retired
            .and_then(|job| job.abandoned.as_ref())
            .is_some_and(|runs| {
                let slot = runs.spec.slot(task.occurrence, task.step, task.index);
                runs.runs.iter().any(|abandoned| abandoned.is(slot, run))
            })
    }

    /// Schedules the removal from memory of a job whose end is stored.
    pub(super) fn schedule_cleanup(&mut self, key: JobKey) {
        self.cleanup_pending.push(key);
    }

    pub(super) const fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// Removes and returns up to `limit` jobs whose records should be deleted.
    pub(super) fn take_records(&mut self, limit: usize) -> Vec<JobId> {
        let taken = self.records.len().min(limit);
        self.records.drain(..taken).collect()
    }
}

impl Scheduler {
    /// Removes jobs from memory whose end is stored and that have no assigned tasks.
    pub(super) fn retire(&mut self, now: Mono) {
        if self.retired.cleanup_pending.is_empty() {
            return;
        }
        let cleanup_pending = std::mem::take(&mut self.retired.cleanup_pending);
        for key in cleanup_pending {
            if self.may_retire(key) {
                self.retire_job(key, now);
            } else if self.jobs.contains_key(key) {
                self.retired.cleanup_pending.push(key);
            }
        }
    }

    fn may_retire(&self, key: JobKey) -> bool {
        self.jobs.get(key).is_some_and(|job| {
            let has_assigned_tasks = job.tasks.iter().any(|task| task.assignment().is_some());
            job.stored_state.is_final() && !job.dirty && !has_assigned_tasks
        })
    }

    fn retire_job(&mut self, key: JobKey, now: Mono) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.by_id.remove(&job.id);
        self.advice.forget(key);
        self.size_share.remove_job(&job.queue, &job.spec);
        self.open.retain(|open| *open != key);
        let retired_job = RetiredJob {
            state: job.stored_state,
            row_version: job.row_version,
            abandoned: (!job.abandoned.is_empty()).then(|| {
                Box::new(RetiredRuns {
                    spec: job.spec.clone(),
                    runs: job.abandoned.clone(),
                })
            }),
        };
        self.retired.by_id.insert(job.id, retired_job);
        self.retired.by_retirement_time.push_back((now, job.id));
    }

    /// Returns up to `limit` jobs that were removed from memory by `by` and whose rows may be
    /// removed, oldest first.
    #[must_use]
    pub fn expired(&self, by: Mono, limit: usize) -> Vec<ExpiredJob> {
        let old = self
            .retired
            .by_retirement_time
            .iter()
            .take_while(|(at, _)| *at <= by);
        old.take(limit)
            .filter_map(|(_, id)| {
                Some(ExpiredJob {
                    id: *id,
                    row_version: self.retired.by_id.get(id)?.row_version,
                })
            })
            .collect()
    }

    /// Forgets jobs whose submission rows have been removed. Their records are deleted with the
    /// next transactions.
    pub fn forget(&mut self, ids: &[JobId]) {
        for id in ids {
            if self.retired.by_id.remove(id).is_some() {
                self.retired.records.push(*id);
            }
        }
        let known = &self.retired.by_id;
        self.retired
            .by_retirement_time
            .retain(|(_, id)| known.contains_key(id));
    }

    /// Schedules the deletion of a record that had no submission row when the owner started.
    pub fn add_orphaned_record(&mut self, id: JobId) {
        self.retired.records.push(id);
    }
}
