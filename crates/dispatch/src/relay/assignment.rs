//! Decides which hosts relay the calls to which executors.
//!
//! The load that this answers: the calls to all executors exceed the processor or the link of the
//! owner, while other hosts are idle. The functions here are pure.

use std::sync::Arc;

use model::hash::combine_hashes;
use model::hash::stable_hash;

use crate::hosts::HostInfo;
use crate::node::HostCapacity;

/// Calls to an executor with tasks, a second: polls, starts and stops.
const CALLS_PER_EXECUTOR: f64 = 2.5;
/// Calls a second that take the whole of a core.
const CALLS_PER_CORE: f64 = 10_000.0;
/// Size of a call to an executor and its answer with all headers, in bytes.
const CALL_BYTES: f64 = 1_500.0;
/// Bytes a second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// The part of a host's capacity that calls to executors may take.
const CALL_SHARE: f64 = 0.25;

/// The executors of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Number of executors.
    pub executors: usize,
}

/// Returns how many calls a second a host can carry beside its other work.
#[must_use]
pub fn calls_per_second(capacity: HostCapacity) -> f64 {
    let processor = capacity.cores * CALLS_PER_CORE;
    let link = capacity.link_mbps * BYTES_PER_MBIT / CALL_BYTES;
    processor.min(link) * CALL_SHARE
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn calls_needed(executors: usize) -> f64 {
    executors as f64 * CALLS_PER_EXECUTOR
}

/// Returns whether calls to this many executors need relays.
#[must_use]
pub fn are_relays_needed(executors: usize, owner: HostCapacity) -> bool {
    calls_needed(executors) > calls_per_second(owner)
}

/// Returns the hosts that relay calls: in each data centre the strongest ones, as many as its
/// executors need and at least one.
#[must_use]
pub fn choose(demands: &[Demand], hosts: &[HostInfo]) -> Vec<HostInfo> {
    let mut sorted: Vec<&HostInfo> = hosts.iter().collect();
    sorted.sort_by(|left, right| {
        let strength = |host: &HostInfo| calls_per_second(host.capacity);
        strength(right)
            .total_cmp(&strength(left))
            .then_with(|| left.relay_address.cmp(&right.relay_address))
    });
    let mut chosen = Vec::new();
    for demand in demands {
        let mut missing = calls_needed(demand.executors);
        let near = sorted
            .iter()
            .filter(|host| host.data_centre == demand.data_centre);
        for host in near {
            if missing <= 0.0 {
                break;
            }
            missing -= calls_per_second(host.capacity);
            chosen.push((*host).clone());
        }
    }
    chosen
}

/// Returns how well a relay suits an executor; the highest value wins. This is weighted rendezvous
/// hashing: each relay gets executors in proportion to its weight, and if one is added or lost, only
/// its own executors move.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "a hash needs no exact value")]
pub fn affinity(executor: &str, relay: &str, weight: f64) -> f64 {
    let hash = combine_hashes(
        stable_hash(executor.as_bytes()),
        stable_hash(relay.as_bytes()),
    );
    let fraction = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    weight / -fraction.ln().min(-f64::MIN_POSITIVE)
}
