//! Expected task durations. Estimates of callers can be off by nearly their own size, so they are
//! corrected by the observed durations of earlier tasks with the same queue and image.

use std::sync::Arc;

use model::Map;

use crate::spec::StepSpec;

/// The inverse of the smoothing factor: a new observation contributes one part in this many.
const SMOOTHING_DIVISOR: u64 = 8;

/// Smoothed durations by queue and image.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    means_ms: Map<(Arc<str>, Option<Arc<str>>), u64>,
}

impl Durations {
    /// Records the duration of a run.
    pub fn observe(&mut self, queue: &Arc<str>, step: &StepSpec, took_ms: u64) {
        let mean = self
            .means_ms
            .entry((queue.clone(), step.image.clone()))
            .or_insert(took_ms);
        *mean = (*mean * (SMOOTHING_DIVISOR - 1) + took_ms) / SMOOTHING_DIVISOR;
    }

    /// Returns the expected duration of a task of this step, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, queue: &Arc<str>, step: &StepSpec) -> u64 {
        self.means_ms
            .get(&(queue.clone(), step.image.clone()))
            .map_or(step.estimate_ms, |mean| (mean + step.estimate_ms) / 2)
    }
}
