//! A latency estimate that follows load shifts and forgets.

use std::time::Duration;

use model::Mono;

/// The weight of one new sample, as a fraction of [`WEIGHT_UNIT`].
const EXECUTOR_WEIGHT: f64 = 0.1;
/// The weight of one new sample in the mean of a whole upstream.
const UPSTREAM_WEIGHT: f64 = 0.03;
/// After this time without samples an executor's estimate has mostly returned to the common one.
const DECAY_MS: f64 = 3_000.0;

/// How many samples it takes to know what is rare.
const MIN_SAMPLES: u32 = 20;
/// How many mean deviations above the mean are rare: about one in twenty for exponential times.
const TAIL_DEVIATIONS: f64 = 3.0;

/// The latency of one executor relative to its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorLatency {
    mean_ms: f64,
    at: Mono,
    samples: u32,
}

impl ExecutorLatency {
    /// Takes in one whole request.
    pub fn observe(&mut self, duration: Duration, upstream_mean_ms: f64, now: Mono) {
        let sample = duration.as_secs_f64() * 1e3;
        let previous = self.estimate_ms(upstream_mean_ms, now);
        self.mean_ms = if previous > 0.0 {
            previous + EXECUTOR_WEIGHT * (sample - previous)
        } else {
            sample
        };
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }

    /// Returns the estimate in milliseconds, which returns to `upstream_mean_ms` while there are no samples.
    #[must_use]
    pub fn estimate_ms(&self, upstream_mean_ms: f64, now: Mono) -> f64 {
        if self.samples == 0 {
            return upstream_mean_ms;
        }
        let idle = now.since(self.at).as_secs_f64() * 1e3;
        let retained = DECAY_MS / (DECAY_MS + idle);
        upstream_mean_ms + (self.mean_ms - upstream_mean_ms) * retained * retained
    }

    /// Returns how many samples there have been since the last [`ExecutorLatency::reset`].
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The service time of an upstream: mean and mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl ServiceTime {
    /// Takes in one whole request.
    pub fn observe(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64() * 1e3;
        self.samples = self.samples.saturating_add(1);
        let weight = UPSTREAM_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean_ms;
        self.mean_ms += weight * error;
        self.deviation_ms += weight * (error.abs() - self.deviation_ms);
    }

    /// Returns the mean in milliseconds, 0 while nothing is known.
    #[must_use]
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns a service time in milliseconds that few requests exceed, once it is known.
    #[must_use]
    pub fn tail_ms(&self) -> Option<f64> {
        let known = self.samples >= MIN_SAMPLES;
        known.then_some(self.mean_ms + TAIL_DEVIATIONS * self.deviation_ms)
    }

    /// Returns a service time in milliseconds that most requests keep to.
    #[must_use]
    pub fn mean_with_margin_ms(&self) -> f64 {
        self.mean_ms + self.deviation_ms
    }
}
