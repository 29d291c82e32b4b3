//! How long tasks run: estimates can be off by nearly their size, so that they are corrected by what
//! earlier tasks of the same queue and image took.

use std::sync::Arc;

use model::Map;

use crate::spec::StepSpec;

/// How much a new run changes what was learned, as one part in so many.
const SMOOTHING_DIVISOR: u64 = 8;

/// What was learned.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    means_ms: Map<(Arc<str>, Option<Arc<str>>), u64>,
}

impl Durations {
    /// Takes in how long a run took.
    pub fn observe(&mut self, queue: &Arc<str>, step: &StepSpec, took_ms: u64) {
        let mean = self
            .means_ms
            .entry((queue.clone(), step.image.clone()))
            .or_insert(took_ms);
        *mean = (*mean * (SMOOTHING_DIVISOR - 1) + took_ms) / SMOOTHING_DIVISOR;
    }

    /// Returns how long a task of this step is expected to run, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, queue: &Arc<str>, step: &StepSpec) -> u64 {
        self.means_ms
            .get(&(queue.clone(), step.image.clone()))
            .map_or(step.estimate_ms, |mean| (mean + step.estimate_ms) / 2)
    }
}
