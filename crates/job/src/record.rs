//! The stored representation of jobs.
//!
//! Tasks that were never assigned take no space, and each task that has succeeded takes one number. A
//! record that would exceed a row of the store is written in a compact encoding.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::compact_record;
use crate::fleet::Fleet;
use crate::scheduler::AbandonedRun;
use crate::scheduler::Job;
use crate::scheduler::JobState;
use crate::spec::JobSpec;
use crate::task::Phase;
use crate::task::RunNumber;
use crate::terms::Terms;

/// A job as an entry host stores it before it confirms the submission to the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// The name of the queue.
    #[serde(rename = "q")]
    pub queue: Arc<str>,
    /// When the job was accepted, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub accepted_unix_ms: u64,
    /// The specification of the job.
    #[serde(rename = "j")]
    pub spec: Arc<JobSpec>,
    /// The terms of the queue when the job was accepted; `None` in records of earlier releases.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<Terms>,
}

/// The state of a job as its owner stores it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The state of the job as a one-letter code, see [`state_code`].
    #[serde(rename = "s")]
    pub state: char,
    /// The slots of tasks that have succeeded.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks that were assigned and have not succeeded.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
    /// Runs whose lease expired and whose end is unknown.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub abandoned: Vec<AbandonedRun>,
    /// The version of the row with the job's submission; `None` in records of earlier releases. A
    /// record with another version belongs to an earlier job under the same identifier.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub row_version: Option<u64>,
}

/// The state of a task that was assigned and has not succeeded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The task's index among all tasks of the job.
    #[serde(rename = "n")]
    pub slot: u32,
    /// The number of the task's latest run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How many runs of the task have failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// [`crate::task::Task::failed_gang_runs`]; empty in records of earlier releases.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_gang_runs: Vec<RunNumber>,
    /// How often a run of the task was stopped because its progress had stalled.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub stalls: u32,
    /// How many executors in a row have crashed soon after they may have started the task.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// The executor that the task is assigned to, if any.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub executor: Option<Arc<str>>,
    /// The incarnation of that executor: its start time in milliseconds since 1970.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub executor_started_unix_ms: Option<u64>,
    /// The address of that executor, if executors have crashed under the task. It tells a successor
    /// whether this one has crashed as well.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
    /// The task's latest checkpoint.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

impl JobRecord {
    /// Returns the state of the job.
    #[must_use]
    pub const fn state(&self) -> JobState {
        decode_state(self.state)
    }

    /// Returns whether the record belongs to the job whose submission row has this version.
    #[must_use]
    pub fn belongs_to(&self, row_version: u64) -> bool {
        self.row_version
            .is_none_or(|version| version == row_version)
    }

    /// Removes checkpoints, the longest first, until they add up to `bytes`. Returns their number.
    fn omit_longest_checkpoints(&mut self, bytes: usize) -> usize {
        let length = |task: &TaskRecord| task.checkpoint.as_ref().map_or(0, |saved| saved.len());
        let mut tasks: Vec<&mut TaskRecord> = self.tasks.iter_mut().collect();
        tasks.sort_by_key(|task| std::cmp::Reverse(length(task)));
        let (mut omitted, mut saved) = (0, 0);
        for task in tasks {
            if saved >= bytes || task.checkpoint.is_none() {
                break;
            }
            saved += length(task);
            task.checkpoint = None;
            omitted += 1;
        }
        omitted
    }
}

/// Returns the state with this one-letter code. Unknown codes decode as [`JobState::Queued`].
#[must_use]
pub const fn decode_state(code: char) -> JobState {
    match code {
        's' => JobState::Succeeded,
        'f' => JobState::Failed,
        'c' => JobState::Cancelled,
        'r' => JobState::Running,
        _ => JobState::Queued,
    }
}

/// Returns the one-letter code of a state.
#[must_use]
pub const fn state_code(state: JobState) -> char {
    match state {
        JobState::Succeeded => 's',
        JobState::Failed => 'f',
        JobState::Cancelled => 'c',
        JobState::Running => 'r',
        JobState::Queued => 'q',
    }
}

/// A serialised record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRecord {
    /// The value of the row.
    pub bytes: Vec<u8>,
    /// The number of checkpoints that were left out because the record would not have fitted. If
    /// another owner takes over, their tasks resume from an earlier state.
    pub omitted_checkpoints: usize,
}

/// Serialises the record of a job in at most `max_bytes`, if that is possible without losing the
/// state of a task.
///
/// # Panics
///
/// Never: the record contains nothing that JSON cannot represent.
#[must_use]
pub fn encode(job: &Job, fleet: &Fleet, max_bytes: usize) -> EncodedRecord {
    let mut record = record_of(job, fleet);
    let mut bytes = serde_json::to_vec(&record).expect("a record can always be serialised");
    let mut omitted_checkpoints = 0;
    if bytes.len() > max_bytes {
        bytes = compact_record::encode(&record);
    }
    if bytes.len() > max_bytes {
        omitted_checkpoints = record.omit_longest_checkpoints(bytes.len() - max_bytes);
        bytes = compact_record::encode(&record);
    }
    if bytes.len() > max_bytes {
        for task in &mut record.tasks {
            task.address = None;
        }
        for run in &mut record.abandoned {
            run.executor = None;
            run.executor_started_unix_ms = None;
        }
        bytes = compact_record::encode(&record);
    }
    EncodedRecord {
        bytes,
        omitted_checkpoints,
    }
}

/// Deserialises the record of a job in any encoding.
///
/// # Errors
///
/// Returns why the value is no record.
pub fn decode(value: &[u8]) -> Result<JobRecord, String> {
    match value.split_first() {
        Some((&compact_record::VERSION, rest)) => compact_record::decode(rest),
        _ => serde_json::from_slice(value).map_err(|error| error.to_string()),
    }
}

fn record_of(job: &Job, fleet: &Fleet) -> JobRecord {
    let mut record = JobRecord {
        state: state_code(job.state),
        abandoned: job.abandoned.clone(),
        row_version: Some(job.row_version),
        ..JobRecord::default()
    };
    for (slot, task) in (0_u32..).zip(&job.tasks) {
        match &task.phase {
            Phase::Done => record.done.push(slot),
            Phase::Waiting if task.run == 0 => {}
            Phase::Waiting => record.tasks.push(TaskRecord {
                slot,
                run: task.run,
                failures: task.failures,
                failed_gang_runs: task.failed_gang_runs.clone(),
                stalls: task.stalls,
                crashes: task.crashes,
                executor: None,
                executor_started_unix_ms: None,
                address: None,
                checkpoint: task.checkpoint.clone(),
            }),
            Phase::Assigned(assignment) => {
                let executor = fleet.get(assignment.executor);
                record.tasks.push(TaskRecord {
                    slot,
                    run: task.run,
                    failures: task.failures,
                    failed_gang_runs: task.failed_gang_runs.clone(),
                    stalls: task.stalls,
                    crashes: task.crashes,
                    executor: executor.map(|executor| executor.listing.id.clone()),
                    executor_started_unix_ms: executor
                        .map(|executor| executor.listing.started_unix_ms),
                    address: executor
                        .filter(|_| task.crashes > 0)
                        .map(|executor| executor.listing.address.clone()),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
    }
    if record.state().is_final() {
        record.done.clear();
        record.tasks.retain(|task| task.executor.is_some());
    }
    record
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}
