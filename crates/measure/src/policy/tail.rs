//! The p99 over many moments, each of which has a p99 of its own.

/// The latest part of the answers, which a p99 leaves out.
const BEYOND: f64 = 0.01;
const STEPS: u32 = 50;

/// Collects moments of services, weighted by their load.
///
/// Answers of one moment are taken to be distributed exponentially with the moment's p99.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    moments: Vec<(f64, f64)>,
}

impl Tail {
    /// Adds a moment with its p99 over the target.
    pub fn add(&mut self, p99: f64, weight: f64) {
        self.moments.push((p99, weight));
    }

    /// Returns the p99 of all answers together, over the target.
    pub fn p99(&self) -> f64 {
        let whole: f64 = self.moments.iter().map(|(_, weight)| weight).sum();
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..STEPS {
            let middle = (low + high) / 2.0;
            if self.beyond(middle) > BEYOND * whole {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn beyond(&self, limit: f64) -> f64 {
        let part = |(p99, weight): &(f64, f64)| weight * (limit / p99 * BEYOND.ln()).exp();
        self.moments.iter().map(part).sum()
    }
}
