//! How many tasks that can wait an owner starts, so that its processor keeps up.
//!
//! Answers the load of an owner whose processor does not suffice for all work that could start.
//! Everything that it handles then waits in front of its processor: submissions, assignments,
//! answers and ends. A job passes that queue many times, so that a short job is late after a few
//! such waits, while most of the work in front of it has time. The decisions here are pure.

use std::time::Duration;

use model::Mono;

/// How late timers are while the rate stays as it is. Later ones show that work waits for the
/// processor.
const TARGET_LAG: Duration = Duration::from_millis(30);
/// Interval between two adaptations of the rate.
const ADAPTATION_INTERVAL: Duration = Duration::from_millis(100);
/// By which part the rate grows in an interval without lag. It shrinks by the same part at twice the
/// target.
const GAIN: f64 = 0.1;
/// The factor by which the rate shrinks in an interval at most.
const MIN_FACTOR: f64 = 0.8;
/// Minimum rate, in tasks a second. It lets all work progress however late the timers are.
const MIN_RATE: f64 = 100.0;
/// Maximum rate, in tasks a second. It is more than any owner places.
const MAX_RATE: f64 = 20_000.0;
/// The rate at which a limit begins if less was placed before, in tasks a second.
const SLOW_START_RATE: f64 = 1_000.0;
/// The weight of the latest interval in a mean.
const MEAN_WEIGHT: f64 = 0.25;
/// By which factor polls wait longer at the target lag, and at most. A service over its target has to
/// be noticed early enough to throttle the best-effort tasks beside it.
const MAX_POLL_WAIT_FACTOR: f64 = 2.0;
/// The time for which an unused allowance is kept.
const MAX_SAVED: Duration = Duration::from_millis(100);

/// Limits the rate at which tasks that can wait are placed: the rate shrinks while timers are later
/// than a target and grows while they are not. Work that would be late by waiting is not limited.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorPace {
    /// Tasks a second.
    rate: f64,
    /// The tasks that may be placed now; negative after a step of more tasks than that.
    allowance: f64,
    refilled_at: Mono,
    adapted_at: Mono,
    /// The lags in the current interval.
    lags: Lags,
    /// The tasks placed in the current interval.
    placed: f64,
    /// The mean of the tasks placed, in tasks a second.
    mean_placed: f64,
    /// The mean lag.
    mean_lag: Duration,
}

/// How late timers were in an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Lags {
    sum: Duration,
    number: u32,
}

impl Lags {
    fn add(&mut self, lag: Duration) {
        self.sum += lag;
        self.number += 1;
    }

    fn mean(&self) -> Duration {
        self.sum.checked_div(self.number).unwrap_or_default()
    }
}

impl Default for ProcessorPace {
    fn default() -> Self {
        Self {
            rate: MAX_RATE,
            allowance: 0.0,
            refilled_at: Mono::ZERO,
            adapted_at: Mono::ZERO,
            lags: Lags::default(),
            placed: 0.0,
            mean_placed: 0.0,
            mean_lag: Duration::ZERO,
        }
    }
}

impl ProcessorPace {
    /// Returns how many tasks that can wait may be placed now, when the owner's timer was late by
    /// `lag`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the allowance is a small number"
    )]
    pub fn allowance(&mut self, lag: Duration, now: Mono) -> usize {
        self.lags.add(lag);
        self.adapt(now);
        let passed = now.since(self.refilled_at).min(MAX_SAVED);
        self.refilled_at = now;
        let most = self.rate * MAX_SAVED.as_secs_f64();
        self.allowance = (self.allowance + self.rate * passed.as_secs_f64()).min(most);
        self.allowance.max(0.0).ceil() as usize
    }

    /// Records the tasks that were placed with the latest allowance.
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub const fn placed(&mut self, tasks: usize) {
        self.allowance -= tasks as f64;
        self.placed += tasks as f64;
    }

    /// Returns how long an executor may wait for a run to end before it answers a poll, where
    /// `usual` suffices without lag. Polls without an end are a large part of an owner's calls, and
    /// what they tell is needed less than what they keep waiting, unless a service on the executor
    /// exceeds its target.
    #[must_use]
    pub fn poll_wait(&self, usual: Duration, is_over_target: bool) -> Duration {
        if is_over_target {
            return usual;
        }
        let lag = self.mean_lag.as_secs_f64() / TARGET_LAG.as_secs_f64();
        let factor = 1.0 + lag * (MAX_POLL_WAIT_FACTOR - 1.0);
        usual.mul_f64(factor.min(MAX_POLL_WAIT_FACTOR))
    }

    /// Returns how late the owner's timers are in the mean.
    #[must_use]
    pub const fn lag(&self) -> Duration {
        self.mean_lag
    }

    fn adapt(&mut self, now: Mono) {
        let elapsed = now.since(self.adapted_at);
        if elapsed < ADAPTATION_INTERVAL {
            return;
        }
        let latest = self.placed / elapsed.as_secs_f64();
        self.mean_placed += (latest - self.mean_placed) * MEAN_WEIGHT;
        let lag = self.lags.mean();
        self.mean_lag = self.mean_lag.mul_f64(1.0 - MEAN_WEIGHT) + lag.mul_f64(MEAN_WEIGHT);
        let excess = lag.as_secs_f64() / TARGET_LAG.as_secs_f64() - 1.0;
        if excess > 0.0 {
            // A rate above what was placed has limited nothing.
            self.rate = self.rate.min(self.mean_placed.max(SLOW_START_RATE));
        }
        self.rate *= (1.0 - GAIN * excess).max(MIN_FACTOR);
        self.rate = self.rate.clamp(MIN_RATE, MAX_RATE);
        self.adapted_at = now;
        self.lags = Lags::default();
        self.placed = 0.0;
    }
}
