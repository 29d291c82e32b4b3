//! The overall p99 of samples that each have their own p99.

/// Fraction of responses that exceed the p99.
const TAIL_FRACTION: f64 = 0.01;
const BISECTION_STEPS: u32 = 50;

/// Collects p99 samples of services, weighted by their load.
///
/// The response times of one sample are assumed to be exponentially distributed with its p99.
#[derive(Clone, Debug, Default)]
pub struct TailLatency {
    samples: Vec<(f64, f64)>,
}

impl TailLatency {
    /// Adds a sample with its p99 relative to the target.
    pub fn add(&mut self, p99: f64, weight: f64) {
        self.samples.push((p99, weight));
    }

    /// Returns the p99 of all responses together, relative to the target.
    pub fn p99(&self) -> f64 {
        let total_weight: f64 = self.samples.iter().map(|(_, weight)| weight).sum();
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if self.weight_beyond(middle) > TAIL_FRACTION * total_weight {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn weight_beyond(&self, limit: f64) -> f64 {
        let weight_above =
            |(p99, weight): &(f64, f64)| weight * (limit / p99 * TAIL_FRACTION.ln()).exp();
        self.samples.iter().map(weight_above).sum()
    }
}
