//! The hosts that are known to live, because they ping the owner.
//!
//! Nothing durable depends on them: they only say who may carry calls for the owner, and whether a
//! stronger host could own the executors.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::handover::Candidate;
use crate::node::HostCapacity;

/// A host counts as gone if it has not pinged for this long.
const EXPIRY: Duration = Duration::from_millis(2_000);

/// Number of hosts that ping the owner often.
const LIKELY_SUCCESSORS: usize = 12;
/// Interval between pings of these hosts, and of a host that does not know whether it is one.
pub const SUCCESSOR_PING_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between pings of the other hosts. The owner's document info has to be current enough for
/// hosts that take the document from it.
const PING_INTERVAL: Duration = Duration::from_millis(800);

/// What a host reports about itself with each ping. It does not change while the process lives; see
/// [`HostStatus`] for what does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address at which the host accepts calls to relay.
    pub relay_address: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Capacity of the host.
    pub capacity: HostCapacity,
}

/// Whether a host could own the executors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Whether the host has a document, the store has answered it lately, it is not draining, and
    /// no part of it panicked lately while it owned the executors.
    #[serde(default)]
    pub ready: bool,
    /// The host's shortest round trip to the store, in milliseconds.
    #[serde(default)]
    pub store_round_trip_ms: u64,
}

/// What a host sends with each ping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// What does not change while the process lives.
    pub info: HostInfo,
    /// Whether the host could own the executors.
    #[serde(default)]
    pub status: HostStatus,
}

/// A host that has pinged.
#[derive(Clone, Debug)]
struct KnownHost {
    info: HostInfo,
    /// Time of the first ping in a row.
    first_seen: Mono,
    /// Time of the latest ping.
    last_seen: Mono,
    /// The latest status.
    status: HostStatus,
    /// Time of the first ping in a row that says that the host is ready.
    ready_since: Option<Mono>,
}

/// The hosts that have pinged this one, by the addresses of their relays.
#[derive(Debug, Default)]
pub struct KnownHosts {
    hosts: RefCell<Map<Arc<str>, KnownHost>>,
}

impl KnownHosts {
    /// Returns how long a host waits before its next ping. The strongest hosts, which are likely to
    /// succeed the owner, notice soon that it is gone; with many hosts, pings of all at that rate
    /// would take a part of the owner's processor and link that grows with their number.
    #[must_use]
    pub fn ping_interval(&self, info: &HostInfo) -> Duration {
        let hosts = self.hosts.borrow();
        let is_stronger = |other: &HostInfo| {
            let cores = other.capacity.cores.total_cmp(&info.capacity.cores);
            cores
                .then_with(|| info.relay_address.cmp(&other.relay_address))
                .is_gt()
        };
        let stronger = hosts.values().filter(|known| is_stronger(&known.info));
        if stronger.count() < LIKELY_SUCCESSORS {
            SUCCESSOR_PING_INTERVAL
        } else {
            PING_INTERVAL
        }
    }

    /// Records a ping.
    pub fn record(&self, report: &HostReport, now: Mono) {
        let HostReport { info, status } = report;
        let mut hosts = self.hosts.borrow_mut();
        let known = hosts
            .entry(info.relay_address.clone())
            .or_insert_with(|| KnownHost {
                info: info.clone(),
                first_seen: now,
                last_seen: now,
                status: *status,
                ready_since: None,
            });
        if now.since(known.last_seen) > EXPIRY {
            known.first_seen = now;
            known.ready_since = None;
        }
        known.last_seen = now;
        known.status = *status;
        known.ready_since = status.ready.then(|| known.ready_since.unwrap_or(now));
        if known.info != *info {
            known.info = info.clone();
        }
    }

    /// Returns the hosts that live, and for how long each has done so without a gap.
    #[must_use]
    pub fn alive(&self, now: Mono) -> Vec<(HostInfo, Duration)> {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, known| now.since(known.last_seen) <= EXPIRY);
        hosts
            .values()
            .map(|known| (known.info.clone(), known.last_seen.since(known.first_seen)))
            .collect()
    }

    /// Returns the hosts that live as candidates for the ownership.
    #[must_use]
    pub fn candidates(&self, now: Mono) -> Vec<Candidate> {
        let hosts = self.hosts.borrow();
        let alive = hosts
            .values()
            .filter(|known| now.since(known.last_seen) <= EXPIRY);
        alive
            .map(|known| Candidate {
                host: known.info.host.clone(),
                capacity: known.info.capacity,
                ready_for: known.ready_since.map(|since| known.last_seen.since(since)),
                store_round_trip: Duration::from_millis(known.status.store_round_trip_ms),
            })
            .collect()
    }
}
