//! How long an owner may extend leases without the store, and what its successor concludes.
//!
//! An owner that the store has not confirmed for a while cannot know whether another one has followed.
//! Some executors are *witnesses*: their names are stored, and each accepts only the highest epoch that
//! it has seen. While a majority of them accepts the owner's calls, no successor has a majority. Leases
//! therefore never extend further than a fixed time after the latest of two events: the store has
//! confirmed the owner, or a majority has accepted it. A successor that a majority has accepted
//! knows from then on when all earlier leases have expired, although the earlier owner never answers.
//! See `docs/design/leases-after-a-takeover.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;

/// The fewest executors that can be witnesses. With two, the loss of one would leave no majority.
pub const MIN_WITNESSES: usize = 3;
/// The number of witnesses where there are enough executors.
pub const MAX_WITNESSES: usize = 15;

/// Leases end at the latest this long after the call was sent with which the store last confirmed the
/// owner.
const CONFIRMED_HORIZON: Duration = Duration::from_millis(5_200);
/// Leases end at the latest this long after the calls were sent that a majority of witnesses has
/// accepted.
const ACCEPTED_HORIZON: Duration = Duration::from_millis(4_250);
/// An owner sends start commands for this long after the later of these two events.
const MAX_START_AGE: Duration = Duration::from_secs(2);
/// How long after the decision to send it a command may leave the process at the latest.
const SEND_MARGIN: Duration = Duration::from_secs(1);
/// An executor's clock may be slow by this part of a duration.
const CLOCK_DRIFT_DIVISOR: u32 = 49;
/// Added to the expiry of a lease for late timers and messages.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// An incarnation of an executor whose acceptance of an epoch counts. One that starts anew forgets the
/// epoch, so that a later incarnation does not count.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Witness {
    /// The executor's name.
    pub id: Arc<str>,
    /// When the incarnation started, in milliseconds since 1970.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
}

/// The latest calls that executors have accepted from an owner.
#[derive(Clone, Debug, Default)]
struct AcceptedCalls(Map<Arc<str>, (u64, Mono)>);

impl AcceptedCalls {
    fn record(&mut self, id: &Arc<str>, started_unix_ms: u64, sent: Mono) {
        let latest = self.0.entry(id.clone()).or_insert((started_unix_ms, sent));
        *latest = (*latest).max((started_unix_ms, sent));
    }

    /// Returns when the latest call was sent that this witness has accepted.
    fn sent(&self, witness: &Witness) -> Option<Mono> {
        let (started_unix_ms, sent) = self.0.get(&witness.id)?;
        (*started_unix_ms == witness.started_unix_ms).then_some(*sent)
    }

    /// Returns the latest time such that a majority has accepted calls sent at that time or later.
    fn majority_sent(&self, witnesses: &[Witness]) -> Option<Mono> {
        let mut sent: Vec<Mono> = witnesses.iter().filter_map(|it| self.sent(it)).collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        sent.get(witnesses.len() / 2).copied()
    }
}

/// What entitles an owner to extend leases. Times are on a clock that counts the time for which the
/// machine was suspended.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    confirmed_at: Mono,
    accepted: AcceptedCalls,
    /// The witnesses that the store names; empty while there are none.
    stored: Vec<Witness>,
    /// The witnesses that a transaction in flight names instead.
    being_stored: Option<Vec<Witness>>,
}

impl Authority {
    /// Returns the authority of an owner that the store has confirmed with a call sent at `confirmed_at`,
    /// and that inherits these witnesses.
    #[must_use]
    pub fn new(confirmed_at: Mono, witnesses: Vec<Witness>) -> Self {
        Self {
            confirmed_at,
            stored: witnesses,
            ..Self::default()
        }
    }

    /// Records that the store has confirmed the owner with a call sent at `sent`.
    pub fn confirmed(&mut self, sent: Mono) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Records that an incarnation of an executor has accepted a call sent at `sent`, if the executor is a
    /// witness.
    pub fn accepted(&mut self, id: &Arc<str>, started_unix_ms: u64, sent: Mono) {
        if self.all_witnesses().any(|witness| witness.id == *id) {
            self.accepted.record(id, started_unix_ms, sent);
        }
    }

    /// Returns the witnesses that are stored and those that are being stored.
    fn all_witnesses(&self) -> impl Iterator<Item = &Witness> {
        self.stored.iter().chain(self.being_stored.iter().flatten())
    }

    /// Returns the witnesses that the store names.
    #[must_use]
    pub fn witnesses(&self) -> &[Witness] {
        &self.stored
    }

    /// Begins to store other witnesses. Until the outcome is known, both majorities count.
    pub fn begin_change(&mut self, witnesses: Vec<Witness>) {
        self.being_stored = Some(witnesses);
    }

    /// Records that the witnesses are stored, or that the store refuses to.
    pub fn end_change(&mut self, is_stored: bool) {
        if let Some(witnesses) = self.being_stored.take()
            && is_stored
        {
            self.stored = witnesses;
        }
        let stored = &self.stored;
        let is_witness = |id: &Arc<str>| stored.iter().any(|witness| witness.id == *id);
        self.accepted.0.retain(|id, _| is_witness(id));
    }

