//! The platform's store: rows in tables, transactions with conditions, range reads and change feeds.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;

/// Time that the store takes for an answer, and a transaction besides.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// The most rows in one answer.
const MAX_ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// The value in Base64, or nothing in a change that removed the row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    /// The latest change of each row, by version.
    changes: BTreeMap<u64, Vec<Key>>,
    removed: BTreeMap<Key, u64>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    begun: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            begun: Instant::now(),
        }
    }

    /// Serves the store at an address.
    pub fn serve(&self, address: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = http::read_request(&mut reader) {
                        let (status, body) = store.answer(&request);
                        if !http::write_response(&mut writer, status, &body) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        put(&mut state, key, Some(encode(value.as_bytes())));
        changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        std::thread::sleep(ANSWER_TIME);
        match request.path() {
            "/rows-tx" => self.transaction(&request.json()),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            _ => (404, Json::Null),
        }
    }

    fn transaction(&self, body: &Json) -> (u16, Json) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        // A part handles its transactions one after another; here all parts do.
        std::thread::sleep(TRANSACTION_TIME);
        let expected = body.get("expect").list();
        let holds = expected.iter().all(|row| {
            let version = state.rows.get(&key(row)).map_or(0, |row| row.version);
            row.get("ver").number() == Some(version)
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let key = key(row);
                let row = state.rows.get(&key)?;
                Some(row_body(&key, row))
            });
            return (412, self.page(rows.collect(), false, state.version));
        }
        state.version += 1;
        for row in body.get("puts").list() {
            let value = row.get("value").text().to_owned();
            put(&mut state, key(row), Some(value));
        }
        for row in body.get("remove").list() {
            let key = key(row);
            if state.rows.contains_key(&key) {
                put(&mut state, key, None);
            }
        }
        changed.notify_all();
        (200, self.page(Vec::new(), false, state.version))
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
        let to = request.parameter("to");
        let (state, _) = &*self.state;
        let state = state.lock().unwrap();
        let begin = (table.clone(), part.clone(), from);
        let in_part = state.rows.range(begin..);
        let in_part = in_part.take_while(|(key, _)| key.0 == table && key.1 == part);
        let mut found = in_part.filter(|(key, _)| to.as_ref().is_none_or(|to| key.2 < *to));
        let rows: Vec<Json> = found
            .by_ref()
            .take(MAX_ROWS)
            .map(|(key, row)| row_body(key, row))
            .collect();
        let has_more = found.next().is_some();
        (200, self.page(rows, has_more, state.version))
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let table = request.parameter("table").unwrap_or_default();
        let figure = |name| request.parameter(name).and_then(|value| value.parse().ok());
        let after: u64 = figure("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows = Vec::new();
            for (version, keys) in state.changes.range(after + 1..) {
                for key in keys.iter().filter(|key| key.0 == table) {
                    match state.rows.get(key) {
                        Some(row) if row.version == *version => rows.push(row_body(key, row)),
                        None if state.removed.get(key) == Some(version) => {
                            let row = Row {
                                value: None,
                                version: *version,
                            };
                            rows.push(row_body(key, &row));
                        }
                        _ => {}
                    }
                }
            }
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return (200, self.page(rows, false, state.version));
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn page(&self, rows: Vec<Json>, has_more: bool, version: u64) -> Json {
        object(vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(has_more)),
            ("ver", number(version)),
            ("now_ms", number(self.begun.elapsed().as_millis() as u64)),
        ])
    }
}

fn put(state: &mut State, key: Key, value: Option<String>) {
    let version = state.version;
    state.changes.entry(version).or_default().push(key.clone());
    match value {
        Some(value) => {
            state.removed.remove(&key);
            let value = Some(value);
            state.rows.insert(key, Row { value, version });
        }
        None => {
            state.rows.remove(&key);
            state.removed.insert(key, version);
        }
    }
}

fn key(row: &Json) -> Key {
    let name = |field| row.get(field).text().to_owned();
    (name("table"), name("part"), name("key"))
}

fn row_body(key: &Key, row: &Row) -> Json {
    let mut fields = vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("ver", number(row.version)),
    ];
    match &row.value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    object(fields)
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = (byte(0) << 16) | (byte(1) << 8) | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                encoded.push(char::from(DIGITS[digit as usize]));
            } else {
                encoded.push('=');
            }
        }
    }
    encoded
}
