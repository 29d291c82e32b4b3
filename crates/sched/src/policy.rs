//! Derives thresholds from the document's weights for tail latency, throughput and evictions.

use conf::doc::Sharing;

/// The thresholds derived from the document's weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Policy {
    /// The maximum p99 of services relative to their targets.
    pub(crate) limit: f64,
    /// How far predicted loads are moved towards their recent peak, from 0 to 1.
    pub(crate) peak_weight: f64,
    /// The number of standard deviations by which predictions raise the coefficients of pairs.
    pub(crate) caution: f64,
    /// The cost of a predicted p99 per multiple of the limit, on the scale of the packing score.
    pub(crate) tail_cost: f64,
    /// The minimum excess of the p99 ratio over the limit for which a task is evicted that cannot
    /// be throttled any further.
    pub(crate) eviction_excess: f64,
}

impl Policy {
    /// Derives the thresholds; with equal weights the limit is the target itself.
    pub(crate) fn from_sharing(sharing: &Sharing) -> Self {
        let tail = f64::from(sharing.tail_weight);
        let throughput = f64::from(sharing.throughput_weight);
        let evictions = f64::from(sharing.evictions_weight);
        let tail_preference = balance(tail, throughput);
        Self {
            limit: 1.0 - 0.15 * tail_preference,
            peak_weight: 0.3 + 0.3 * tail_preference,
            caution: 0.4 + 0.4 * tail_preference,
            tail_cost: 1.0 + tail_preference,
            eviction_excess: 0.25 * (1.0 - balance(tail, evictions)),
        }
    }
}

/// Returns the relative weight of `left` and `right`: 1 if only `left` counts, -1 if only `right`
/// does, and 0 if they are equal.
fn balance(left: f64, right: f64) -> f64 {
    let sum = left + right;
    if sum > 0.0 { (left - right) / sum } else { 0.0 }
}
