//! What an owner stores about leases for its successor.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::authority::Witness;
use crate::id::JobId;
use crate::task::RunNumber;

/// The largest number of silent executors that the record names. The others are treated as if nothing
/// were stored of them.
pub const MAX_SILENT_EXECUTORS: usize = 400;
/// The largest number of suspected runs that the record names, so that it fits a row of the store. A
/// successor does not suspect the others.
pub const MAX_STORED_SUSPECTS: usize = 256;

/// The witnesses, and the executors whose leases are not extended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The executors whose acceptance proves that no other owner has followed.
    #[serde(default)]
    pub witnesses: Vec<Witness>,
    /// The executors that do not answer.
    #[serde(default)]
    pub silent: Vec<SilentExecutor>,
}

/// An executor that does not answer. Its leases are not extended for as long as the stored record names
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentExecutor {
    /// The incarnation that does not answer.
    #[serde(flatten)]
    pub executor: Witness,
    /// When the record was written, its leases expired within this time, in milliseconds.
    pub lease_ms: u64,
    /// The address at which a later process shows that this one has ended; empty if it is unknown, as in
    /// records of earlier releases.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub address: Arc<str>,
    /// The runs that are suspected if the executor turns out to have crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectedRun>,
}

/// A run that may have started on an executor, and that the executor was not seen to survive before it
/// became silent. Serialised as an array, because a record may name many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(JobId, u32, RunNumber)", into = "(JobId, u32, RunNumber)")]
pub struct SuspectedRun {
    /// The job.
    pub job: JobId,
    /// The task's index among all tasks of the job.
    pub slot: u32,
    /// The number of the run.
    pub run: RunNumber,
}

impl From<(JobId, u32, RunNumber)> for SuspectedRun {
    fn from((job, slot, run): (JobId, u32, RunNumber)) -> Self {
        Self { job, slot, run }
    }
}

impl From<SuspectedRun> for (JobId, u32, RunNumber) {
    fn from(suspect: SuspectedRun) -> Self {
        (suspect.job, suspect.slot, suspect.run)
    }
}
