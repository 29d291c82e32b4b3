//! Jobs whose rows the store refuses for good.
//!
//! Such a job must not hold up the others. While it is set aside, its record is not written and none
//! of its tasks starts. What runs goes on, and ends that its record does not hold are not
//! acknowledged, because a successor that reads the older record would start their tasks again.

use std::time::Duration;

use model::Mono;

use super::Batch;
use super::EndedRun;
use super::Event;
use super::JobKey;
use super::RunOutcome;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::task::StartState;

/// The interval at which the row of a job that was set aside is tried again. The record becomes smaller
/// as tasks end.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// The end of a run that changed a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JobEnd {
    executor: ExecutorKey,
    /// The start time of the executor's incarnation.
    started_unix_ms: u64,
    sequence: u64,
}

impl Scheduler {
    /// Sets aside the job whose row was refused, alone in its batch. Returns the batch without that row.
    pub fn set_aside(&mut self, mut batch: Batch, now: Mono) -> Batch {
        batch.rows.clear();
        batch.starts.clear();
        for (key, _) in std::mem::take(&mut batch.states) {
            self.set_job_aside(key, now);
        }
        for (key, ends) in std::mem::take(&mut batch.ends) {
            self.withhold_until_stored(&ends);
            if let Some(job) = self.jobs.get_mut(key) {
                job.unstored_ends.splice(0..0, ends);
            }
        }
        batch
    }

    fn set_job_aside(&mut self, key: JobKey, now: Mono) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.set_aside = true;
        job.dirty = true;
        let unsent: Vec<u32> = (0_u32..)
            .zip(&job.tasks)
            .filter(|(_, task)| {
                task.assignment()
                    .is_some_and(|assignment| assignment.start_state == StartState::Storing)
            })
            .map(|(slot, _)| slot)
            .collect();
        let ends = job.unstored_ends.clone();
        for slot in unsent {
            self.release_unstarted(TaskKey { job: key, slot }, now);
        }
        self.withhold_until_stored(&ends);
        self.set_aside.push((now, key));
        self.record_event(Event::JobSetAside { job: key });
    }

    /// Tries the rows of jobs again that were set aside some time ago.
    pub(super) fn retry_set_aside(&mut self, now: Mono) {
        while let Some((since, key)) = self.set_aside.first().copied()
            && now.since(since) >= RETRY_INTERVAL
        {
            self.set_aside.remove(0);
            if let Some(job) = self.jobs.get_mut(key).filter(|job| job.set_aside) {
                job.set_aside = false;
                self.mark_dirty(key);
            }
        }
    }

    /// Records that the end of a run changed a job. While the job is set aside, the end is not
    /// acknowledged.
    pub(super) fn note_unstored_end(&mut self, key: JobKey, executor: ExecutorKey, end: &EndedRun) {
        if !matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed) {
            return;
        }
        let Some(known) = self.fleet.get(executor) else {
            return;
        };
        let end = JobEnd {
            executor,
            started_unix_ms: known.listing.started_unix_ms,
            sequence: end.sequence,
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.unstored_ends.push(end);
        if job.set_aside {
            self.withhold_until_stored(&[end]);
        }
    }

    fn withhold_until_stored(&mut self, ends: &[JobEnd]) {
        for end in ends {
            if let Some(executor) = self.fleet.get_mut(end.executor)
                && executor.listing.started_unix_ms == end.started_unix_ms
                && !executor.unstorable_ends.contains(&end.sequence)
            {
                executor.unstorable_ends.push(end.sequence);
            }
        }
    }

    /// Releases acknowledgements of ends that are stored now.
    pub(super) fn release_stored_ends(&mut self, ends: &[JobEnd]) {
        for end in ends {
            if let Some(executor) = self.fleet.get_mut(end.executor)
                && executor.listing.started_unix_ms == end.started_unix_ms
            {
                executor
                    .unstorable_ends
                    .retain(|sequence| *sequence != end.sequence);
            }
        }
    }
}
