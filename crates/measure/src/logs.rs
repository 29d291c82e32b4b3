//! What a log line costs: `measure -- logs`.
//!
//! The lines go through the product's logger and its queue to a sink, so that the figures hold for a
//! process whose reader keeps up.

use std::io;
use std::time::Instant;

use log::Level;
use log::LevelFilter;
use log::Log;
use log::Record;
use logs::Control;
use logs::JsonLogger;
use logs::Policy;
use logs::QueueWriter;
use model::Clock;

use crate::figure::Figure;

/// How many lines a figure is taken over.
const LINES: u32 = 200_000;
/// The clock of a system's processor time in ticks a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs the measurement.
///
/// # Panics
///
/// When no runtime can be made.
#[must_use]
pub fn run() -> Vec<Figure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime can be made");
    let _entered = runtime.enter();
    let unbounded = Policy {
        lines_per_second: u32::MAX,
        ..Policy::default()
    };
    let (written, bytes) = cost(unbounded);
    let (left_out, _) = cost(Policy::default());
    let (below, _) = cost(Policy::with_level(LevelFilter::Warn));
    vec![
        Figure::reported("log-line-written", written, "us"),
        Figure::reported("log-line-bytes", bytes, "B"),
        Figure::reported("log-line-beyond-the-budget", left_out, "us"),
        Figure::reported("log-line-below-the-level", below, "us"),
    ]
}

/// Returns the processor time of a line in microseconds, the writer's thread included, and the bytes
/// of a line that is written.
fn cost(policy: Policy) -> (f64, f64) {
    let control = Control::new(policy);
    let writer = QueueWriter::start(io::sink());
    let logger = JsonLogger::new(control.clone(), "host-1".into(), Clock::start(), writer);
    let before = processor_seconds();
    let begin = Instant::now();
    for number in 0..LINES {
        write(&*logger, number);
    }
    let spent = processor_seconds() - before;
    // Short runs are below the ticks of the system's clock; one thread at work is its own clock.
    let spent = spent.max(begin.elapsed().as_secs_f64());
    let stats = control.stats();
    let bytes = to_f64(stats.bytes) / to_f64(stats.lines.max(1));
    (spent * 1e6 / f64::from(LINES), bytes)
}

/// Writes a line as the owner does of each step that it places.
fn write(logger: &dyn Log, number: u32) {
    let pairs = [
        ("event", log::kv::Value::from("placed")),
        ("job", "5c0e7a21d94b36f8".into()),
        ("step", 0_u32.into()),
        ("tasks", number.into()),
        ("chance", "in_time".into()),
        ("slack_ms", 1_234_u64.into()),
    ];
    let record = Record::builder()
        .level(Level::Info)
        .target("dispatch::events")
        .key_values(&pairs)
        .build();
    if logger.enabled(record.metadata()) {
        logger.log(&record);
    }
}

/// The processor time of the whole process so far.
fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
