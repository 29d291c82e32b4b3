//! A store in memory.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dispatch::dependencies::FollowRequest;
use dispatch::dependencies::Page;
use dispatch::dependencies::Range;
use dispatch::dependencies::Row;
use dispatch::dependencies::RowId;
use dispatch::dependencies::Store;
use dispatch::dependencies::StoreError;
use dispatch::dependencies::Transaction;
use futures::FutureExt;
use tokio::sync::Notify;

/// How long an answer takes.
const CALL_DELAY: Duration = Duration::from_millis(8);
/// After how long a host gives up on an answer.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// How the store fails for one host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreFault {
    /// Not at all.
    #[default]
    None,
    /// Calls are turned away; nothing is done.
    Refuses,
    /// Calls get no answer and nothing is done.
    Silent,
    /// Writes are carried out and not answered.
    LosesAnswers,
    /// Writes are not answered, and carried out this much later if their condition still holds.
    Late(Duration),
}

type Key = (&'static str, &'static str, String);
/// A value, unless the row was removed, and its version.
type Stored = (Option<Vec<u8>>, u64);
type Rows = BTreeMap<Key, Stored>;

/// The rows and their versions.
#[derive(Default)]
pub struct MemoryStore {
    rows: RefCell<Rows>,
    version: Cell<u64>,
    changed: Notify,
    oldest_change: Cell<u64>,
}

impl MemoryStore {
    /// Returns a row's value.
    pub fn value(&self, place: &RowId) -> Option<Vec<u8>> {
        let key = (place.table, place.part, place.key.clone());
        self.rows.borrow().get(&key)?.0.clone()
    }

    /// Forgets the history, so that what follows a table has to read it anew.
    pub fn drop_history(&self) {
        self.oldest_change.set(self.version.get() + 1);
    }

    fn apply(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let mut rows = self.rows.borrow_mut();
        let current = |rows: &Rows, place: &RowId| {
            rows.get(&(place.table, place.part, place.key.clone()))
                .filter(|(value, _)| value.is_some())
                .cloned()
                .unwrap_or((None, 0))
        };
        let conflict = transaction
            .expect
            .iter()
            .any(|(place, version)| current(&rows, place).1 != *version);
        if conflict {
            let rows = transaction
                .expect
                .iter()
                .map(|(place, _)| {
                    let (value, version) = current(&rows, place);
                    Row {
                        key: place.key.clone(),
                        value,
                        version,
                    }
                })
                .collect();
            return Err(StoreError::Conflict { rows });
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for (place, value) in &transaction.puts {
            let key = (place.table, place.part, place.key.clone());
            rows.insert(key, (Some(value.clone()), version));
        }
        for place in &transaction.removes {
            let key = (place.table, place.part, place.key.clone());
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
            // Running out of time is told by an empty page.
            let _ = tokio::time::timeout_at(limit, changed).await;
        }
    }
}

/// Returns the store as one host sees it.
pub fn store(memory: &Rc<MemoryStore>, fault: &Rc<Cell<StoreFault>>) -> Store {
    let (commit_memory, commit_fault) = (memory.clone(), fault.clone());
    let (read_memory, read_fault) = (memory.clone(), fault.clone());
    let (follow_memory, follow_fault) = (memory.clone(), fault.clone());
    Store {
        commit: Box::new(move |transaction| {
            commit(commit_memory.clone(), commit_fault.get(), transaction).boxed_local()
        }),
        read: Box::new(move |range| {
            let memory = read_memory.clone();
            let fault = read_fault.get();
            async move {
                reachable(fault).await?;
                Ok(memory.read(&range))
            }
            .boxed_local()
        }),
        follow: Box::new(move |follow| {
            let memory = follow_memory.clone();
            let fault = follow_fault.get();
            async move {
                reachable(fault).await?;
                memory.follow(&follow).await
            }
            .boxed_local()
        }),
    }
}

async fn reachable(fault: StoreFault) -> Result<(), StoreError> {
    tokio::time::sleep(CALL_DELAY).await;
    match fault {
        StoreFault::Refuses => Err(StoreError::Refused),
        StoreFault::Silent => {
            tokio::time::sleep(TIMEOUT).await;
            Err(StoreError::Unanswered)
        }
        StoreFault::None | StoreFault::LosesAnswers | StoreFault::Late(_) => Ok(()),
    }
}

async fn commit(
    memory: Rc<MemoryStore>,
    fault: StoreFault,
    transaction: Transaction,
) -> Result<u64, StoreError> {
    if let StoreFault::Late(delay) = fault {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            // Whoever sent it no longer listens.
            let _ = memory.apply(&transaction);
        });
        tokio::time::sleep(TIMEOUT).await;
        return Err(StoreError::Unanswered);
    }
    reachable(fault).await?;
    let result = memory.apply(&transaction);
    if fault == StoreFault::LosesAnswers {
        tokio::time::sleep(TIMEOUT).await;
        return Err(StoreError::Unanswered);
    }
    result
}
