//! The rows that fireflynotch writes to the store.
//!
//! | table | part | key | value | written by |
//! |---|---|---|---|---|
//! | `owner` | `owned` | `owner` | the owner and its epoch, [`OwnerRecord`] | the owner |
//! | `owner` | `owned` | `leases` | whose leases are not extended, `job::lease_record::LeaseRecord` | the owner |
//! | `runs` | `owned` | job | durable state of a job, `job::record::JobRecord` | the owner |
//! | `learned` | `owned` | `interference` | `job::interference::LearnedPair` | the owner |
//! | `jobs` | `jobs-`digit | job | the job as submitted | the host that accepted it |
//! | `jobs` | `jobs-`digit | job | the marker of a refusal, [`RefusalRecord`] | the host that refused it |
//! | `jobs` | `jobs-`digit | job + `-cancel` | [`CancellationRecord`] | the host that received it |
//!
//! No row exceeds `Store::max_value_bytes`: submissions are refused, records of jobs are compact, and
//! learned pairs are left out. See `docs/design/bounded-rows.md`.
//!
//! Each transaction of the owner expects the previous version of the owner's row and writes the row
//! again. Therefore a delayed copy of a transaction has no effect, and a successor that sees the
//! row change knows that the owner is alive.

use job::id::JobId;
use serde::Deserialize;
use serde::Serialize;

use crate::dependencies::Range;
use crate::dependencies::Row;
use crate::dependencies::RowId;

/// Table with the owner's row.
pub const OWNER_TABLE: &str = "owner";
/// Table with the durable state of jobs.
pub const RUNS_TABLE: &str = "runs";
/// Table with the learned interference between images.
pub const LEARNED_TABLE: &str = "learned";
/// Key of the learned interference between images.
pub const INTERFERENCE_KEY: &str = "interference";
/// The part that holds all rows written by the owner.
pub const OWNED_PART: &str = "owned";
/// Key of the row about leases.
pub const LEASES_KEY: &str = "leases";
/// Key of the owner's row.
pub const OWNER_KEY: &str = "owner";
/// Table with accepted jobs and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// Parts of the table of jobs. The store applies the transactions of a part one after another, and
/// each takes longer when the store is slow, so jobs are distributed over many parts by the last
/// digit of their ids.
pub const JOBS_PARTS: [&str; 16] = [
    "jobs-0", "jobs-1", "jobs-2", "jobs-3", "jobs-4", "jobs-5", "jobs-6", "jobs-7", "jobs-8",
    "jobs-9", "jobs-a", "jobs-b", "jobs-c", "jobs-d", "jobs-e", "jobs-f",
];
/// Suffix of the key of a cancellation.
const CANCEL_SUFFIX: &str = "-cancel";

/// The owner of the executors.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Epoch; it increases with each owner, and executors reject lower epochs.
    pub epoch: u64,
    /// Name of the host.
    pub host: String,
    /// Incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which the owner listens for its peers.
    pub address: String,
    /// Number of the transaction that wrote this row.
    pub transaction: u64,
    /// Whether the owner has released the executors and grants no more leases.
    pub released: bool,
    /// Whether the owner has sent calls by way of relays, which may hold them for a while after it has
    /// ended.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub relays: bool,
    /// Whether this owner, and each earlier one that may still act, extends leases only with the support
    /// of the witnesses in the row about leases. Owners of earlier releases do not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub witnessed: bool,
    /// Whether the calls of this owner, and of each earlier one whose calls may still arrive, reach only the
    /// incarnation of an executor that they are meant for. Those of earlier releases do not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub binds_calls: bool,
    /// Whether all earlier owners are known to have ended.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub settled: bool,
    /// Name of the host that claims first after the release; others wait longer. `None` from earlier
    /// releases, and while the executors are not released.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<String>,
}

/// The marker of a refusal, in the place of the job. A late write of the job expects an absent row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalRecord {
    /// When the job was refused, in milliseconds since 1970.
    pub refused_unix_ms: u64,
}

/// Returns whether a row of the table of jobs is the marker of a refusal.
#[must_use]
pub fn is_refusal(row: &Row) -> bool {
    let value = row.value.as_deref();
    value.is_some_and(|value| serde_json::from_slice::<RefusalRecord>(value).is_ok())
}

/// A cancellation, or the tombstone of a job that is not stored. Earlier releases write an empty object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationRecord {
    /// When it was stored, in milliseconds since 1970, by the clock of the host.
    #[serde(rename = "at", default)]
    pub cancelled_unix_ms: u64,
}

/// Returns the id of the owner's row.
#[must_use]
pub fn owner_row_id() -> RowId {
    RowId {
        table: OWNER_TABLE,
        part: OWNED_PART,
        key: OWNER_KEY.to_owned(),
    }
}

/// Returns the range that contains the owner's row, and no other.
#[must_use]
pub fn owner_row_range() -> Range {
    Range {
        table: OWNER_TABLE,
        part: OWNED_PART,
        from: OWNER_KEY.to_owned(),
        to: None,
    }
}

/// Returns the id of the row about leases.
#[must_use]
pub fn leases_row_id() -> RowId {
    RowId {
        table: OWNER_TABLE,
        part: OWNED_PART,
        key: LEASES_KEY.to_owned(),
    }
}

/// Returns the range that contains the row about leases, and no other.
#[must_use]
pub fn leases_row_range() -> Range {
    Range {
        table: OWNER_TABLE,
        part: OWNED_PART,
        from: LEASES_KEY.to_owned(),
        to: Some(format!("{LEASES_KEY}\0")),
    }
}

/// Returns the id of the row with the learned interference.
#[must_use]
pub fn interference_row_id() -> RowId {
    RowId {
        table: LEARNED_TABLE,
        part: OWNED_PART,
        key: INTERFERENCE_KEY.to_owned(),
    }
}

/// Returns the id of the row with the durable state of a job.
#[must_use]
pub fn run_row_id(id: JobId) -> RowId {
    RowId {
        table: RUNS_TABLE,
        part: OWNED_PART,
        key: id.to_string(),
    }
}

/// Returns the part of the table of jobs to which a job belongs.
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

/// Returns the id of the row of an accepted job.
#[must_use]
pub fn job_row_id(id: JobId) -> RowId {
    RowId {
        table: JOBS_TABLE,
        part: jobs_part(id),
        key: id.to_string(),
    }
}

/// Returns the id of the row with the cancellation of a job.
#[must_use]
pub fn cancellation_row_id(id: JobId) -> RowId {
    RowId {
        table: JOBS_TABLE,
        part: jobs_part(id),
        key: format!("{id}{CANCEL_SUFFIX}"),
    }
}

/// A parsed key of the table of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobsKey {
    /// The row of an accepted job.
    Job(JobId),
    /// The row of a cancellation.
    Cancel(JobId),
}

impl JobsKey {
    /// Parses a key; returns `None` if it contains no valid job id.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => JobId::parse(id).ok().map(Self::Cancel),
            None => JobId::parse(key).ok().map(Self::Job),
        }
    }
}
