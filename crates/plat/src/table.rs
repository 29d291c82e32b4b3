//! The platform's transactional table.
//!
//! A row is a JSON value under a text key, with a version that counts its writes and the id of its
//! last write. A transaction is carried out whole or not at all, and only if every row that it
//! checks still has the version it names.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use model::id::OpId;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::call::Call;
use crate::error::CallError;

pub mod http;
mod scan;

pub use self::http::http;
pub use self::scan::scan_all;

/// How long one call of the table may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest answer of the table that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The most rows that one scan may ask for.
pub const MAX_SCAN_ROWS: usize = 500;

/// One row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The key, segments joined by `/`.
    pub key: String,
    /// The value.
    pub value: Value,
    /// How often the row was written; deleting a row and writing it again goes on counting.
    pub version: RowVersion,
    /// The id of the write that made this version.
    pub op: OpId,
}

/// A condition of a transaction: the row still has this version, 0 for an absent row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have.
    pub version: RowVersion,
}

/// One write of a transaction; no value deletes the row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<Value>,
}

/// Several writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Txn {
    /// The id of this write, kept with each row it writes.
    pub op: OpId,
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Returns whether of several copies at most one can take effect, because some row that it
    /// checks is also written and so has another version afterwards.
    ///
    /// A check for an absent row counts only as long as nobody deletes that row while copies may be
    /// under way, see "Repeating a transaction" in `docs/PLATFORM.md`.
    #[must_use]
    pub fn is_retry_safe(&self) -> bool {
        self.checks.iter().any(|check| self.writes_to(&check.key))
    }

    fn writes_to(&self, key: &str) -> bool {
        self.writes.iter().any(|write| write.key == key)
    }
}

/// Why a transaction or a read did not succeed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum TableError {
    /// A checked row has another version; nothing was written.
    #[from(skip)]
    #[display("row {key} is at version {actual}")]
    Conflict {
        /// The key of the first row whose check failed.
        key: String,
        /// The version the row has.
        actual: RowVersion,
    },
    /// The call itself failed.
    #[display("{_0}")]
    Call(#[error(not(source))] CallError),
}

/// The rows below a prefix, one page at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The prefix that the keys start with.
    pub prefix: String,
    /// Only keys after this one.
    pub after: Option<String>,
    /// The most rows to return.
    pub limit: usize,
}

impl Scan {
    /// Returns whether `rows` can be the answer: in order, within the limit, below the prefix and
    /// after the key named.
    #[must_use]
    pub fn is_valid_page(&self, rows: &[Row]) -> bool {
        let mut last = self.after.as_deref();
        rows.len() <= self.limit
            && rows.iter().all(|row| {
                let follows = last.is_none_or(|last| last < row.key.as_str());
                last = Some(&row.key);
                follows && row.key.starts_with(&self.prefix)
            })
    }
}

/// The calls of the table.
#[derive(Clone)]
pub struct Table {
    /// Carries out a transaction and returns the new versions, in the order of its writes.
    pub commit: Call<Txn, Result<Vec<RowVersion>, TableError>>,
    /// Reads one row.
    pub read: Call<String, Result<Option<Row>, TableError>>,
    /// Reads rows in the order of their keys.
    pub scan: Call<Scan, Result<Vec<Row>, TableError>>,
}
