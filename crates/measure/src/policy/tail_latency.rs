//! The p99 over many moments, each of which has a p99 of its own.

/// The latest part of the answers, which a p99 leaves out.
const TAIL_FRACTION: f64 = 0.01;
const BISECTION_STEPS: u32 = 50;

/// Collects moments of services, weighted by their load.
///
/// Answers of one moment are taken to be distributed exponentially with the moment's p99.
#[derive(Clone, Debug, Default)]
pub struct TailLatency {
    samples: Vec<(f64, f64)>,
}

impl TailLatency {
    /// Adds a moment with its p99 over the target.
    pub fn add(&mut self, p99: f64, weight: f64) {
        self.samples.push((p99, weight));
    }

    /// Returns the p99 of all answers together, over the target.
    pub fn p99(&self) -> f64 {
        let whole: f64 = self.samples.iter().map(|(_, weight)| weight).sum();
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if self.weight_beyond(middle) > TAIL_FRACTION * whole {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn weight_beyond(&self, limit: f64) -> f64 {
        let part = |(p99, weight): &(f64, f64)| weight * (limit / p99 * TAIL_FRACTION.ln()).exp();
        self.samples.iter().map(part).sum()
    }
}
