//! The table over HTTP and JSON.

use model::id::OpId;
use model::id::RowVersion;
use serde::Deserialize;
use serde::Serialize;

use super::Row;
use super::Scan;
use super::Table;
use super::TableError;
use super::Txn;
use crate::call::call;
use crate::client::Client;
use crate::client::Endpoint;
use crate::client::PostRequest;
use crate::error::CallError;

/// The path of [`Table::commit`].
pub const COMMIT_PATH: &str = "/v1/table/commit";
/// The path of [`Table::read`].
pub const READ_PATH: &str = "/v1/table/read";
/// The path of [`Table::scan`].
pub const SCAN_PATH: &str = "/v1/table/scan";

/// The response to a transaction that took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The id of the transaction.
    pub op: OpId,
    /// The new versions of the rows, in the order of the writes.
    pub versions: Vec<RowVersion>,
}

/// The response to a transaction whose check failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConflictResponse {
    /// The id of the transaction.
    pub op: OpId,
    /// The first row whose check failed.
    pub key: String,
    /// The current version of that row.
    pub actual: RowVersion,
}

/// A request for one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The key of the row.
    pub key: String,
}

/// The response to a request for one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The row, or `None` if it does not exist.
    pub row: Option<Row>,
}

/// The response to a scan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanResponse {
    /// The rows, in the order of their keys.
    pub rows: Vec<Row>,
}

/// Creates the interface to the table at `endpoint`.
#[must_use]
pub fn http(client: &Client, endpoint: Endpoint) -> Table {
    let [commits, reads, scans] = [client.clone(), client.clone(), client.clone()];
    Table {
        commit: call(move |txn| commit(commits.clone(), endpoint, txn)),
        read: call(move |key| read(reads.clone(), endpoint, key)),
        scan: call(move |query| scan(scans.clone(), endpoint, query)),
    }
}

async fn commit(
    client: Client,
    endpoint: Endpoint,
    txn: Txn,
) -> Result<Vec<RowVersion>, TableError> {
    let post = PostRequest::new(COMMIT_PATH, &txn).id(txn.op.as_str());
    let response = client.post(&endpoint, post).await?;
    if response.is_ok() {
        let committed: CommitResponse = response.json()?;
        ensure_matches(committed.op == txn.op)?;
        ensure_matches(committed.versions.len() == txn.writes.len())?;
        return Ok(committed.versions);
    }
    if !response.is_conflict() {
        return Err(response.failure().into());
    }
    let conflict: ConflictResponse = response.json()?;
    ensure_matches(conflict.op == txn.op)?;
    ensure_matches(txn.checks.iter().any(|check| check.key == conflict.key))?;
    Err(TableError::Conflict {
        key: conflict.key,
        actual: conflict.actual,
    })
}

async fn read(client: Client, endpoint: Endpoint, key: String) -> Result<Option<Row>, TableError> {
    let req = ReadRequest { key };
    let post = PostRequest::new(READ_PATH, &req);
    let ReadResponse { row } = client.post_for(&endpoint, post).await?;
    ensure_matches(row.as_ref().is_none_or(|row| row.key == req.key))?;
    Ok(row)
}

async fn scan(client: Client, endpoint: Endpoint, query: Scan) -> Result<Vec<Row>, TableError> {
    let post = PostRequest::new(SCAN_PATH, &query);
    let ScanResponse { rows } = client.post_for(&endpoint, post).await?;
    ensure_matches(query.is_valid_page(&rows))?;
    Ok(rows)
}

/// Returns an error unless the response matches its request.
fn ensure_matches(matches: bool) -> Result<(), CallError> {
    if matches {
        Ok(())
    } else {
        Err(CallError::Unknown("answer to another question".to_owned()))
    }
}
