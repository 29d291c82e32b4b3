//! The platform's transactional table.
//!
//! A row is a JSON value under a text key, with a version that counts its writes and the id of its
//! last write. A transaction is carried out whole or not at all, and only if every row that it
//! checks still has the version it names.

use derive_more::Display;
use derive_more::Error;
use model::id::OpId;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::call::Call;
use crate::error::CallError;

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

/// Why a transaction or a read did not succeed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TableError {
    /// A checked row has another version; nothing was written.
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
