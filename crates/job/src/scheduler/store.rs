//! Batches of rows to be stored, and the actions that depend on them.

use model::Mono;

use super::Event;
use super::JobKey;
use super::JobState;
use super::Scheduler;
use super::StorePoint;
use super::TaskKey;
use super::set_aside::JobEnd;
use crate::fleet::ExecutorKey;
use crate::id::JobId;
use crate::ranking;
use crate::record;
use crate::task::StartState;

/// The rows of one transaction, and the actions to be taken once they are stored.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The rows to be written: the job and its serialised record.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Tasks whose start commands may then be sent.
    pub(super) starts: Vec<TaskKey>,
    /// Jobs and the state that callers may then be told.
    pub(super) states: Vec<(JobKey, JobState)>,
    /// Ends of runs that changed these jobs.
    pub(super) ends: Vec<(JobKey, Vec<JobEnd>)>,
    /// Jobs whose records are deleted because their submission rows have been removed.
    pub removed: Vec<JobId>,
    /// Ended runs that may then be acknowledged: the executor, the start time of its incarnation
    /// and the highest sequence number.
    acks: Vec<(ExecutorKey, u64, u64)>,
}

impl Batch {
    /// Returns the number of tasks whose start commands may be sent once the batch is stored.
    #[must_use]
    pub const fn starts(&self) -> usize {
        self.starts.len()
    }

    /// Divides the rows of a batch that was refused in two halves, to be stored in this order. The
    /// second one holds the acknowledgements, which depend on all rows. There is none if the batch
    /// cannot be divided.
    #[must_use]
    pub fn split(mut self) -> (Self, Option<Self>) {
        let mut second = Self {
            acks: std::mem::take(&mut self.acks),
            ..Self::default()
        };
        match (self.rows.len(), self.removed.len()) {
            (0, 0 | 1) | (1, 0) => {
                self.acks = second.acks;
                return (self, None);
            }
            (0, removed) => second.removed = self.removed.split_off(removed / 2),
            (rows, _) => {
                let middle = rows.div_ceil(2);
                second.removed = std::mem::take(&mut self.removed);
                second.rows = self.rows.split_off(middle);
                second.states = self.states.split_off(middle);
                let is_second = |key: JobKey| second.states.iter().any(|(other, _)| *other == key);
                second.starts = self
                    .starts
                    .extract_if(.., |task| is_second(task.job))
                    .collect();
                second.ends = self
                    .ends
                    .extract_if(.., |(key, _)| is_second(*key))
                    .collect();
            }
        }
        (self, Some(second))
    }
}

/// Ended runs of an executor whose effect is not stored yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnstoredEnds {
    /// The highest sequence number among them.
    pub sequence: u64,
    /// The point in the order of rows at which they are stored.
    pub stored_at: StorePoint,
}

/// A job whose end is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// The job's identifier.
    pub id: JobId,
    /// The final state.
    pub state: JobState,
    /// The time from the job's arrival to its end, in milliseconds.
    pub after_ms: u64,
    /// The time within which the job should have ended, in milliseconds.
    pub objective_ms: u64,
}