    /// Returns whether a majority of the stored witnesses has accepted this owner, so that no earlier one
    /// gets a majority any more.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.accepted.majority_sent(&self.stored).is_some()
    }

    /// Returns the witnesses that have not accepted a call sent at `since` or later.
    pub fn overdue(&self, since: Mono) -> impl Iterator<Item = &Witness> {
        self.all_witnesses()
            .filter(move |it| self.accepted.sent(it).is_none_or(|sent| sent < since))
    }

    /// Returns since when no successor can have been accepted by a majority; `None` without a proof.
    fn proven_at(&self) -> Option<Mono> {
        let sets = std::iter::once(&self.stored).chain(&self.being_stored);
        let sets = sets.filter(|witnesses| !witnesses.is_empty());
        let sent = sets.map(|witnesses| self.accepted.majority_sent(witnesses));
        sent.min().flatten()
    }

    /// Returns whether the owner obeys any witnesses.
    fn is_limited(&self) -> bool {
        let being_stored = self.being_stored.as_ref();
        !self.stored.is_empty() || being_stored.is_some_and(|witnesses| !witnesses.is_empty())
    }

    /// Returns the time after which no lease of this owner may end; `None` if nothing limits them but
    /// how long an owner may continue without the store.
    #[must_use]
    pub fn horizon(&self) -> Option<Mono> {
        let confirmed = self.confirmed_at.after(CONFIRMED_HORIZON);
        let proven = self.proven_at().map(|sent| sent.after(ACCEPTED_HORIZON));
        self.is_limited()
            .then(|| proven.map_or(confirmed, |proven| proven.max(confirmed)))
    }

    /// Returns whether start commands may be sent.
    #[must_use]
    pub fn may_start(&self, now: Mono) -> bool {
        let latest = self.proven_at().unwrap_or_default().max(self.confirmed_at);
        !self.is_limited() || now.since(latest) <= MAX_START_AGE
    }

    /// Returns whether the store has not confirmed the owner for longer than `age`.
    #[must_use]
    pub fn is_unconfirmed_for(&self, age: Duration, now: Mono) -> bool {
        now.since(self.confirmed_at) > age
    }
}

/// The end of all that earlier owners may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityEnd {
    /// None of them sends a start command later.
    pub sends_until: Mono,
    /// All leases that they have granted have expired by then.
    pub leases_until: Mono,
}

impl AuthorityEnd {
    /// Returns the end of all earlier owners, which obey the same witnesses. The owner's row has been
    /// known since `row_read_at` to be unchanged until the claim, and a majority of the witnesses had
    /// accepted the successor at `majority_at`.
    #[must_use]
    pub fn proven(row_read_at: Mono, majority_at: Mono) -> Self {
        let latest = row_read_at.max(majority_at);
        let confirmed = expiry(row_read_at, CONFIRMED_HORIZON);
        let accepted = expiry(majority_at, ACCEPTED_HORIZON);
        Self {
            sends_until: latest.after(MAX_START_AGE).after(SEND_MARGIN),
            leases_until: confirmed.max(accepted),
        }
    }
}

/// Returns when a lease that was granted at `granted` for this duration has certainly expired.
#[must_use]
pub fn expiry(granted: Mono, lease: Duration) -> Mono {
    granted
        .after(lease + lease / CLOCK_DRIFT_DIVISOR)
        .after(EXPIRY_MARGIN)
}

/// Returns the witnesses for an owner that has these `candidates`, each with its data centre. Those in
/// `present` that are still candidates stay, and the others are spread over the data centres. Returns
/// `present` if there are too few candidates.
#[must_use]
pub fn choose_witnesses(present: &[Witness], candidates: &[(Witness, Arc<str>)]) -> Vec<Witness> {
    if candidates.len() < MIN_WITNESSES {
        return present.to_vec();
    }
    let size = candidates.len().min(MAX_WITNESSES);
    let is_candidate = |witness: &&Witness| candidates.iter().any(|(it, _)| it == *witness);
    let kept = present.iter().filter(is_candidate).take(size);
    let mut chosen: Vec<Witness> = kept.cloned().collect();
    let mut chosen_in: Map<&str, usize> = Map::default();
    let mut others: Vec<&(Witness, Arc<str>)> = Vec::new();
    for candidate in candidates {
        if chosen.contains(&candidate.0) {
            *chosen_in.entry(&candidate.1).or_default() += 1;
        } else {
            others.push(candidate);
        }
    }
    others.sort_by_key(|(witness, _)| model::hash::stable_hash(witness.id.as_bytes()));
    while chosen.len() < size {
        let fewest = |(at, (_, data_centre)): &(usize, &&(Witness, Arc<str>))| {
            let there = chosen_in.get(&**data_centre).copied();
            (there.unwrap_or_default(), *at)
        };
        let Some((at, _)) = others.iter().enumerate().min_by_key(fewest) else {
            break;
        };
        let (witness, data_centre) = others.remove(at);
        *chosen_in.entry(data_centre).or_default() += 1;
        chosen.push(witness.clone());
    }
    chosen
}
