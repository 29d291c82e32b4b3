//! An in-memory store with fault injection.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use dispatch::dependencies::DEFAULT_ROW_BYTES;
use dispatch::dependencies::FollowRequest;
use dispatch::dependencies::Page;
use dispatch::dependencies::Range;
use dispatch::dependencies::Row;
use dispatch::dependencies::RowId;
use dispatch::dependencies::Store;
use dispatch::dependencies::StoreError;
use dispatch::dependencies::Transaction;
use dispatch::rows;
use dispatch::rows::OwnerRecord;
use futures::FutureExt;
use tokio::sync::Notify;

/// Duration of a call to the store.
const CALL_DELAY: Duration = Duration::from_millis(8);
/// Time after which a host stops waiting for an answer.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// The fault that the store simulates for one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls are rejected and nothing is done.
    Refuses,
    /// Calls get no answer and nothing is done.
    Silent,
    /// Writes are applied but not answered.
    LosesAnswers,
    /// The same for the write that releases the executors, while others are answered.
    LosesAnswersToReleases,
    /// Writes are not answered, and are applied after this delay if their expectations still hold.
    DelaysWrites(Duration),
}

type Key = (&'static str, &'static str, String);
/// The value, or `None` if the row was removed, and the version.
type Stored = (Option<Vec<u8>>, u64);
type Rows = BTreeMap<Key, Stored>;

/// Rows with their versions, and a change feed.
#[derive(Default)]
pub struct MemoryStore {
    rows: RefCell<Rows>,
    version: Cell<u64>,
    changed: Notify,
    oldest_change: Cell<u64>,
    /// Tables and keys of rows that no transaction may write.
    pub refused_keys: RefCell<BTreeSet<(&'static str, String)>>,
    /// How long the answer to a read of jobs, records or what was learned is on its way.
    read_transfer: Cell<Duration>,
}

impl MemoryStore {
    /// Returns the value of a row.
    pub fn value(&self, row_id: &RowId) -> Option<Vec<u8>> {
        let key = (row_id.table, row_id.part, row_id.key.clone());
        self.rows.borrow().get(&key)?.0.clone()
    }

    /// Returns the number of transactions that have taken effect.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Writes a row.
    pub fn put(&self, row_id: RowId, value: Vec<u8>) {
        let transaction = Transaction {
            puts: vec![(row_id, value)],
            ..Transaction::default()
        };
        self.apply(&transaction).expect("the row is not refused");
    }

    /// Drops the history of changes, so that followers of a table have to read it again.
    pub fn drop_history(&self) {
        self.oldest_change.set(self.version.get() + 1);
    }

    /// Sets how long the answer to a read of many rows is on its way, as over a full link.
    pub fn set_read_transfer(&self, duration: Duration) {
        self.read_transfer.set(duration);
    }

    /// Writes or removes a row as an operator does.
    pub fn set(&self, row_id: RowId, value: Option<Vec<u8>>) {
        let mut transaction = Transaction::default();
        match value {
            Some(value) => transaction.puts.push((row_id, value)),
            None => transaction.removes.push(row_id),
        }
        self.apply(&transaction)
            .expect("a transaction without expectations");
    }

