//! Exponentially weighted latency estimates of executors and upstreams.

use std::time::Duration;

use model::Mono;

/// Weight of one new sample in the mean of an executor, between 0 and 1.
const EXECUTOR_WEIGHT: f64 = 0.1;
/// Weight of one new sample in the mean of an upstream, between 0 and 1.
const UPSTREAM_WEIGHT: f64 = 0.03;
/// Decay of an executor's estimate without samples: after this time, a quarter of its difference
/// from the upstream's mean is left.
const DECAY_MS: f64 = 3_000.0;

/// Number of samples from which the deviation is considered reliable.
const MIN_SAMPLES: u32 = 20;
/// Distance of the tail estimate from the mean, in mean deviations. With exponentially distributed
/// service times, about one request in twenty exceeds it.
const TAIL_DEVIATIONS: f64 = 3.0;

/// Latency estimate of one executor, which decays to the mean of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorLatency {
    mean_ms: f64,
    updated_at: Mono,
    samples: u32,
}

impl ExecutorLatency {
    /// Adds the duration of one complete request.
    pub fn observe(&mut self, duration: Duration, upstream_mean_ms: f64, now: Mono) {
        let sample = duration.as_secs_f64() * 1e3;
        let previous = self.estimate_ms(upstream_mean_ms, now);
        self.mean_ms = if previous > 0.0 {
            previous + EXECUTOR_WEIGHT * (sample - previous)
        } else {
            sample
        };
        self.samples = self.samples.saturating_add(1);
        self.updated_at = now;
    }

    /// Returns the estimate in milliseconds, which decays to `upstream_mean_ms` while there are no
    /// samples.
    #[must_use]
    pub fn estimate_ms(&self, upstream_mean_ms: f64, now: Mono) -> f64 {
        if self.samples == 0 {
            return upstream_mean_ms;
        }
        let idle = now.since(self.updated_at).as_secs_f64() * 1e3;
        let retained = DECAY_MS / (DECAY_MS + idle);
        upstream_mean_ms + (self.mean_ms - upstream_mean_ms) * retained * retained
    }

    /// Returns the number of samples since the last [`ExecutorLatency::reset`].
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Discards all samples.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Service time of an upstream: mean and mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl ServiceTime {
    /// Adds the duration of one complete request.
    pub fn observe(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64() * 1e3;
        self.samples = self.samples.saturating_add(1);
        let weight = UPSTREAM_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean_ms;
        self.mean_ms += weight * error;
        self.deviation_ms += weight * (error.abs() - self.deviation_ms);
    }

    /// Returns the mean in milliseconds, 0 without samples.
    #[must_use]
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns a service time in milliseconds that few requests exceed, or `None` while there are
    /// too few samples.
    #[must_use]
    pub fn tail_ms(&self) -> Option<f64> {
        let known = self.samples >= MIN_SAMPLES;
        known.then_some(self.mean_ms + TAIL_DEVIATIONS * self.deviation_ms)
    }

    /// Returns a service time in milliseconds that most requests do not exceed: the mean plus the
    /// mean deviation.
    #[must_use]
    pub fn mean_with_margin_ms(&self) -> f64 {
        self.mean_ms + self.deviation_ms
    }
}
