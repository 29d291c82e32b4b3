//! Decides when an owner hands over to a stronger host, and who claims after a release.
//!
//! The load that this answers: a weak host became the owner because no other was there, and keeps the
//! executors although strong hosts are idle. The functions here are pure; see "Takeover" in
//! `docs/JOBS.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use crate::document::relay;
use crate::election;
use crate::node::HostCapacity;
use crate::node::Identity;
use crate::relay::assignment;
use crate::rows::OwnerRecord;

/// How many times as strong as the owner a host has to be.
const MIN_STRENGTH_RATIO: f64 = 2.0;
/// How long a host has to have been ready, without a gap between its pings.
const MIN_READY: Duration = Duration::from_secs(3);
/// How long an owner keeps the executors before it hands over.
const MIN_OWNED: Duration = Duration::from_secs(5);
/// An owner hands over only if the store has confirmed it within this time, because an owner that
/// cannot store the release would send nothing more without a successor.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(900);
/// Interval between two hand-overs of a host.
const INTERVAL: Duration = Duration::from_secs(10);
/// Upper limit of this interval, which doubles after each hand-over that failed.
const MAX_INTERVAL: Duration = Duration::from_secs(640);
/// A hand-over has failed as well if the host owns the executors again within this time.
const SETTLED: Duration = Duration::from_secs(60);
/// How much longer hosts wait before they claim if the released row names another one.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(1);

/// A host that may own the executors.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its capacity.
    pub capacity: HostCapacity,
    /// How long it has been ready to own the executors without a gap; `None` if it is not.
    pub ready_for: Option<Duration>,
    /// Its shortest round trip to the store.
    pub store_round_trip: Duration,
}

/// The owner that may hand over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incumbent {
    /// Its capacity.
    pub capacity: HostCapacity,
    /// How long it has owned the executors.
    pub owned_for: Duration,
    /// Time since the store last confirmed it.
    pub unconfirmed_for: Duration,
    /// Its shortest round trip to the store.
    pub store_round_trip: Duration,
}

/// Returns the host to which the owner hands over, if any is so much stronger that this is worth its
/// price.
#[must_use]
pub fn stronger_host<'c>(owner: &Incumbent, candidates: &'c [Candidate]) -> Option<&'c Candidate> {
    if owner.owned_for < MIN_OWNED || owner.unconfirmed_for > MAX_UNCONFIRMED {
        return None;
    }
    strongest_ready_host(
        owner.store_round_trip,
        candidates,
        |candidate, ready_for| {
            ready_for >= MIN_READY && is_much_stronger(candidate.capacity, owner.capacity)
        },
    )
}

/// Returns the strongest of the hosts that are ready, not much farther from the store than the owner
/// and `suitable`, which receives for how long a host has been ready.
pub fn strongest_ready_host(
    owner_round_trip: Duration,
    candidates: &[Candidate],
    suitable: impl Fn(&Candidate, Duration) -> bool,
) -> Option<&Candidate> {
    candidates
        .iter()
        .filter(|candidate| !relay::is_far(candidate.store_round_trip, owner_round_trip))
        .filter(|candidate| {
            candidate
                .ready_for
                .is_some_and(|time| suitable(candidate, time))
        })
        .max_by(|left, right| {
            strength(left.capacity)
                .total_cmp(&strength(right.capacity))
                .then_with(|| right.store_round_trip.cmp(&left.store_round_trip))
                .then_with(|| right.host.cmp(&left.host))
        })
}

/// Returns whether a host is considerably stronger than the owner, and neither its processor nor its
/// link is weaker.
fn is_much_stronger(host: HostCapacity, owner: HostCapacity) -> bool {
    let (host, owner) = (election::useful(host), election::useful(owner));
    let has_no_less = host.cores >= owner.cores && host.link_mbps >= owner.link_mbps;
    has_no_less && strength(host) >= strength(owner) * MIN_STRENGTH_RATIO
}

/// Returns the calls a second that a host can carry, as far as that matters for an owner.
fn strength(capacity: HostCapacity) -> f64 {
    assignment::calls_per_second(election::useful(capacity))
}

/// Who claims after the owner has released the executors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimTurn {
    /// This host claims at once.
    Now,
    /// This host waits for its usual delay and this much longer.
    After(Duration),
}

/// Returns when this host claims in succession of an owner that has ended.
#[must_use]
pub fn claim_turn(identity: &Identity, record: &OwnerRecord) -> ClaimTurn {
    match &record.successor {
        Some(host) if record.released && *host == identity.host => ClaimTurn::Now,
        Some(_) if record.released => ClaimTurn::After(SUCCESSOR_TIMEOUT),
        _ => {
            let released_here = record.released && record.incarnation == identity.incarnation;
            if identity.is_own_record(record) && !released_here {
                ClaimTurn::Now
            } else {
                ClaimTurn::After(Duration::ZERO)
            }
        }
    }
}

/// The hand-overs of this process.
#[derive(Clone, Debug)]
pub struct Handovers {
    last: Option<Handover>,
    interval: Duration,
}

/// A hand-over to a host.
#[derive(Clone, Debug)]
struct Handover {
    at: Mono,
    /// The epoch that was released.
    epoch: u64,
    successor: Arc<str>,
    /// Whether the next owner is known.
    observed: bool,
    failed: bool,
}

impl Default for Handovers {
    fn default() -> Self {
        Self {
            last: None,
            interval: INTERVAL,
        }
    }
}

impl Handovers {
    /// Returns whether the last hand-over was long enough ago for another one.
    #[must_use]
    pub fn is_due(&self, now: Mono) -> bool {
        let last = self.last.as_ref();
        last.is_none_or(|last| now.since(last.at) >= self.interval)
    }

    /// Records a hand-over from the owner of an epoch.
    pub fn record(&mut self, epoch: u64, successor: Arc<str>, now: Mono) {
        if self.last.as_ref().is_some_and(|last| !last.failed) {
            self.interval = INTERVAL;
        }
        self.last = Some(Handover {
            at: now,
            epoch,
            successor,
            observed: false,
            failed: false,
        });
    }

    /// Records an owner. The last hand-over has failed if another host than the named one followed,
    /// or if this host owns the executors again soon.
    pub fn observe(&mut self, record: &OwnerRecord, own_host: &str, now: Mono) {
        let Some(last) = self.last.as_mut().filter(|last| record.epoch > last.epoch) else {
            return;
        };
        let is_followed = last.observed || record.host == *last.successor;
        let is_back = record.host == own_host && now.since(last.at) < SETTLED;
        last.observed = true;
        if (!is_followed || is_back) && !last.failed {
            last.failed = true;
            self.interval = (self.interval * 2).min(MAX_INTERVAL);
        }
    }
}
