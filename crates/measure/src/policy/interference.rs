//! How batch jobs raise the p99 of the services beside them.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Number of service classes.
pub const SERVICE_CLASSES: usize = 2;
/// Number of batch classes.
pub const BATCH_CLASSES: usize = 4;

/// Interference between services and batch classes; only the oracle may read it.
#[derive(Clone, Debug)]
pub struct Interference {
    base: [f64; SERVICE_CLASSES],
    steepness: [f64; SERVICE_CLASSES],
    coefficients: [[f64; BATCH_CLASSES]; SERVICE_CLASSES],
}

impl Interference {
    /// Draws random coefficients, one for each pair of service class and batch class.
    pub fn draw(rng: &mut SmallRng) -> Self {
        let mut coefficients = [[0.0; BATCH_CLASSES]; SERVICE_CLASSES];
        for row in &mut coefficients {
            for (batch, coefficient) in row.iter_mut().enumerate() {
                let scale = [0.1, 0.5, 1.0, 3.0][batch];
                *coefficient = scale * rng.random_range(0.5..1.6);
            }
        }
        Self {
            base: [rng.random_range(0.25..0.32), rng.random_range(0.2..0.3)],
            steepness: [rng.random_range(0.6..0.8), rng.random_range(0.8..1.0)],
            coefficients,
        }
    }

    /// Returns a service's p99 relative to its target, given the share of the worker's CPU that
    /// each batch class uses.
    pub fn p99(&self, service: usize, load: f64, batch_shares: &[f64; BATCH_CLASSES]) -> f64 {
        let alone = self.base[service] / (1.0 - load.min(0.98)).powf(self.steepness[service]);
        let pairs = self.coefficients[service].iter().zip(batch_shares);
        let factors =
            pairs.map(|(coefficient, share)| 1.0 + coefficient * share * (0.4 + 1.6 * load * load));
        alone * factors.product::<f64>()
    }

    /// Returns the strength of a batch class's interference with a service class.
    pub const fn coefficient(&self, service: usize, batch: usize) -> f64 {
        self.coefficients[service][batch]
    }
}
