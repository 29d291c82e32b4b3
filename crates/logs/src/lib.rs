//! Structured JSON logging that never blocks the code that logs.
//!
//! [`json::JsonLogger`] formats each record as one JSON object per line. [`queue::QueueWriter`]
//! passes the lines to a dedicated writer thread through a bounded queue and counts the lines
//! dropped when the queue is full. [`rate_limit::RateLimiter`] limits the lines per event and
//! second. [`control::Control`] holds the policy that decides which lines are written; [`reload`]
//! replaces it while the process runs. [`init`] installs the logger.

pub mod control;
pub mod json;
pub mod queue;
pub mod rate_limit;
pub mod reload;

use std::io::Write;

pub use control::Control;
pub use control::LogStats;
pub use control::Policy;
pub use json::JsonLogger;
use model::Clock;
pub use queue::QueueWriter;
use simplelog::CombinedLogger;

/// Installs a [`JsonLogger`] as the global logger of the process.
///
/// `daemon` is written to the `daemon` field of each line.
///
/// # Errors
///
/// Returns an error if a global logger is already installed.
pub fn init<W: Write + Send + 'static>(
    control: &Control,
    daemon: String,
    clock: Clock,
    writer: W,
) -> Result<(), log::SetLoggerError> {
    let logger = JsonLogger::new(control.clone(), daemon, clock, writer);
    CombinedLogger::init(vec![logger])?;
    // `CombinedLogger::init` sets the maximum level to that of the logger, which is `Trace`.
    // Setting the policy again lowers it to the configured level.
    control.set_policy(control.policy());
    Ok(())
}
