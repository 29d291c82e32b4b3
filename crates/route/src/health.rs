//! When an executor is ejected as an outlier, and when it is tried again.

use std::time::Duration;

use model::Mono;

/// Failures in a row, without an answer between, that eject an executor.
const MAX_CONSECUTIVE_FAILURES: u8 = 5;
/// How long the first ejection lasts; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// The most doublings of an ejection.
const MAX_DOUBLINGS: u8 = 4;

/// The record of one executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u8,
    ejection_level: u8,
    ejected_until: Option<Mono>,
}

impl Health {
    /// Takes in an answer.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejection_level = self.ejection_level.saturating_sub(1);
    }

    /// Takes in a failure and returns whether the executor should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects it from now on.
    pub fn eject(&mut self, now: Mono) {
        let duration = FIRST_EJECTION * (1 << self.ejection_level.min(MAX_DOUBLINGS));
        self.ejection_level = self.ejection_level.saturating_add(1).min(MAX_DOUBLINGS);
        self.ejected_until = Some(now.after(duration));
    }

    /// Returns whether it is ejected.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Takes it back in once its time has passed, and returns whether that happened; one further
    /// failure ejects it again.
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