impl Scheduler {
    /// Returns whether there is anything to be stored or acknowledged.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty() || self.retired.has_records() || !self.unstored_ends.is_empty()
    }

    /// Returns the number of rows of jobs that wait to be stored. A job that has become urgent since
    /// it changed counts twice.
    #[must_use]
    pub fn unstored_jobs(&self) -> usize {
        self.dirty.len()
    }

    /// Returns a batch of up to `max_rows` rows to be written, which ends with the row that brings it
    /// to `max_bytes` of values.
    pub fn take_batch(&mut self, max_rows: usize, max_bytes: usize) -> Batch {
        self.mark_unstored_ends();
        let mut batch = Batch::default();
        let mut bytes = 0;
        while batch.rows.len() < max_rows
            && bytes < max_bytes
            && let Some(key) = self.take_dirty()
        {
            bytes += self.add_to_batch(key, &mut batch);
        }
        batch.removed = self.retired.take_records(max_rows - batch.rows.len());
        batch.acks = self.take_stored_ends();
        batch
    }

    fn take_dirty(&mut self) -> Option<JobKey> {
        let jobs = &mut self.jobs;
        self.dirty
            .take(|key| jobs.get_mut(key).map(|job| &mut job.store_place))
    }

    /// Records for each executor with new ends that these are stored once all rows that are dirty
    /// now have been taken. A row that is dirty already is serialised later, with their effect.
    fn mark_unstored_ends(&mut self) {
        let stored_at = self.dirty.end();
        for key in &self.unstored_ends {
            if let Some(executor) = self.fleet.get_mut(*key) {
                let sequence = executor.ends_received;
                executor.unstored_ends.get_or_insert(UnstoredEnds {
                    sequence,
                    stored_at,
                });
            }
        }
    }

    /// Returns the ends whose effect is stored with the rows taken so far.
    fn take_stored_ends(&mut self) -> Vec<(ExecutorKey, u64, u64)> {
        let mut stored = Vec::new();
        for key in &self.unstored_ends {
            let Some(executor) = self.fleet.get_mut(*key) else {
                continue;
            };
            if let Some(ends) = executor
                .unstored_ends
                .take_if(|ends| self.dirty.has_passed(ends.stored_at))
            {
                stored.push((*key, executor.listing.started_unix_ms, ends.sequence));
            }
        }
        stored
    }

    /// Adds the row of a job unless it is stored already. Returns the size of its value in bytes.
    fn add_to_batch(&mut self, key: JobKey, batch: &mut Batch) -> usize {
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.dirty) else {
            return 0;
        };
        job.dirty = false;
        batch.states.push((key, job.state));
        for (slot, task) in (0_u32..).zip(&job.tasks) {
            if task
                .assignment()
                .is_some_and(|assignment| assignment.start_state == StartState::Storing)
            {
                batch.starts.push(TaskKey { job: key, slot });
            }
        }
        let ends = std::mem::take(&mut job.unstored_ends);
        if !ends.is_empty() {
            batch.ends.push((key, ends));
        }
        let id = job.id;
        let record = record::encode(job, &self.fleet, self.max_record_bytes);
        let bytes = record.bytes.len();
        batch.rows.push((id, record.bytes));
        if record.omitted_checkpoints > 0 {
            self.record_event(Event::CheckpointsOmitted {
                job: key,
                checkpoints: record.omitted_checkpoints,
            });
        }
        bytes
    }

    /// Processes the completion of a batch. Returns the jobs whose end was stored with it.
    pub fn batch_stored(&mut self, batch: Batch, now: Mono) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        for (key, state) in batch.states {
            ended.extend(self.state_stored(key, state, now));
        }
        for (_, ends) in batch.ends {
            self.release_stored_ends(&ends);
        }
        for key in batch.starts {
            self.assignment_stored(key, now);
        }
        for (key, started_unix_ms, sequence) in batch.acks {
            if let Some(executor) = self.fleet.get_mut(key)
                && executor.listing.started_unix_ms == started_unix_ms
            {
                executor.ends_stored = executor.ends_stored.max(sequence);
            }
        }
        let fleet = &self.fleet;
        self.unstored_ends.retain(|key| {
            let executor = fleet.get(*key);
            executor.is_some_and(|executor| executor.ends_received > executor.ends_stored)
        });
        if !ended.is_empty() {
            let jobs = &self.jobs;
            self.open.retain(|key| {
                jobs.get(*key)
                    .is_some_and(|job| !job.stored_state.is_final())
            });
        }
        ended
    }

    fn state_stored(&mut self, key: JobKey, state: JobState, now: Mono) -> Option<EndedJob> {
        let job = self.jobs.get_mut(key)?;
        let newly_ended = state.is_final() && !job.stored_state.is_final();
        job.stored_state = state;
        if newly_ended {
            self.retired.schedule_cleanup(key);
        }
        let job = self.jobs.get(key)?;
        newly_ended.then(|| EndedJob {
            id: job.id,
            state,
            after_ms: model::time::millis(job.age(now)),
            objective_ms: model::time::millis(ranking::objective(self, job)),
        })
    }

    fn assignment_stored(&mut self, key: TaskKey, now: Mono) {
        let stopping = self
            .task(key)
            .and_then(|task| task.assignment())
            .filter(|assignment| assignment.start_state == StartState::Storing)
            .map(|assignment| assignment.stopping);
        match stopping {
            Some(true) => self.release_unstarted(key, now),
            Some(false) => self.command_start(key, now),
            None => {}
        }
    }
}
