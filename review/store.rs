//! The platform's store: rows in tables, transactions, range reads and a change feed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::n;
use crate::json::obj;
use crate::json::s;

/// `row_bytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
const TRANSACTION_BYTES: usize = 1_000_000;
const MAX_ENTRIES: usize = 100;
const MAX_ROWS: usize = 500;
const WRITES_PER_SECOND: u32 = 600;
const READS_PER_SECOND: u32 = 2_000;
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);
/// What one response to a read may hold, in bytes.
const PAGE_BYTES: usize = 1_000_000;

type RowKey = (String, String, String);

/// What becomes of a transaction.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Usual,
    /// Not answered, and done after this time if its condition still holds.
    LostAndLate(Duration),
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Each change with the version, the row and its value; `None` for a removed row.
    changes: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
    second: u64,
    writes: u32,
    reads: u32,
}

pub struct Store {
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
    fate: Box<dyn Fn(&Json) -> Fate + Send + Sync>,
    log: Arc<crate::Record>,
}

impl Store {
    pub fn new(
        log: Arc<crate::Record>,
        fate: Box<dyn Fn(&Json) -> Fate + Send + Sync>,
    ) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            fate,
            log,
        })
    }

    /// Writes a row as the operator or an executor does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let row = (table.to_owned(), String::new(), key.to_owned());
        self.rows
            .lock()
            .unwrap()
            .write(row, value.map(|text| encode(text.as_bytes())));
        self.changed.notify_all();
    }

    pub fn handle(self: &Arc<Self>, request: Request) -> Answer {
        let is_write = request.path == "/rows-tx";
        if !self
            .rows
            .lock()
            .unwrap()
            .admit(self.started.elapsed().as_secs(), is_write)
        {
            return Some((429, String::from("{}")));
        }
        match request.path.as_str() {
            "/rows-tx" => self.transaction(&request),
            "/rows-get" => {
                std::thread::sleep(READ_TIME);
                self.get(&request)
            }
            "/rows-parts" => self.parts(&request),
            "/rows-feed" => self.feed(&request),
            _ => Some((404, String::from("{}"))),
        }
    }

    fn transaction(self: &Arc<Self>, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, String::from("{}")));
        };
        if let Some(reason) = refusal(&request.body, &body) {
            let first = body.get("puts").list().first().unwrap_or(&Json::Null);
            self.log.add(&format!(
                "store refuses a transaction: {reason} (first row {}/{})",
                first.get("table").str(),
                first.get("key").str()
            ));
            return Some((400, obj(vec![("error", s(&reason))]).to_string()));
        }
        if body
            .get("puts")
            .list()
            .iter()
            .chain(body.get("remove").list())
            .any(|row| matches!(row.get("table").str(), "op" | "servers"))
        {
            return Some((403, String::from("{}")));
        }
        std::thread::sleep(TRANSACTION_TIME);
        if let Fate::LostAndLate(delay) = (self.fate)(&body) {
            let store = self.clone();
            let keys: Vec<String> = body
                .get("puts")
                .list()
                .iter()
                .map(|row| row.get("key").str().to_owned())
                .collect();
            self.log.add(&format!(
                "store loses the answer of a transaction on {keys:?}, done {} ms later",
                delay.as_millis()
            ));
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let (status, _) = store.apply(&body);
                store.log.add(&format!(
                    "store does the late transaction on {keys:?}: {status}"
                ));
            });
            // The connection delivers nothing further. It stays open until the caller gives it up.
            std::thread::sleep(delay);
            return None;
        }
        let (status, answer) = self.apply(&body);
        Some((status, answer.to_string()))
    }

    fn apply(&self, body: &Json) -> (u16, Json) {
        let mut rows = self.rows.lock().unwrap();
        let holds = body.get("expect").list().iter().all(|row| {
            rows.rows
                .get(&key_of(row))
                .map_or(0, |(_, version)| *version)
                == row.get("ver").u64()
        });
        if !holds {
            let found: Vec<Json> = body
                .get("expect")
                .list()
                .iter()
                .map(key_of)
                .filter_map(|key| {
                    rows.rows
                        .get(&key)
                        .map(|(value, version)| row(&key, Some(value), *version))
                })
                .collect();
            return (412, rows.page(found, false, None, self.started));
        }
        rows.version += 1;
        for put in body.get("puts").list() {
            rows.set(key_of(put), Some(put.get("value").str().to_owned()));
        }
        for removed in body.get("remove").list() {
            rows.set(key_of(removed), None);
        }
        self.changed.notify_all();
        (200, rows.page(Vec::new(), false, None, self.started))
    }

    fn get(&self, request: &Request) -> Answer {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request
            .parameter("limit")
            .parse()
            .unwrap_or(MAX_ROWS)
            .min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        let begin = (table.clone(), part.clone(), from);
        for (key, (value, version)) in rows.rows.range(begin..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            bytes += value.len() + 200;
            if found.len() >= limit || (bytes > PAGE_BYTES && !found.is_empty()) {
                has_more = true;
                break;
            }
            found.push(row(key, Some(value), *version));
        }
        Some((
            200,
            rows.page(found, has_more, None, self.started).to_string(),
        ))
    }

    fn parts(&self, request: &Request) -> Answer {
        let (table, after) = (request.parameter("table"), request.parameter("after"));
        let rows = self.rows.lock().unwrap();
        let mut parts: Vec<String> = rows
            .rows
            .keys()
            .filter(|key| key.0 == table && key.1 > after)
            .map(|key| key.1.clone())
            .collect();
        parts.dedup();
        parts.truncate(1_000);
        let parts = parts.iter().map(|part| s(part)).collect();
        Some((200, obj(vec![("parts", Json::Arr(parts))]).to_string()))
    }

    fn feed(&self, request: &Request) -> Answer {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let begin = rows
                .changes
                .partition_point(|(version, _, _)| *version <= after);
            let mut found: Vec<(u64, Json)> = rows.changes[begin..]
                .iter()
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, value)| (*version, row(key, value.as_deref(), *version)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if found.is_empty() && !left.is_zero() {
                rows = self.changed.wait_timeout(rows, left).unwrap().0;
                continue;
            }
            let mut until = None;
            if found.len() > MAX_ROWS {
                found.truncate(MAX_ROWS);
                let last = found[MAX_ROWS - 1].0;
                // All rows of a version are sent together.
                found.retain(|(version, _)| *version < last);
                until = Some(last - 1);
            }
            let found = found.into_iter().map(|(_, row)| row).collect();
            return Some((
                200,
                rows.page(found, false, until, self.started).to_string(),
            ));
        }
    }
}

