//! How long executors wait before they answer a poll although no run has ended, depending on how
//! busy the owner is.
//!
//! Polls are most of an owner's calls. An owner whose processor is saturated handles its timers late,
//! and every transaction, start and report takes longer. Longer waits reduce the number of polls and
//! delay nothing but measurements, because an executor answers as soon as a run ends. See "Overload"
//! in `docs/JOBS.md`.

use std::time::Duration;

/// A timer that fires later than this shows that the owner has more to do than its processor allows.
const LATE_TIMER: Duration = Duration::from_millis(30);
/// The factor by which a late timer lengthens the waits.
const INCREASE: f64 = 1.15;
/// The factor by which a punctual timer shortens them.
const DECREASE: f64 = 0.97;
/// The largest multiple of the usual wait. A service over its target is noticed with the second
/// report, which has to be early enough to suspend the best-effort tasks beside it.
const MAX_STRETCH: f64 = 2.0;

/// Adapts the waits of polls to the load of the owner.
#[derive(Clone, Copy, Debug)]
pub struct PollPace {
    stretch: f64,
}

impl Default for PollPace {
    fn default() -> Self {
        Self { stretch: 1.0 }
    }
}

impl PollPace {
    /// Processes a periodic timer that fired `late` after it was due.
    pub fn timer_fired(&mut self, late: Duration) {
        let factor = if late > LATE_TIMER {
            INCREASE
        } else {
            DECREASE
        };
        self.stretch = (self.stretch * factor).clamp(1.0, MAX_STRETCH);
    }

    /// Returns the wait of a poll that is usually `wait`.
    #[must_use]
    pub fn wait(&self, wait: Duration) -> Duration {
        wait.mul_f64(self.stretch)
    }
}
