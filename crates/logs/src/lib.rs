//! Log lines as JSON objects, and a writer that never holds up the work it tells of.
//!
//! [`json::JsonLogger`] makes one object a line; [`queue::QueueWriter`] hands lines to a thread of
//! its own through a queue of limited size and counts the lines that it had to drop.
//! [`control::Control`] says which lines are written and can be changed while the process runs,
//! which [`reload`] does; [`init`] puts them together.

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

/// Makes a JSON logger the logger of this process; `daemon` is in each line.
///
/// # Errors
///
/// When the process already has a logger.
pub fn init<W: Write + Send + 'static>(
    control: &Control,
    daemon: String,
    clock: Clock,
    writer: W,
) -> Result<(), log::SetLoggerError> {
    let logger = JsonLogger::new(control.clone(), daemon, clock, writer);
    CombinedLogger::init(vec![logger])?;
    // The combined logger has let everything through; the policy is what is wanted.
    control.set_policy(control.policy());
    Ok(())
}