impl Rows {
    fn admit(&mut self, second: u64, is_write: bool) -> bool {
        if second != self.second {
            self.second = second;
            self.writes = 0;
            self.reads = 0;
        }
        let (count, limit) = if is_write {
            (&mut self.writes, WRITES_PER_SECOND)
        } else {
            (&mut self.reads, READS_PER_SECOND)
        };
        *count += 1;
        *count <= limit
    }

    fn write(&mut self, key: RowKey, value: Option<String>) {
        self.version += 1;
        self.set(key, value);
    }

    fn set(&mut self, key: RowKey, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), version));
            }
            None => {
                if self.rows.remove(&key).is_none() {
                    return;
                }
            }
        }
        self.changes.push((version, key, value));
    }

    fn page(&self, rows: Vec<Json>, has_more: bool, until: Option<u64>, started: Instant) -> Json {
        obj(vec![
            ("rows", Json::Arr(rows)),
            ("has_more", Json::Bool(has_more)),
            ("ver", n(until.unwrap_or(self.version))),
            ("now_ms", n(started.elapsed().as_millis() as u64)),
        ])
    }
}

fn key_of(row: &Json) -> RowKey {
    let text = |name| row.get(name).str().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(key: &RowKey, value: Option<&str>, version: u64) -> Json {
    let mut fields = vec![
        ("table", s(&key.0)),
        ("part", s(&key.1)),
        ("key", s(&key.2)),
    ];
    match value {
        Some(value) => fields.push(("value", s(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    fields.push(("ver", n(version)));
    obj(fields)
}

/// Returns why a transaction exceeds the limits of the page, if it does.
fn refusal(text: &str, body: &Json) -> Option<String> {
    let entries = ["expect", "puts", "remove"]
        .iter()
        .map(|list| body.get(list).list().len())
        .sum::<usize>();
    if entries > MAX_ENTRIES {
        return Some(format!("{entries} entries"));
    }
    if text.len() > TRANSACTION_BYTES {
        return Some(format!("{} bytes", text.len()));
    }
    body.get("puts").list().iter().find_map(|put| {
        let value = put.get("value").str();
        let padding = value.bytes().rev().take_while(|byte| *byte == b'=').count();
        let bytes = value.len() / 4 * 3 - padding;
        (bytes > ROW_BYTES).then(|| {
            format!(
                "row {}/{} has {bytes} bytes, row_bytes is {ROW_BYTES}",
                put.get("table").str(),
                put.get("key").str()
            )
        })
    })
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for position in 0..4 {
            let digit = (group >> (18 - 6 * position)) & 63;
            text.push(if position <= chunk.len() {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
