//! What the document's weights of tail, throughput and evictions come to in the decisions.

use conf::doc::Sharing;

/// The thresholds that follow from the document's weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Policy {
    /// The p99 over its target that services are held to.
    pub(crate) limit: f64,
    /// How far loads are taken for their recent peak, from 0 to 1.
    pub(crate) peak_weight: f64,
    /// By how many standard deviations unknown pairs count more than they are believed to.
    pub(crate) caution: f64,
    /// What a tail that is longer by its target costs against a batch worker's idle capacity.
    pub(crate) tail_cost: f64,
    /// The least excess over the target for which a task is evicted that can be throttled no
    /// further.
    pub(crate) eviction_excess: f64,
}

impl Policy {
    /// Derives the thresholds; equal weights give the target itself as the limit.
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

/// Returns 1 if only `left` counts, -1 if only `right` does, and 0 if they weigh the same.
fn balance(left: f64, right: f64) -> f64 {
    let sum = left + right;
    if sum > 0.0 { (left - right) / sum } else { 0.0 }
}
