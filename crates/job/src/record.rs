//! What is stored of a job while it runs and after it has ended.
//!
//! Tasks that were never assigned take no room, and tasks that have ended well take a number each.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::scheduler::Job;
use crate::scheduler::JobState;
use crate::spec::JobSpec;
use crate::task::Phase;
use crate::task::RunNumber;

/// A job as an entry host stores it before it tells the caller that it is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// The name of the queue.
    #[serde(rename = "q")]
    pub queue: Arc<str>,
    /// When it was accepted, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub accepted_unix_ms: u64,
    /// What it consists of.
    #[serde(rename = "j")]
    pub spec: Arc<JobSpec>,
}

/// A job as its owner stores it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// How the job stands, in one letter.
    #[serde(rename = "s")]
    pub state: char,
    /// The slots of tasks that have ended well.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks that were assigned and have not ended well.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRecord>,
}

/// A task that was assigned and has not ended well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Its place among all tasks of the job.
    #[serde(rename = "n")]
    pub slot: u32,
    /// The number of its newest start.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How many of its runs have failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The executor that it is assigned to.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub executor: Option<Arc<str>>,
    /// Which life of that executor, in milliseconds since 1970.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub executor_started_unix_ms: Option<u64>,
    /// Its newest checkpoint.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}

impl JobRecord {
    /// Returns how the job stands.
    #[must_use]
    pub const fn state(&self) -> JobState {
        decode_state(self.state)
    }
}

/// Returns the state that a letter stands for.
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

/// Returns the letter that stands for a state.
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

/// Returns the row of a job.
///
/// # Panics
///
/// Never: the record holds nothing that JSON cannot express.
#[must_use]
pub fn encode(job: &Job, fleet: &Fleet) -> Vec<u8> {
    let mut record = JobRecord {
        state: state_code(job.state),
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
                executor: None,
                executor_started_unix_ms: None,
                checkpoint: task.checkpoint.clone(),
            }),
            Phase::Assigned(at) => {
                let executor = fleet.get(at.executor);
                record.tasks.push(TaskRecord {
                    slot,
                    run: task.run,
                    failures: task.failures,
                    executor: executor.map(|executor| executor.listing.id.clone()),
                    executor_started_unix_ms: executor
                        .map(|executor| executor.listing.started_unix_ms),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
    }
    if record.state().is_final() {
        record.done.clear();
        record.tasks.retain(|task| task.executor.is_some());
    }
    serde_json::to_vec(&record).expect("a record is always expressible")
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}
