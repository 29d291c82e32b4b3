//! A transactional in-memory table.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::id::RowVersion;
use plat::commit::TxnOutcome;
use plat::table::Row;
use plat::table::Txn;

/// A simple in-memory implementation of the platform's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    rows: BTreeMap<String, Arc<Row>>,
    versions: BTreeMap<String, RowVersion>,
}

impl Store {
    /// Executes a transaction atomically and returns its outcome.
    pub fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        for check in &txn.checks {
            let row = self.rows.get(&check.key);
            if row.map_or(RowVersion(0), |row| row.version) != check.version {
                let (key, row) = (check.key.clone(), row.map(|row| Row::clone(row)));
                return TxnOutcome::Conflict { key, row };
            }
        }
        for write in &txn.writes {
            let version = self.versions.entry(write.key.clone()).or_default();
            *version = version.next();
            let row = write.value.clone().map(|value| Row {
                key: write.key.clone(),
                value,
                version: *version,
                op: txn.op.clone(),
            });
            match row {
                Some(row) => self.rows.insert(write.key.clone(), Arc::new(row)),
                None => self.rows.remove(&write.key),
            };
        }
        TxnOutcome::Committed
    }

    /// Returns the row under a key, if it exists.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<&Row> {
        self.rows.get(key).map(Arc::as_ref)
    }

    /// Returns the rows whose keys start with a prefix, ordered by key.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .map(|row| Row::clone(row))
            .collect()
    }

    /// Returns the parsed value of a row, if the row exists.
    ///
    /// # Panics
    ///
    /// Panics if the row's value cannot be parsed as `T`.
    #[must_use]
    pub fn parsed<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let row = self.read(key)?;
        Some(serde_json::from_value(row.value.clone()).expect("rows of this crate parse"))
    }
}
