//! The rows that fireflynotch keeps in the store.
//!
//! | table | part | key | holds | written by |
//! |---|---|---|---|---|
//! | `owner` | `owned` | `owner` | who owns the executors, epoch, number of the last transaction | the owner, with each transaction |
//! | `runs` | `owned` | job | what is stored of a job, `job::record::JobRecord` | the owner |
//! | `learned` | `owned` | `interference` | which images disturb each other, `job::interference::LearnedPair` | the owner, now and then |
//! | `jobs` | `jobs-`digit | job | the job as it was accepted | the host that accepted it |
//! | `jobs` | `jobs-`digit | job + `-cancel` | that its caller cancelled it | the host that was told |
//!
//! The owner's row changes with each of its transactions, which expects the version before. So a
//! copy of a transaction that is late changes nothing, and a successor that saw the row change knows
//! that the owner lives.

use job::id::JobId;
use serde::Deserialize;
use serde::Serialize;

use crate::dependencies::RowId;

/// The table with the owner's row.
pub const OWNER_TABLE: &str = "owner";
/// The table with what is stored of jobs.
pub const RUNS_TABLE: &str = "runs";
/// The table with what was learned.
pub const LEARNED_TABLE: &str = "learned";
/// The key of what was learned about images that disturb each other.
pub const INTERFERENCE_KEY: &str = "interference";
/// The part of all of them.
pub const OWNED_PART: &str = "owned";
/// The key of the owner's row.
pub const OWNER_KEY: &str = "owner";
/// The table with accepted jobs and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// Its parts. A part carries out its transactions one after another, and a slow store makes each of
/// them longer, so that jobs are spread over many by the last digit of their names.
pub const JOBS_PARTS: [&str; 16] = [
    "jobs-0", "jobs-1", "jobs-2", "jobs-3", "jobs-4", "jobs-5", "jobs-6", "jobs-7", "jobs-8",
    "jobs-9", "jobs-a", "jobs-b", "jobs-c", "jobs-d", "jobs-e", "jobs-f",
];
/// What the key of a cancellation ends with.
const CANCEL_SUFFIX: &str = "-cancel";

/// Who owns the executors.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Rises with each owner; executors refuse lower ones.
    pub epoch: u64,
    /// The name of the host.
    pub host: String,
    /// Which life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where it listens for other hosts.
    pub address: String,
    /// The number of the transaction that wrote this row.
    pub transaction: u64,
    /// Whether the owner has given the executors up and grants no leases any more.
    pub released: bool,
}

/// Returns where the owner's row lies.
#[must_use]
pub fn owner_row_id() -> RowId {
    RowId {
        table: OWNER_TABLE,
        part: OWNED_PART,
        key: OWNER_KEY.to_owned(),
    }
}

/// Returns where lies what was learned about images that disturb each other.
#[must_use]
pub fn interference_row_id() -> RowId {
    RowId {
        table: LEARNED_TABLE,
        part: OWNED_PART,
        key: INTERFERENCE_KEY.to_owned(),
    }
}

/// Returns where the record of a job lies.
#[must_use]
pub fn run_row_id(id: JobId) -> RowId {
    RowId {
        table: RUNS_TABLE,
        part: OWNED_PART,
        key: id.to_string(),
    }
}

/// Returns the part of the table of jobs that a job lies in.
#[must_use]
pub fn jobs_part(id: JobId) -> &'static str {
    let digit = id
        .as_str()
        .chars()
        .last()
        .and_then(|last| last.to_digit(16));
    let index = digit.and_then(|digit| usize::try_from(digit).ok());
    JOBS_PARTS[index.unwrap_or(0)]
}

/// Returns where an accepted job lies.
#[must_use]
pub fn job_row_id(id: JobId) -> RowId {
    RowId {
        table: JOBS_TABLE,
        part: jobs_part(id),
        key: id.to_string(),
    }
}

/// Returns where the cancellation of a job lies.
#[must_use]
pub fn cancellation_row_id(id: JobId) -> RowId {
    RowId {
        table: JOBS_TABLE,
        part: jobs_part(id),
        key: format!("{id}{CANCEL_SUFFIX}"),
    }
}

/// What a key of the table of jobs names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobsKey {
    /// An accepted job.
    Job(JobId),
    /// A cancellation.
    Cancel(JobId),
}

impl JobsKey {
    /// Reads a key.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => JobId::parse(id).ok().map(Self::Cancel),
            None => JobId::parse(key).ok().map(Self::Job),
        }
    }
}
