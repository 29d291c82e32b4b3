//! A fake transactional table.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use model::id::OpId;
use plat::call::call;
use plat::table::CALL_TIMEOUT;
use plat::table::Scan;
use plat::table::Table;
use plat::table::TableError;
use plat::table::Txn;
use plat::table::Write;
use plat::table::http::COMMIT_PATH;
use plat::table::http::CommitResponse;
use plat::table::http::ConflictResponse;
use plat::table::http::READ_PATH;
use plat::table::http::ReadRequest;
use plat::table::http::ReadResponse;
use plat::table::http::SCAN_PATH;
use plat::table::http::ScanResponse;
use serde_json::Value;

use crate::faults::Faults;
use crate::faults::inject;
use crate::server;
use crate::server::HandlerResponse;
use crate::server::Request;
use crate::server::Server;

mod rows;

pub use self::rows::Rows;

/// A fake transactional table; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: Arc<Mutex<Rows>>,
    faults: Faults,
}

impl FakeTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the fault injection of the table; the operations are `commit`, `read` and `scan`.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Locks the rows, to inspect them or to write them without injected faults.
    ///
    /// The lock must not be held across an await point.
    pub fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row unconditionally, as another client of the table.
    ///
    /// # Panics
    ///
    /// Panics if a transaction without checks conflicts, which cannot happen.
    pub fn put(&self, key: &str, value: Value) {
        let mut rows = self.rows();
        let write = Write {
            key: key.to_owned(),
            value: Some(value),
        };
        let txn = Txn {
            op: OpId::from(format!("put-{}", rows.commits())),
            checks: Vec::new(),
            writes: vec![write],
        };
        rows.commit(&txn)
            .expect("a transaction without checks cannot conflict");
    }

    /// Returns the client interface without a socket.
    #[must_use]
    pub fn direct(&self) -> Table {
        let [commits, reads, scans] = [self.clone(), self.clone(), self.clone()];
        Table {
            commit: call(move |txn: Txn| {
                let table = commits.clone();
                let faults = table.faults.clone();
                let apply = move || table.rows().commit(&txn);
                async move { inject(&faults, "commit", CALL_TIMEOUT, apply).await }
            }),
            read: call(move |key: String| {
                let table = reads.clone();
                let faults = table.faults.clone();
                let apply = move || Ok::<_, TableError>(table.rows().read(&key));
                async move { inject(&faults, "read", CALL_TIMEOUT, apply).await }
            }),
            scan: call(move |scan: Scan| {
                let table = scans.clone();
                let faults = table.faults.clone();
                let apply = move || Ok::<_, TableError>(table.rows().scan(&scan));
                async move { inject(&faults, "scan", CALL_TIMEOUT, apply).await }
            }),
        }
    }

    /// Starts an HTTP server with the wire format of `plat::table::http`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let table = self.clone();
        server::serve(address, self.faults.clone(), move |req| table.handle(req)).await
    }

    fn handle(&self, req: &Request) -> HandlerResponse {
        match req.path.as_str() {
            COMMIT_PATH => match serde_json::from_slice(&req.body) {
                Ok(txn) => self.commit(txn),
                Err(error) => HandlerResponse::refused(400, &error.to_string()),
            },
            READ_PATH => match serde_json::from_slice(&req.body) {
                Ok(ReadRequest { key }) => {
                    let row = self.rows().read(&key);
                    HandlerResponse::json(200, &ReadResponse { row })
                }
                Err(error) => HandlerResponse::refused(400, &error.to_string()),
            },
            SCAN_PATH => match serde_json::from_slice(&req.body) {
                Ok(scan) => {
                    let rows = self.rows().scan(&scan);
                    HandlerResponse::json(200, &ScanResponse { rows })
                }
                Err(error) => HandlerResponse::refused(400, &error.to_string()),
            },
            _ => HandlerResponse::refused(404, "no such path"),
        }
    }

    fn commit(&self, txn: Txn) -> HandlerResponse {
        match self.rows().commit(&txn) {
            Ok(versions) => {
                let op = txn.op;
                HandlerResponse::json(200, &CommitResponse { op, versions })
            }
            Err(TableError::Conflict { key, actual }) => {
                let op = txn.op;
                HandlerResponse::json(409, &ConflictResponse { op, key, actual })
            }
            Err(TableError::Call(error)) => HandlerResponse::refused(503, &error.to_string()),
        }
    }
}
