//! Log lines as JSON, one object a line, through `simplelog`.
//!
//! `simplelog` writes no JSON by itself; this is one of its shared loggers. A record's key-value
//! pairs become fields of the object.

use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use model::Clock;
use serde_json::Map as JsonMap;
use serde_json::Value as Json;
use simplelog::Config;
use simplelog::SharedLogger;

use crate::budget::Admission;
use crate::budget::Budget;

/// Writes log lines as JSON.
pub struct JsonLogger<W: Write + Send + 'static> {
    level: LevelFilter,
    daemon: String,
    clock: Clock,
    writer: Mutex<W>,
    budget: Mutex<Budget>,
}

/// The most lines of one event in a second; a burst is told of by its first lines and a count.
const LINES_PER_SECOND: u32 = 100;
/// The field that names the kind of a line; lines without it are always written.
const KIND: &str = "event";

impl<W: Write + Send + 'static> JsonLogger<W> {
    /// Makes a logger whose lines carry the name of the daemon and the milliseconds since `clock`
    /// was started.
    #[must_use]
    pub fn new(level: LevelFilter, daemon: String, clock: Clock, writer: W) -> Box<Self> {
        Box::new(Self {
            level,
            daemon,
            clock,
            writer: Mutex::new(writer),
            budget: Mutex::new(Budget::new(LINES_PER_SECOND)),
        })
    }

    /// Returns the line, unless too many of its kind were written in this second.
    fn line(&self, record: &Record<'_>) -> Option<String> {
        let mut fields = Fields(JsonMap::new());
        // A field that cannot be read is left out; the line is worth more without it than not at all.
        let _ = record.key_values().visit(&mut fields);
        let Fields(mut object) = fields;
        let uptime_ms = self.clock.now().0;
        if let Some(kind) = object.get(KIND).and_then(Json::as_str) {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            match budget.admit(kind, uptime_ms / 1_000) {
                Admission::LeaveOut => return None,
                Admission::Write { left_out: 0 } => {}
                Admission::Write { left_out } => {
                    drop(budget);
                    object.insert("left_out".into(), left_out.into());
                }
            }
        }
        object.insert("uptime_ms".into(), uptime_ms.into());
        object.insert(
            "level".into(),
            record.level().as_str().to_lowercase().into(),
        );
        object.insert("daemon".into(), self.daemon.as_str().into());
        object.insert("target".into(), record.target().into());
        let message = record.args().to_string();
        if !message.is_empty() {
            object.insert("message".into(), message.into());
        }
        Some(Json::Object(object).to_string())
    }
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(mut line) = self.line(record) else {
            return;
        };
        line.push('\n');
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        // There is nowhere left to report a failing log to.
        let _ = writer.write_all(line.as_bytes());
    }

    fn flush(&self) {
        let _ = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush();
    }
}

impl<W: Write + Send + 'static> SharedLogger for JsonLogger<W> {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

struct Fields(JsonMap<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from));
        let plain = number.or_else(|| value.to_bool().map(Json::from));
        self.0.insert(
            key.to_string(),
            plain.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}