    fn apply(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let mut rows = self.rows.borrow_mut();
        let exceeds = |(_, value): &(RowId, Vec<u8>)| value.len() > DEFAULT_ROW_BYTES;
        let refused = self.refused_keys.borrow();
        if transaction.puts.iter().any(exceeds)
            || transaction
                .puts
                .iter()
                .any(|(row_id, _)| refused.contains(&(row_id.table, row_id.key.clone())))
        {
            return Err(StoreError::Protocol);
        }
        let current = |rows: &Rows, row_id: &RowId| {
            rows.get(&(row_id.table, row_id.part, row_id.key.clone()))
                .filter(|(value, _)| value.is_some())
                .cloned()
                .unwrap_or((None, 0))
        };
        let conflict = transaction
            .expect
            .iter()
            .any(|(row_id, version)| current(&rows, row_id).1 != *version);
        if conflict {
            let rows = transaction
                .expect
                .iter()
                .map(|(row_id, _)| {
                    let (value, version) = current(&rows, row_id);
                    Row {
                        key: row_id.key.clone(),
                        value,
                        version,
                    }
                })
                .collect();
            return Err(StoreError::Conflict { rows });
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for (row_id, value) in &transaction.puts {
            let key = (row_id.table, row_id.part, row_id.key.clone());
            rows.insert(key, (Some(value.clone()), version));
        }
        for row_id in &transaction.removes {
            let key = (row_id.table, row_id.part, row_id.key.clone());
            rows.insert(key, (None, version));
        }
        self.changed.notify_waiters();
        Ok(version)
    }

    fn read(&self, range: &Range) -> Page {
        let rows = self
            .rows
            .borrow()
            .iter()
            .filter(|((table, part, key), _)| {
                *table == range.table
                    && *part == range.part
                    && *key >= range.from
                    && range.to.as_ref().is_none_or(|to| key < to)
            })
            .filter_map(|((_, _, key), (value, version))| {
                Some(Row {
                    key: key.clone(),
                    value: Some(value.clone()?),
                    version: *version,
                })
            })
            .collect();
        Page {
            rows,
            has_more: false,
            version: self.version.get(),
        }
    }

    async fn follow(&self, follow: &FollowRequest) -> Result<Page, StoreError> {
        let limit = tokio::time::Instant::now() + follow.wait;
        loop {
            let changed = self.changed.notified();
            if follow.after + 1 < self.oldest_change.get() {
                return Err(StoreError::HistoryGone);
            }
            let mut rows: Vec<Row> = self
                .rows
                .borrow()
                .iter()
                .filter(|((table, _, _), (_, version))| {
                    *table == follow.table && *version > follow.after
                })
                .map(|((_, _, key), (value, version))| Row {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                })
                .collect();
            rows.sort_by_key(|row| row.version);
            let timed_out = tokio::time::Instant::now() >= limit;
            if !rows.is_empty() || timed_out {
                return Ok(Page {
                    rows,
                    has_more: false,
                    version: self.version.get(),
                });
            }
            // A timeout is reported to the caller as an empty page.
            let _ = tokio::time::timeout_at(limit, changed).await;
        }
    }
}

/// Returns the store with the faults of one host. Each call takes `distance` longer than for a host
/// in the store's region.
pub fn store(memory: &Rc<MemoryStore>, fault: &Rc<Cell<StoreFault>>, distance: Duration) -> Store {
    let (commit_memory, commit_fault) = (memory.clone(), fault.clone());
    let (read_memory, read_fault) = (memory.clone(), fault.clone());
    let (follow_memory, follow_fault) = (memory.clone(), fault.clone());
    Store {
        commit: Box::new(move |transaction| {
            let (memory, fault) = (commit_memory.clone(), commit_fault.get());
            async move {
                tokio::time::sleep(distance).await;
                commit(memory, fault, transaction).await
            }
            .boxed_local()
        }),
        read: Box::new(move |range| {
            let memory = read_memory.clone();
            let fault = read_fault.get();
            async move {
                tokio::time::sleep(distance).await;
                reachable(fault).await?;
                let page = memory.read(&range);
                if range.table != rows::OWNER_TABLE {
                    tokio::time::sleep(memory.read_transfer.get()).await;
                }
                Ok(page)
            }
            .boxed_local()
        }),
        follow: Box::new(move |follow| {
            let memory = follow_memory.clone();
            let fault = follow_fault.get();
            async move {
                tokio::time::sleep(distance).await;
                reachable(fault).await?;
                memory.follow(&follow).await
            }
            .boxed_local()
        }),
        row_bytes: DEFAULT_ROW_BYTES,
    }
}

pub async fn reachable(fault: StoreFault) -> Result<(), StoreError> {
    tokio::time::sleep(CALL_DELAY).await;
    match fault {
        StoreFault::Refuses => Err(StoreError::Refused),
        StoreFault::Silent => {
            tokio::time::sleep(TIMEOUT).await;
            Err(StoreError::Unanswered)
        }
        StoreFault::None
        | StoreFault::LosesAnswers
        | StoreFault::LosesAnswersToReleases
        | StoreFault::DelaysWrites(_) => Ok(()),
    }
}

async fn commit(
    memory: Rc<MemoryStore>,
    fault: StoreFault,
    transaction: Transaction,
) -> Result<u64, StoreError> {
    if let StoreFault::DelaysWrites(delay) = fault {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            // The caller no longer waits for the result.
            let _ = memory.apply(&transaction);
        });
        tokio::time::sleep(TIMEOUT).await;
        return Err(StoreError::Unanswered);
    }
    reachable(fault).await?;
    let result = memory.apply(&transaction);
    let loses_answer = match fault {
        StoreFault::LosesAnswersToReleases => releases_executors(&transaction),
        _ => fault == StoreFault::LosesAnswers,
    };
    if loses_answer {
        tokio::time::sleep(TIMEOUT).await;
        return Err(StoreError::Unanswered);
    }
    result
}

/// Returns whether a transaction releases the executors.
fn releases_executors(transaction: &Transaction) -> bool {
    let owner_row = transaction
        .puts
        .iter()
        .find(|(row_id, _)| row_id.table == rows::OWNER_TABLE);
    owner_row.is_some_and(|(_, value)| {
        serde_json::from_slice(value).is_ok_and(|record: OwnerRecord| record.released)
    })
}
