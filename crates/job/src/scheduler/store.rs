//! What has to be stored, and what may follow once it is.

use model::Mono;

use super::JobKey;
use super::JobState;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ExecutorKey;
use crate::id::JobId;
use crate::ranking;
use crate::record;
use crate::task::StartState;

/// Rows that go into one transaction, and what they release.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The rows: a job and its record.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Tasks whose order to start follows.
    starts: Vec<TaskKey>,
    /// Jobs and the state that callers may then be told.
    states: Vec<(JobKey, JobState)>,
    /// Jobs whose records are removed: the rows that say that they were accepted are gone.
    pub removed: Vec<JobId>,
    /// Ends that may then be acknowledged: the executor, its life and the newest number.
    acks: Vec<(ExecutorKey, u64, u64)>,
}

/// A job whose end is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Its name.
    pub id: JobId,
    /// How it ended.
    pub state: JobState,
    /// How long after its arrival, in milliseconds.
    pub after_ms: u64,
    /// How long it was to take at most, in milliseconds.
    pub objective_ms: u64,
}

impl Scheduler {
    /// Returns whether something waits to be stored or acknowledged.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
            || self.retired.has_records()
            || self
                .fleet
                .iter()
                .any(|(_, executor)| executor.ends_received > executor.ends_stored)
    }

    /// Returns the rows that have to be written, at most so many.
    pub fn take_batch(&mut self, max_rows: usize) -> Batch {
        let taken = self.dirty.len().min(max_rows);
        let keys: Vec<JobKey> = self.dirty.drain(..taken).collect();
        let mut batch = Batch::default();
        for key in keys {
            self.add_to_batch(key, &mut batch);
        }
        batch.removed = self.retired.take_records(max_rows - taken);
        if self.dirty.is_empty() {
            batch.acks = self
                .fleet
                .iter()
                .filter(|(_, executor)| executor.ends_received > executor.ends_stored)
                .map(|(key, executor)| {
                    (
                        key,
                        executor.listing.started_unix_ms,
                        executor.ends_received,
                    )
                })
                .collect();
        }
        batch
    }

    fn add_to_batch(&mut self, key: JobKey, batch: &mut Batch) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.dirty = false;
        batch.states.push((key, job.state));
        for (slot, task) in (0_u32..).zip(&job.tasks) {
            if task
                .assignment()
                .is_some_and(|at| at.start_state == StartState::Storing)
            {
                batch.starts.push(TaskKey { job: key, slot });
            }
        }
        let id = job.id;
        let row = record::encode(job, &self.fleet);
        batch.rows.push((id, row));
    }

    /// Takes in that a batch is stored. Returns the jobs whose end is stored with it.
    pub fn batch_stored(&mut self, batch: Batch, now: Mono) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        for (key, state) in batch.states {
            ended.extend(self.state_stored(key, state, now));
        }
        for key in batch.starts {
            self.assignment_stored(key, now);
        }
        for (key, started_unix_ms, number) in batch.acks {
            if let Some(executor) = self.fleet.get_mut(key)
                && executor.listing.started_unix_ms == started_unix_ms
            {
                executor.ends_stored = executor.ends_stored.max(number);
            }
        }
        self.open.retain(|key| {
            self.jobs
                .get(*key)
                .is_some_and(|job| !job.stored_state.is_final())
        });
        ended
    }

    fn state_stored(&mut self, key: JobKey, state: JobState, now: Mono) -> Option<EndedJob> {
        let job = self.jobs.get_mut(key)?;
        let news = state.is_final() && !job.stored_state.is_final();
        job.stored_state = state;
        if news {
            self.retired.schedule_cleanup(key);
        }
        let job = self.jobs.get(key)?;
        news.then(|| EndedJob {
            id: job.id,
            state,
            after_ms: model::time::millis(now.since(job.arrived)),
            objective_ms: model::time::millis(ranking::objective(self, job)),
        })
    }

    fn assignment_stored(&mut self, key: TaskKey, now: Mono) {
        let stopping = self
            .task(key)
            .and_then(|task| task.assignment())
            .filter(|at| at.start_state == StartState::Storing)
            .map(|at| at.stopping);
        match stopping {
            Some(true) => self.release(key, now),
            Some(false) => self.command_start(key, now),
            None => {}
        }
    }
}
