//! Captures the log lines of the code under test, separately for each test.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Once;
use std::time::Duration;

use dispatch::api::SubmitOutcome;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

use crate::world::World;
use crate::world::job;

/// The fields of a log line.
pub type Fields = BTreeMap<String, String>;

thread_local! {
    /// The lines of the current thread. Each test runs on one thread of its own.
    static LINES: RefCell<Vec<Fields>> = const { RefCell::new(Vec::new()) };
}

struct CaptureLogger;

impl Log for CaptureLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = FieldVisitor(Fields::new());
        if record.key_values().visit(&mut fields).is_ok() {
            LINES.with_borrow_mut(|lines| lines.push(fields.0));
        }
    }

    fn flush(&self) {}
}

struct FieldVisitor(Fields);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Begins to capture lines and forgets those captured on this thread before.
pub fn begin() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&CaptureLogger).expect("no other logger is installed");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the lines of an event captured on this thread so far.
pub fn lines(event: &str) -> Vec<Fields> {
    LINES.with_borrow(|lines| {
        let named = lines
            .iter()
            .filter(|fields| fields.get("event").is_some_and(|name| name == event));
        named.cloned().collect()
    })
}

/// Captures lines and returns a world with an owner and one executor whose tasks take long.
pub async fn started() -> World {
    begin();
    let world = World::new(1);
    let executor = world.fleet.executor(1);
    executor.task_duration.set(Duration::from_secs(60));
    world.start("a");
    world.advance(Duration::from_secs(1)).await;
    world
}

/// Submits a job of two steps with one task each.
pub async fn submit(world: &World, number: u64) {
    let submitted = world.submit("a", number, job(1)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
}
