//! The rows of the table, without injected faults.

use std::collections::BTreeMap;
use std::ops::Bound;

use model::id::OpId;
use model::id::RowVersion;
use plat::table::Row;
use plat::table::Scan;
use plat::table::TableError;
use plat::table::Txn;
use serde_json::Value;

/// A present or deleted row. A row that is written again after its deletion continues its version
/// count.
#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<Value>,
    version: RowVersion,
    op: OpId,
}

/// The rows of the table, with counters of the operations on them.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, StoredRow>,
    commits: u64,
    writes: u64,
    reads: u64,
}

impl Rows {
    /// Executes a transaction atomically.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Conflict`] with the first row whose check fails.
    pub fn commit(&mut self, txn: &Txn) -> Result<Vec<RowVersion>, TableError> {
        for check in &txn.checks {
            let actual = self.version(&check.key);
            if actual != check.version {
                let key = check.key.clone();
                return Err(TableError::Conflict { key, actual });
            }
        }
        self.commits += 1;
        let written = txn.writes.iter();
        Ok(written
            .map(|write| self.write(&write.key, write.value.clone(), &txn.op))
            .collect())
    }

    /// Reads one row.
    pub fn read(&mut self, key: &str) -> Option<Row> {
        self.reads += 1;
        self.row(key)
    }

    /// Reads a page of rows in the order of their keys.
    pub fn scan(&mut self, scan: &Scan) -> Vec<Row> {
        self.reads += 1;
        let from = match &scan.after {
            Some(after) if *after >= scan.prefix => Bound::Excluded(after.clone()),
            _ => Bound::Included(scan.prefix.clone()),
        };
        let rows = self
            .rows
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&scan.prefix));
        rows.filter_map(|(key, row)| row.to_row(key))
            .take(scan.limit)
            .collect()
    }

    /// Returns one row without counting a read.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key)?.to_row(key)
    }

    /// Returns all rows with a key prefix without counting a read.
    #[must_use]
    pub fn rows_with_prefix(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.iter();
        rows.filter(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, row)| row.to_row(key))
            .collect()
    }

    /// Returns the number of committed transactions.
    #[must_use]
    pub const fn commits(&self) -> u64 {
        self.commits
    }

    /// Returns the number of row writes, including deletions.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the number of reads and scans.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.reads
    }

    fn version(&self, key: &str) -> RowVersion {
        let row = self.rows.get(key).filter(|row| row.value.is_some());
        row.map(|row| row.version).unwrap_or_default()
    }

    fn write(&mut self, key: &str, value: Option<Value>, op: &OpId) -> RowVersion {
        self.writes += 1;
        let last = self.rows.get(key).map(|row| row.version);
        let row = StoredRow {
            value,
            version: last.unwrap_or_default().next(),
            op: op.clone(),
        };
        self.rows.insert(key.to_owned(), row);
        self.version(key)
    }
}

impl StoredRow {
    fn to_row(&self, key: &str) -> Option<Row> {
        Some(Row {
            key: key.to_owned(),
            value: self.value.clone()?,
            version: self.version,
            op: self.op.clone(),
        })
    }
}
