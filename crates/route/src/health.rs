//! When an executor is ejected as an outlier, and when it is tried again.

use std::time::Duration;

use model::Mono;

/// Failures in a row, without an answer between, that eject an executor.
const STREAK: u8 = 5;
/// How long the first ejection lasts; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// The most doublings of an ejection.
const MAX_DOUBLINGS: u8 = 4;

/// The record of one executor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    streak: u8,
    rounds: u8,
    until: Option<Mono>,
}

impl Health {
    /// Takes in an answer.
    pub const fn succeed(&mut self) {
        self.streak = 0;
        self.rounds = self.rounds.saturating_sub(1);
    }

    /// Takes in a failure and returns whether the executor should be ejected.
    pub const fn fail(&mut self) -> bool {
        self.streak = self.streak.saturating_add(1);
        self.streak >= STREAK
    }

    /// Ejects it from now on.
    pub fn eject(&mut self, now: Mono) {
        let span = FIRST_EJECTION * (1 << self.rounds.min(MAX_DOUBLINGS));
        self.rounds = self.rounds.saturating_add(1).min(MAX_DOUBLINGS);
        self.until = Some(now.after(span));
    }

    /// Returns whether it is ejected.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Takes it back in once its time has passed, and returns whether that happened; one further
    /// failure ejects it again.
    pub fn readmit(&mut self, now: Mono) -> bool {
        let due = self.until.is_some_and(|until| until <= now);
        if due {
            self.until = None;
            self.streak = STREAK - 1;
        }
        due
    }
}
