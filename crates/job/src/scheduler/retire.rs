//! Jobs that have ended: what is kept of them, for how long, and when their rows may go.
//!
//! A job whose end is stored and that runs nowhere is let go of but for its state, which callers may
//! still ask for. Its rows go later, first the one that says that it was accepted: a record without
//! it is nothing, while an accepted job without its record would run again.

use std::collections::VecDeque;

use model::Map;
use model::Mono;

use super::JobKey;
use super::JobState;
use super::Scheduler;
use crate::id::JobId;

/// The jobs that have ended and whose rows are still there.
#[derive(Clone, Debug, Default)]
pub(super) struct RetiredJobs {
    by_id: Map<JobId, RetiredJob>,
    /// By when they ended, the oldest first.
    by_end_time: VecDeque<(Mono, JobId)>,
    /// Jobs whose end is stored and that may still run somewhere.
    cleanup_pending: Vec<JobKey>,
    /// Jobs of which only the record is left.
    records: Vec<JobId>,
}

/// What is kept of a job that has ended.
#[derive(Clone, Copy, Debug)]
struct RetiredJob {
    state: JobState,
    row_version: u64,
}

/// A job whose rows may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredJob {
    /// Its name.
    pub id: JobId,
    /// The version of the row that says that it was accepted; a row of another version is another
    /// job's of the same name.
    pub row_version: u64,
}

impl RetiredJobs {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn state(&self, id: JobId) -> Option<JobState> {
        Some(self.by_id.get(&id)?.state)
    }

    /// Notes that a job's end is stored.
    pub(super) fn schedule_cleanup(&mut self, key: JobKey) {
        self.cleanup_pending.push(key);
    }

    pub(super) const fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// Returns records that are to be removed, at most so many.
    pub(super) fn take_records(&mut self, limit: usize) -> Vec<JobId> {
        let taken = self.records.len().min(limit);
        self.records.drain(..taken).collect()
    }
}

impl Scheduler {
    /// Lets go of jobs whose end is stored and that run nowhere any more.
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
            let runs = job.tasks.iter().any(|task| task.assignment().is_some());
            job.stored_state.is_final() && !job.dirty && !runs
        })
    }

    fn retire_job(&mut self, key: JobKey, now: Mono) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.by_id.remove(&job.id);
        self.advice.forget(key);
        self.open.retain(|open| *open != key);
        let ended = RetiredJob {
            state: job.stored_state,
            row_version: job.row_version,
        };
        self.retired.by_id.insert(job.id, ended);
        self.retired.by_end_time.push_back((now, job.id));
    }

    /// Returns jobs that ended by `by` and whose rows may go, the oldest first and at most so many.
    #[must_use]
    pub fn expired(&self, by: Mono, limit: usize) -> Vec<ExpiredJob> {
        let old = self
            .retired
            .by_end_time
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

    /// Forgets jobs whose rows of acceptance are gone; their records go with the next transactions.
    pub fn forget(&mut self, ids: &[JobId]) {
        for id in ids {
            if self.retired.by_id.remove(id).is_some() {
                self.retired.records.push(*id);
            }
        }
        let known = &self.retired.by_id;
        self.retired
            .by_end_time
            .retain(|(_, id)| known.contains_key(id));
    }

    /// Notes a record whose row of acceptance was gone when an owner began; it goes as well.
    pub fn add_orphaned_record(&mut self, id: JobId) {
        self.retired.records.push(id);
    }
}
