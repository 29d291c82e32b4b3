//! Reads all rows with a key prefix.

use super::MAX_SCAN_ROWS;
use super::Row;
use super::Scan;
use super::Table;
use super::TableError;
use crate::error::CallError;

/// Reads all rows whose key starts with `prefix`, page by page.
///
/// The pages are read one after the other, so the result is not a snapshot: a row that is written
/// during the scan may be missing or outdated. Only a transaction that checks the version of a row
/// can detect this.
///
/// # Errors
///
/// Returns the error of the first page that fails, and [`CallError::Unknown`] if a page does not
/// match its request.
pub async fn scan_all(table: &Table, prefix: &str) -> Result<Vec<Row>, TableError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let page = Scan {
            prefix: prefix.to_owned(),
            after: rows.last().map(|row| row.key.clone()),
            limit: MAX_SCAN_ROWS,
        };
        let found = (table.scan)(page.clone()).await?;
        if !page.is_valid_page(&found) {
            return Err(CallError::Unknown("page out of order".to_owned()).into());
        }
        let is_last = found.is_empty();
        rows.extend(found);
        if is_last {
            return Ok(rows);
        }
    }
}
