//! Outlier detection: ejection and readmission of executors.

use std::time::Duration;

use model::Mono;

/// Number of consecutive failures after which an executor is ejected.
const MAX_CONSECUTIVE_FAILURES: u8 = 5;
/// Duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u8 = 4;

/// Failures and ejections of one executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u8,
    ejection_level: u8,
    ejected_until: Option<Mono>,
}

impl Health {
    /// Records a successful request, which also lowers the duration of the next ejection.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejection_level = self.ejection_level.saturating_sub(1);
    }

    /// Records a failed request and returns whether the executor should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects the executor from `now` on.
    pub fn eject(&mut self, now: Mono) {
        let duration = FIRST_EJECTION * (1 << self.ejection_level.min(MAX_DOUBLINGS));
        self.ejection_level = self.ejection_level.saturating_add(1).min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.after(duration));
    }

    /// Returns whether the executor is ejected.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Ends an ejection whose time is over and returns whether it did. The next failure ejects the
    /// executor again.
    pub fn readmit(&mut self, now: Mono) -> bool {
        let due = self
            .ejected_until
            .is_some_and(|ejected_until| ejected_until <= now);
        if due {
            self.ejected_until = None;
            self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        }
        due
    }
}
