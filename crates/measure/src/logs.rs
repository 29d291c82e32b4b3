//! Cost of a log line: `measure -- logs`.
//!
//! The lines pass through the daemon's logger and its queue into a sink, so the figures apply to a
//! process whose log reader keeps up.

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

/// Lines that each figure is averaged over.
const LINES: u32 = 200_000;
/// Kernel clock ticks per second, the unit of CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Runs the measurement.
///
/// # Panics
///
/// Panics if the runtime cannot be built.
#[must_use]
pub fn run() -> Vec<Figure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("the runtime can be built");
    let _entered = runtime.enter();
    let unbounded = Policy {
        lines_per_second: u32::MAX,
        ..Policy::default()
    };
    let (written, bytes) = line_cost(unbounded);
    let (over_limit, _) = line_cost(Policy::default());
    let (below_level, _) = line_cost(Policy::with_level(LevelFilter::Warn));
    vec![
        Figure::reported("log-line-written", written, "us"),
        Figure::reported("log-line-bytes", bytes, "B"),
        Figure::reported("log-line-beyond-the-budget", over_limit, "us"),
        Figure::reported("log-line-below-the-level", below_level, "us"),
    ]
}

/// Returns the CPU time per line in microseconds, including the writer thread, and the mean size of
/// a written line in bytes.
fn line_cost(policy: Policy) -> (f64, f64) {
    let control = Control::new(policy);
    let writer = QueueWriter::start(io::sink());
    let logger = JsonLogger::new(control.clone(), "host-1".into(), Clock::start(), writer);
    let before = processor_seconds();
    let started = Instant::now();
    for number in 0..LINES {
        log_line(&*logger, number);
    }
    let spent = processor_seconds() - before;
    // CPU time has the resolution of a clock tick, which is too coarse for a short run. Elapsed
    // time is a lower bound, since this thread is busy throughout.
    let spent = spent.max(started.elapsed().as_secs_f64());
    let stats = control.stats();
    let bytes = to_f64(stats.bytes) / to_f64(stats.lines.max(1));
    (spent * 1e6 / f64::from(LINES), bytes)
}

/// Logs the event that a job owner logs for each step it places.
fn log_line(logger: &dyn Log, number: u32) {
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

/// Returns the CPU time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_S
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
