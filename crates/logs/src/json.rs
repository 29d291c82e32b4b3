//! A `simplelog` logger that writes each record as one JSON object per line.
//!
//! `simplelog` has no JSON output of its own, so [`JsonLogger`] implements its `SharedLogger`
//! trait. The key-value pairs of a record become fields of the object.

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

use crate::control::Control;
use crate::control::Policy;
use crate::rate_limit::Admission;
use crate::rate_limit::RateLimiter;

/// A logger that writes records as JSON lines, filtered by the policy of a [`Control`].
pub struct JsonLogger<W: Write + Send + 'static> {
    control: Control,
    daemon: String,
    clock: Clock,
    writer: Mutex<W>,
    rate_limiter: Mutex<RateLimiter>,
}

/// The key of the event name, which selects the level and the rate limit of a line.
///
/// Lines without it use the default level and have no rate limit.
const EVENT_KEY: &str = "event";

impl<W: Write + Send + 'static> JsonLogger<W> {
    /// Creates a logger that writes to `writer`.
    ///
    /// Each line contains the name of the daemon and the milliseconds since `clock` was started.
    #[must_use]
    pub fn new(control: Control, daemon: String, clock: Clock, writer: W) -> Box<Self> {
        Box::new(Self {
            control,
            daemon,
            clock,
            writer: Mutex::new(writer),
            rate_limiter: Mutex::new(RateLimiter::default()),
        })
    }

    /// Formats a record, or returns `None` if the level or the rate limit of its event excludes it.
    fn format_line(&self, record: &Record<'_>) -> Option<String> {
        let mut fields = FieldCollector(JsonMap::new());
        // An error ends the visit of the pairs. The line is still written, with the fields
        // collected so far.
        let _ = record.key_values().visit(&mut fields);
        let FieldCollector(mut object) = fields;
        let uptime_ms = self.clock.now().0;
        let event = object.get(EVENT_KEY).and_then(Json::as_str);
        let (level, limit) = self
            .control
            .with_policy(|policy| (policy.level_for(event), policy.lines_per_second));
        if record.level() > level {
            return None;
        }
        if let Some(event) = event {
            match self.admit(event, uptime_ms / 1_000, limit) {
                Admission::Suppress => return None,
                Admission::Write { suppressed: 0 } => {}
                Admission::Write { suppressed } => {
                    object.insert("left_out".into(), suppressed.into());
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

    fn admit(&self, event: &str, second: u64, limit: u32) -> Admission {
        let mut limiter = self
            .rate_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let admission = limiter.admit(event, second, limit);
        if admission == Admission::Suppress {
            self.control.count_suppressed();
        }
        admission
    }
}

impl<W: Write + Send + 'static> Log for JsonLogger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.control.with_policy(Policy::max_level)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Some(mut line) = self.format_line(record) else {
            return;
        };
        line.push('\n');
        self.control.count_line(line.len());
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        // A failure to write the log cannot be reported anywhere else.
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
    /// Returns the most verbose level, because the policy filters each line and can change.
    fn level(&self) -> LevelFilter {
        LevelFilter::Trace
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

/// Converts the key-value pairs of a record to JSON fields.
///
/// Integers and booleans keep their type; all other values are written as text.
struct FieldCollector(JsonMap<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from));
        let scalar = number.or_else(|| value.to_bool().map(Json::from));
        self.0.insert(
            key.to_string(),
            scalar.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}
