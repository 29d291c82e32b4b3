//! The platform's transactional table.
//!
//! A row is a JSON value under a text key, with a version that counts its writes and the id of its
//! last write. A transaction is atomic and takes effect only if every row that it checks still has
//! the expected version.

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

/// The timeout of a call to the table.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest accepted response body of the table, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The largest number of rows that one scan may request.
pub const MAX_SCAN_ROWS: usize = 500;

/// A row as returned by a read or scan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The key, whose segments are joined by `/`.
    pub key: String,
    /// The JSON value, whose structure depends on the kind of row.
    pub value: Value,
    /// The number of writes of the row; it continues when a deleted row is written again.
    pub version: RowVersion,
    /// The id of the transaction that wrote this version.
    pub op: OpId,
}

/// A precondition of a transaction: the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have, or 0 if it must not exist.
    pub version: RowVersion,
}

/// A write of a transaction, which replaces or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<Value>,
}

/// An atomic transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Txn {
    /// The id of the transaction, which is stored with each row that it writes.
    pub op: OpId,
    /// The preconditions, all of which must hold.
    pub checks: Vec<Check>,
    /// The writes, which take effect together.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Returns whether at most one of several copies can take effect, because the transaction
    /// writes a row that it checks and thereby changes its version.
    ///
    /// For a check that a row does not exist, this holds only as long as nobody deletes the row
    /// while copies may be in flight, see "Repeating a transaction" in `docs/PLATFORM.md`.
    #[must_use]
    pub fn is_retry_safe(&self) -> bool {
        self.checks.iter().any(|check| self.writes_to(&check.key))
    }

    fn writes_to(&self, key: &str) -> bool {
        self.writes.iter().any(|write| write.key == key)
    }
}

/// The error of a call to the table.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum TableError {
    /// A checked row has another version, so this copy of the transaction wrote nothing.
    #[from(skip)]
    #[display("row {key} is at version {actual}")]
    Conflict {
        /// The key of the first row whose check failed.
        key: String,
        /// The current version of that row.
        actual: RowVersion,
    },
    /// The call failed; the variant of the error shows whether it may have had an effect.
    #[display("{_0}")]
    Call(#[error(not(source))] CallError),
}

/// A request for one page of the rows with a key prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// The prefix of the keys.
    pub prefix: String,
    /// The last key of the previous page; only greater keys are returned.
    pub after: Option<String>,
    /// The largest number of rows to return, at most [`MAX_SCAN_ROWS`].
    pub limit: usize,
}

impl Scan {
    /// Returns whether `rows` is a valid response: ordered by key, within the limit, with the
    /// prefix and after the given key.
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

/// The interface to the table.
#[derive(Clone)]
pub struct Table {
    /// Commits a transaction and returns the new versions of its rows, in the order of its writes.
    pub commit: Call<Txn, Result<Vec<RowVersion>, TableError>>,
    /// Reads the row with the given key; `None` if it does not exist.
    pub read: Call<String, Result<Option<Row>, TableError>>,
    /// Reads one page of rows in the order of their keys; the page after the last row is empty.
    pub scan: Call<Scan, Result<Vec<Row>, TableError>>,
}
